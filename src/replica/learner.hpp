/// Learner: a process outside the view keeps a copy of the committed table that is nearly caught up, so that the view that takes it
/// in waits for a few batches and not for a full table (Raft thesis, 4.2.1). It asks one member at a time, those of its own zone
/// first, and another after a time-out.
///
/// Safety does not depend on the copy. A learner has no vote and is no member of the chain: it is not in the view that the members
/// count their majorities in, and its disk is synced into no epoch by it. Once a view lists it, it is brought to that view's starting
/// state as any other member, by comparison of positions; tables at the same position are equal.
#pragma once

#include <cstddef>

#include "core/clock.hpp"
#include "replica/chain.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"

namespace beechpoint::replica {

class Learner {
public:
    Learner(const Membership& membership, Outbox& outbox, const Chain& chain)
        : membership_(membership), outbox_(outbox), chain_(chain) {}

    void enterView(Millis now) { requestAt_ = now; }
    /// Sends a request if one is due. Answers go to the chain, which stores them.
    void tick(Millis now);

private:
    bool isLearning() const;
    const Member& nextSource();

    const Membership& membership_;
    Outbox& outbox_;
    const Chain& chain_;
    Millis requestAt_ = 0;
    std::size_t requests_ = 0;
};

}  // namespace beechpoint::replica
