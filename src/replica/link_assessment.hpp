/// Excludes members that do not reply, or whose links to other members are broken, according to the heartbeat reports.
///
/// A broken link does not show which of its two members has failed. The greedy choice excludes as few members as it can find; where
/// it leaves too few for a view, sufficientExclusion() searches all choices.
///
/// Performs no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/assessment.hpp"
#include "replica/failure_detector.hpp"
#include "replica/joiner_selection.hpp"
#include "replica/membership.hpp"
#include "replica/view_requirements.hpp"

namespace beechpoint::replica {

class LinkAssessment {
public:
    LinkAssessment(const Membership& membership, const FailureDetector& detector,
                   const ViewRequirements& requirements, const JoinerSelection& joiners)
        : membership_(membership), detector_(detector), requirements_(requirements), joiners_(joiners) {}

    /// Excludes the members that do not reply to any process.
    void excludeUnresponsive(Millis now, Assessment& assessment) const;
    /// Excludes members until no broken link is left: greedily those with the most broken links, later chain positions first.
    void excludeBroken(Millis now, Assessment& assessment) const;
    /// Whether the members that are not excluded, with the processes that could join them, are enough for the next view.
    bool isSufficient(Millis now, const Assessment& assessment) const;
    /// The assessment with the fewest further exclusions that leave no broken link and enough members for the next view; among equals
    /// the one that keeps the earlier chain positions. nullopt if there is none.
    std::optional<Assessment> sufficientExclusion(Millis now, const Assessment& assessment) const;

private:
    // Internal addresses of two members of which `from` reports `to` as unresponsive.
    struct BrokenLink {
        std::string from;
        std::string to;
    };

    std::vector<BrokenLink> brokenLinks(Millis now, const Assessment& assessment) const;
    std::string memberWithMostBroken(const std::vector<BrokenLink>& broken) const;
    std::vector<std::string> remainingMembers(const Assessment& assessment) const;
    bool isMember(const std::string& address) const;

    const Membership& membership_;
    const FailureDetector& detector_;
    const ViewRequirements& requirements_;
    const JoinerSelection& joiners_;
};

}  // namespace beechpoint::replica
