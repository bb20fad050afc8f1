/// The view to propose, from the promises of the voters and the members of the view in force.
///
/// Safety depends on one choice made here, the source of the starting state: it must hold all that was or may yet be acknowledged
/// in the view in force (Vertical Paxos 2009, 3: the new configuration starts from a state that a sealed replica of the old
/// one holds). The order and number of the members are a matter of availability.
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

    /// The view that follows the one in force; nothing if these promises allow none.
    std::optional<View> compose(Millis now, const Assessment& assessment, const Promises& promises) const;
    /// The first view, of the founders that have promised.
    View composeFounding(const Promises& promises) const;

private:
    const Membership& membership_;
    ViewRequirements requirements_;
    VoterAssessment voters_;
};

}  // namespace beechpoint::replica
