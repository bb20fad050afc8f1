// A process outside the view keeps a copy of the committed table near, so that the view that takes it in waits for a few batches
// and not for a whole table. It asks one member at a time, those of its own zone first, and another after a time-out.
//
// Nothing of safety rests on the copy. A learner has no vote and is no link: it is not in the view that its members count their
// majorities in, and its disk says of no epoch that it was synced into it. Once a view lists it, it is brought to that view's
// starting state as any other member, which compares positions; tables at the same position are equal.
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

    void enterView(Millis now) { askAt_ = now; }
    void tick(Millis now);

private:
    bool learns() const;
    const Member& nextSource();

    const Membership& membership_;
    Outbox& outbox_;
    const Chain& chain_;
    Millis askAt_ = 0;
    std::size_t asked_ = 0;
};

}  // namespace beechpoint::replica
