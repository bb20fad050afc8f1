/// What the members of the next view must satisfy: enough machines and zones for the tolerance, and a majority that does not
/// depend on members which are not counted. Pure functions of the view in force.
#pragma once

#include <vector>

#include "replica/membership.hpp"

namespace beechpoint::replica {

class ViewRequirements {
public:
    explicit ViewRequirements(const Membership& membership) : membership_(membership) {}

    /// A view that is smaller than the one before must still cover the tolerance.
    bool isSufficient(const std::vector<Member>& members) const;
    /// Whether members that still serve may be left out for these: a tolerance that the view covers now stays covered.
    bool keepsTolerance(const std::vector<Member>& members) const;
    /// Drops members that are not counted until all others of them may go with a majority left; the later in order first. The
    /// head may go as well: its successor holds the same state, in an installed view and at the founding.
    void dropSurplusUncounted(std::vector<Member>& members) const;
    const Tolerance& tolerance() const { return membership_.settings.tolerance; }

private:
    bool isCovered(const std::vector<Member>& members) const;

    const Membership& membership_;
};

}  // namespace beechpoint::replica
