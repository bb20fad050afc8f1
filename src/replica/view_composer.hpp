/// Composes the view to propose from the promises of the voters and members of the current view.
///
/// Safety depends on the source of the starting state chosen here: it must hold everything that was or may yet be acknowledged
/// in the current view (Vertical Paxos 2009, 3: the new configuration starts from a state that a sealed replica of the old
/// one holds). The order and number of the members affect only availability.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "replica/assessment.hpp"
#include "replica/membership.hpp"
#include "replica/view_agreement.hpp"
#include "replica/view_requirements.hpp"
#include "replica/voter_assessment.hpp"

namespace beechpoint::replica {

class ViewComposer {
public:
    using Promises = std::map<std::string, ReceivedPromise>;  // by acceptor

    ViewComposer(const Membership& membership, const FailureDetector& detector)
        : membership_(membership), requirements_(membership), voters_(membership, detector) {}

    /// The view that follows the current one; nullopt if these promises do not allow one.
    std::optional<View> compose(Millis now, const Assessment& assessment, const Promises& promises) const;
    /// The first view, consisting of the founders that have promised.
    View composeFounding(const Promises& promises) const;

private:
    const Membership& membership_;
    ViewRequirements requirements_;
    VoterAssessment voters_;
};

}  // namespace beechpoint::replica
