/// Reads at the tail that wait for contact with a majority of the voters after they began (read index, Raft thesis 6.4).
///
/// The tail holds everything acknowledged in its epoch. A majority that was still unsealed in this epoch after the read began
/// proves that no later view had acknowledged anything by then, so the tail's committed table is recent enough.
#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.hpp"
#include "replica/chain.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"

namespace beechpoint::replica {

class ReadBarriers {
public:
    ReadBarriers(const Membership& membership, Outbox& outbox, FailureDetector& detector, const Chain& chain)
        : membership_(membership), outbox_(outbox), detector_(detector), chain_(chain) {}

    /// Answered by ReadDone within kReadTimeout, or immediately if this process is not the tail.
    void add(Millis now, std::uint64_t token);
    void tick(Millis now);
    void failAll();
    bool isBusy() const { return !reads_.empty(); }
    /// When the next heartbeat round for reads is due; infinity if none is.
    Millis nextRoundAt() const;

private:
    struct Read {
        std::uint64_t token;
        std::uint64_t round;  // first heartbeat round started after the call
        Millis deadline;
    };

    void finishOldest(bool ok);

    const Membership& membership_;
    Outbox& outbox_;
    FailureDetector& detector_;
    const Chain& chain_;
    std::deque<Read> reads_;  // oldest first, so the rounds are non-decreasing
};

}  // namespace beechpoint::replica
