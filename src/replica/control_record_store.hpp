/// Writes the control record (identity, founders, view, vote) to disk, and knows what of it the disk has confirmed.
///
/// The record is always written in full. Invariant: a vote is answered only once the disk has confirmed it (Paxos Made Simple,
/// 2.5), so `persistVote` runs the reply after that, and not at all if the write fails: the request comes again.
#pragma once

#include <functional>

#include "core/clock.hpp"
#include "replica/durable_state.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/view_agreement.hpp"

namespace beechpoint::replica {

class ControlRecordStore {
public:
    using Reply = std::function<void()>;

    /// `durable`: the record that was loaded at the start.
    ControlRecordStore(const Membership& membership, Outbox& outbox, const Acceptor& acceptor,
                       ControlRecord durable)
        : membership_(membership), outbox_(outbox), acceptor_(acceptor), durable_(std::move(durable)) {}

    /// What the disk should hold now.
    ControlRecord record() const;
    void persist();
    /// Persists the vote; replies once it is durable.
    void persistVote(Reply reply);
    /// Writes the record if the disk is not known to hold its vote and view, and no write of it is under way.
    void persistIfStale(Millis now);
    bool isDurable(const Vote& vote) const { return durable_.vote == vote; }
    bool hasVoteInFlight() const { return votesInFlight_ > 0; }

private:
    const Membership& membership_;
    Outbox& outbox_;
    const Acceptor& acceptor_;
    ControlRecord durable_;  // last known to be on disk
    unsigned votesInFlight_ = 0;
    unsigned recordsInFlight_ = 0;
    Millis retryAt_ = 0;
};

}  // namespace beechpoint::replica
