/// Writes the control record (identity, founders, view, vote) to disk and tracks which version the disk has confirmed.
///
/// The record is always written in full. Invariant: a vote is answered only after the disk has confirmed it (Paxos Made
/// Simple, 2.5), so `persistVote` runs the reply afterwards, and not at all if the write fails: the proposer resends.
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

    /// @param durable the record loaded at startup
    ControlRecordStore(const Membership& membership, Outbox& outbox, const Acceptor& acceptor,
                       ControlRecord durable)
        : membership_(membership), outbox_(outbox), acceptor_(acceptor), durable_(std::move(durable)) {}

    /// The current record, as it should be on disk.
    ControlRecord record() const;
    void persist();
    /// Persists the vote and calls `reply` once it is durable.
    void persistVote(Reply reply);
    /// Writes the record if its vote and view are not confirmed on disk and no write of it is in flight.
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
