/// Learner: keeps the committed table nearly caught up on a process outside the view, so that the view that adds it waits for a
/// few batches instead of a full table (Raft thesis, 4.2.1). Sends requests to one member at a time, members of its own zone
/// first, and switches to another member after a time-out.
///
/// Safety does not depend on the copy. A learner has no vote and is not a member of the chain, so it does not count towards
/// majorities, and its copy does not mark its disk as synced into any epoch. Once a view lists it, it is brought to that view's
/// starting state like any other member, by comparing positions; tables at the same position are equal.
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
    /// Sends a request if one is due. Replies are handled and stored by the chain.
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
