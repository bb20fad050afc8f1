/// Requirements on the members of the next view: enough machines and zones for the tolerance, and a majority that does not depend
/// on uncounted members (those with countsAsLoss unset). Pure functions of the current view.
#pragma once

#include <vector>

#include "replica/membership.hpp"

namespace beechpoint::replica {

class ViewRequirements {
public:
    explicit ViewRequirements(const Membership& membership) : membership_(membership) {}

    /// Whether these members may form a view: one with fewer members than the current view must still meet the tolerance.
    bool isSufficient(const std::vector<Member>& members) const;
    /// Whether the view may shrink to these members although the others still work: a tolerance that is met now must remain met.
    bool keepsTolerance(const std::vector<Member>& members) const;
    /// Drops uncounted members, later chain positions first, until a majority survives the loss of the remaining ones. The head may
    /// be dropped too: its successor holds the same state, both in an installed view and at the founding.
    void dropSurplusUncounted(std::vector<Member>& members) const;
    const Tolerance& tolerance() const { return membership_.settings.tolerance; }

private:
    bool isCovered(const std::vector<Member>& members) const;

    const Membership& membership_;
};

}  // namespace beechpoint::replica
