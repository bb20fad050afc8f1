/// Decides whether and how the current view must change: its problems according to heartbeat reports (Assessment), which process
/// proposes first, and the view to propose.
///
/// Performs no I/O. Safety does not depend on it, except for the source of the next view (ViewComposer).
///
///   cause                                          | assessed by        | next view
///   -----------------------------------------------|--------------------|---------------------------------------------------
///   member's disk lost or failing                  | assessMembers      | without it
///   member restarted                               | assessMembers      | with its new session
///   a promise without a view, view never installed | assessMembers      | the same members
///   member unresponsive, link broken               | LinkAssessment     | without the fewest members that end all broken links
///   member does not store the head's current item  | assessStalls       | without it
///   majority depends on uncounted members          | assessUncounted    | without these
///   member is leaving                              | assessLeavers      | without it, if enough members remain
///   process outside the view                       | JoinerSelection    | with it
///   voter's disk lost, voter leaving or unreachable| assessVoters       | its vote transferred, see replica/voters.hpp
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/assessment.hpp"
#include "replica/chain.hpp"
#include "replica/failure_detector.hpp"
#include "replica/joiner_selection.hpp"
#include "replica/link_assessment.hpp"
#include "replica/membership.hpp"
#include "replica/removal_history.hpp"
#include "replica/view_agreement.hpp"
#include "replica/view_composer.hpp"
#include "replica/view_requirements.hpp"
#include "replica/voter_assessment.hpp"

namespace beechpoint::replica {

class ViewPlanner {
public:
    ViewPlanner(const Membership& membership, const FailureDetector& detector, const Chain& chain)
        : membership_(membership),
          detector_(detector),
          chain_(chain),
          requirements_(membership),
          joiners_(membership, detector, chain, removals_),
          links_(membership, detector, requirements_, joiners_),
          voters_(membership, detector),
          composer_(membership, detector) {}
    ViewPlanner(const ViewPlanner&) = delete;
    ViewPlanner& operator=(const ViewPlanner&) = delete;

    void enterView(Millis now, const View& before);

    /// Called when a proposal starts because of this assessment. Once the head is sealed, its chain no longer shows where it stalled,
    /// so the stalled members are kept until the next view; otherwise a stalled member would remain in one view after another.
    void onProposalBegun(const Assessment& assessment) { stalledAtProposal_ = assessment.stalled; }
    /// Empty for a process outside the chain.
    Assessment assess(Millis now) const;
    /// Rank among the members that may propose; the number of members if this process should not propose.
    std::size_t rank(Millis now, const Assessment& assessment) const;
    /// The view to propose from these promises; nullopt if they do not allow one.
    std::optional<View> compose(Millis now, const std::map<std::string, ReceivedPromise>& promises) const;
    View composeFounding(const std::map<std::string, ReceivedPromise>& promises) const;

private:
    void assessMembers(Millis now, Assessment& assessment) const;
    void assessOwnSession(const Member& member, Assessment& assessment) const;
    void assessMember(Millis now, const Member& member, Assessment& assessment) const;
    void assessVoterOutsideChain(Millis now, const Member& voter, Assessment& assessment) const;
    void assessReachability(Millis now, Assessment& assessment) const;
    void assessStalls(Millis now, Assessment& assessment) const;
    void excludeStalled(const std::string& address, Assessment& assessment) const;
    void assessUncounted(Assessment& assessment) const;
    void assessLeavers(Millis now, Assessment& assessment) const;
    bool canLeave(Millis now, const Member& member, const Assessment& assessment) const;
    void assessVoters(Millis now, Assessment& assessment) const;
    bool isLeaving(const Member& member, Millis now) const;
    bool isMember(const std::string& address) const;

    const Membership& membership_;
    const FailureDetector& detector_;
    const Chain& chain_;
    RemovalHistory removals_;
    ViewRequirements requirements_;
    JoinerSelection joiners_;
    LinkAssessment links_;
    VoterAssessment voters_;
    ViewComposer composer_;
    std::set<std::string> stalledAtProposal_;  // internal addresses, as of the start of the current proposal
    Millis enteredAt_ = 0;
};

}  // namespace beechpoint::replica
