/// Determines the state of the current view's voters from heartbeat reports.
#pragma once

#include <vector>

#include "core/clock.hpp"
#include "replica/assessment.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/voters.hpp"

namespace beechpoint::replica {

class VoterAssessment {
public:
    VoterAssessment(const Membership& membership, const FailureDetector& detector)
        : membership_(membership), detector_(detector) {}

    /// The voters with their states; each member as last reported by its process.
    std::vector<Voter> present(Millis now, const Assessment& assessment) const;

private:
    Voter assess(Millis now, const Member& voter, const Assessment& assessment) const;
    bool isDiskReplaced(Millis now, const Member& voter) const;

    const Membership& membership_;
    const FailureDetector& detector_;
};

}  // namespace beechpoint::replica
