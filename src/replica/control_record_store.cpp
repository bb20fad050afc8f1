#include "replica/control_record_store.hpp"

#include <utility>

namespace beechpoint::replica {

ControlRecord ControlRecordStore::record() const {
    return {membership_.self.incarnation, membership_.founders, membership_.view, acceptor_.vote()};
}

void ControlRecordStore::persist() {
    if (outbox_.isCongested()) return;
    DurableUpdate update;
    update.control = record();
    ++recordsInFlight_;
    outbox_.persist(update, [this, record = *update.control](Millis now, bool stored) {
        --recordsInFlight_;
        if (stored)
            durable_ = record;
        else
            retryAt_ = now + kDiskProbeInterval;
    });
}

void ControlRecordStore::persistVote(Reply reply) {
    if (outbox_.isCongested()) return;
    DurableUpdate update;
    update.control = record();
    ++votesInFlight_;
    ++recordsInFlight_;
    outbox_.persist(update, [this, record = *update.control, reply = std::move(reply)](Millis, bool stored) {
        --votesInFlight_;
        --recordsInFlight_;
        if (!stored) return;
        durable_ = record;
        reply();
    });
}

void ControlRecordStore::persistIfStale(Millis now) {
    const bool written = durable_.vote == acceptor_.vote() && durable_.view == membership_.view;
    if (!written && recordsInFlight_ == 0 && now >= retryAt_) persist();
}

}  // namespace beechpoint::replica
