/// Selects the processes outside the view that the next view adds.
///
/// A process is added once it is nearly caught up, so that the chain does not wait for its copy of the table, or after a time
/// limit, so that availability does not depend on that copy. If the view would be insufficient without it, it is added at once.
#pragma once

#include <string>

#include "core/clock.hpp"
#include "replica/assessment.hpp"
#include "replica/chain.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/removal_history.hpp"

namespace beechpoint::replica {

class JoinerSelection {
public:
    enum class Candidates {
        ready,  // nearly caught up, or past the learning deadline
        any,
    };

    JoinerSelection(const Membership& membership, const FailureDetector& detector, const Chain& chain,
                    const RemovalHistory& removals)
        : membership_(membership), detector_(detector), chain_(chain), removals_(removals) {}

    /// Adds joiners to the assessment while the view has capacity, those that count as losses first.
    void select(Millis now, Assessment& assessment, Candidates candidates) const;

private:
    void selectAmong(Millis now, Assessment& assessment, Candidates candidates, bool countsAsLoss) const;
    bool hasCapacity(const Assessment& assessment) const;
    bool isReady(const Peer& peer, Millis now) const;
    bool isEligible(const Peer& peer, Millis now, const Assessment& assessment) const;
    bool isNameFree(const std::string& name, const Assessment& assessment) const;
    bool isReachedByAllMembers(const std::string& address, Millis now, const Assessment& assessment) const;

    const Membership& membership_;
    const FailureDetector& detector_;
    const Chain& chain_;
    const RemovalHistory& removals_;
};

}  // namespace beechpoint::replica
