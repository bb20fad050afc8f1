#include "replica/view_planner.hpp"

#include <algorithm>
#include <ranges>

namespace beechpoint::replica {

void ViewPlanner::enterView(Millis now, const View& before) {
    enteredAt_ = now;
    stalledAtProposal_.clear();
    removals_.enterView(now, before, membership_.view);
}

Assessment ViewPlanner::assess(Millis now) const {
    using Candidates = JoinerSelection::Candidates;
    Assessment assessment;
    if (!membership_.isInChain()) return assessment;
    const View& view = membership_.view;
    assessMembers(now, assessment);
    assessReachability(now, assessment);
    assessUncounted(assessment);
    assessLeavers(now, assessment);
    joiners_.select(now, assessment, Candidates::ready);
    if (!requirements_.isSufficient(assessment.nextMembers(view)))
        joiners_.select(now, assessment, Candidates::any);
    assessVoters(now, assessment);
    assessment.possible = requirements_.isSufficient(assessment.nextMembers(view));
    return assessment;
}

// ---- Members and voters

void ViewPlanner::assessMembers(Millis now, Assessment& assessment) const {
    const View& view = membership_.view;
    const bool installationOverdue = !chain_.isInstalled() && now - enteredAt_ > 2 * kOpeningStallTimeout;
    if (membership_.sealed || installationOverdue) assessment.unfinished = true;
    for (const Member& member : view.members) {
        if (sameDisk(member, membership_.self))
            assessOwnSession(member, assessment);
        else
            assessMember(now, member, assessment);
    }
    for (const Member& voter : view.effectiveVoters()) assessVoterOutsideChain(now, voter, assessment);
}

void ViewPlanner::assessOwnSession(const Member& member, Assessment& assessment) const {
    if (sameProcess(member, membership_.self)) return;
    assessment.restarted = true;
    assessment.observedDirectly = true;
}

void ViewPlanner::assessMember(Millis now, const Member& member, Assessment& assessment) const {
    const Peer* peer = detector_.findReachable(member.internalAddress, now);
    if (!peer) return;
    const bool diskLost = !sameDisk(peer->member, member);
    if (diskLost || peer->status.diskFailing) {
        assessment.excluded.insert(member.internalAddress);
        assessment.observedDirectly = true;
    }
    if (diskLost) return;
    if (!sameProcess(peer->member, member)) {
        assessment.restarted = true;
        assessment.observedDirectly = true;
    }
    if (peer->epoch == membership_.view.epoch && peer->status.sealed) assessment.unfinished = true;
}

void ViewPlanner::assessVoterOutsideChain(Millis now, const Member& voter, Assessment& assessment) const {
    const View& view = membership_.view;
    const Peer* peer = detector_.findReachable(voter.internalAddress, now);
    if (view.findDisk(voter) || !peer || !sameDisk(peer->member, voter)) return;
    if (peer->epoch == view.epoch && peer->status.sealed) assessment.unfinished = true;
}

// ---- Links and stalls

// Broken links and stalls do not prove which member has failed. If excluding members for them leaves too few for a view, others are
// excluded for the links instead, and then none for the stalls.
void ViewPlanner::assessReachability(Millis now, Assessment& assessment) const {
    links_.excludeUnresponsive(now, assessment);
    const Assessment unresponsive = assessment;
    links_.excludeBroken(now, assessment);
    assessStalls(now, assessment);
    if (links_.isSufficient(now, assessment)) return;
    Assessment withoutStalled = unresponsive;
    for (const std::string& address : assessment.stalled) excludeStalled(address, withoutStalled);
    std::optional<Assessment> sufficient = links_.sufficientExclusion(now, withoutStalled);
    if (!sufficient) sufficient = links_.sufficientExclusion(now, unresponsive);
    if (!sufficient) return;
    sufficient->observedDirectly = assessment.observedDirectly;
    assessment = *std::move(sufficient);
}

void ViewPlanner::assessStalls(Millis now, Assessment& assessment) const {
    for (const std::string& address : stalledAtProposal_) excludeStalled(address, assessment);
    const std::string own = chain_.stalledMember(now, detector_);
    if (!own.empty()) {
        excludeStalled(own, assessment);
        assessment.observedDirectly = true;
    }
    const View& view = membership_.view;
    if (view.members.empty() || sameDisk(view.members.front(), membership_.self)) return;
    const Member& head = view.members.front();
    const Peer* peer = detector_.findReachable(head.internalAddress, now);
    if (!peer || peer->epoch != view.epoch || !sameProcess(peer->member, head)) return;
    const std::string& reported = peer->status.stalledMember;
    if (isMember(reported)) excludeStalled(reported, assessment);
}

void ViewPlanner::excludeStalled(const std::string& address, Assessment& assessment) const {
    assessment.excluded.insert(address);
    assessment.stalled.insert(address);
}

// ---- Members that can be removed. Only from an installed view: its members hold the state, so the next view does not depend on
// a departing member's copy, and view changes do not follow each other without need.

// Excludes uncounted members whose loss could remove the majority after the loss of counted ones.
void ViewPlanner::assessUncounted(Assessment& assessment) const {
    if (!chain_.isInstalled()) return;
    const std::vector<Member> before = assessment.nextMembers(membership_.view);
    std::vector<Member> remaining = before;
    requirements_.dropSurplusUncounted(remaining);
    if (remaining.size() == before.size() || !requirements_.keepsTolerance(remaining)) return;
    for (const Member& member : before) {
        if (std::ranges::find(remaining, member) != remaining.end()) continue;
        assessment.excluded.insert(member.internalAddress);
        assessment.observedDirectly = true;
    }
}

// Excludes as many leaving members as the tolerance allows, later chain positions first, replacing each with a ready joiner if
// there is one.
void ViewPlanner::assessLeavers(Millis now, Assessment& assessment) const {
    if (!chain_.isInstalled()) return;
    for (const Member& member : membership_.view.members | std::views::reverse) {
        const std::string& address = member.internalAddress;
        if (assessment.excluded.contains(address) || !isLeaving(member, now)) continue;
        if (!canLeave(now, member, assessment)) continue;
        assessment.excluded.insert(address);
        assessment.observedDirectly = true;
    }
}

bool ViewPlanner::canLeave(Millis now, const Member& member, const Assessment& assessment) const {
    Assessment without = assessment;
    without.excluded.insert(member.internalAddress);
    joiners_.select(now, without, JoinerSelection::Candidates::ready);
    return requirements_.keepsTolerance(without.nextMembers(membership_.view));
}

void ViewPlanner::assessVoters(Millis now, Assessment& assessment) const {
    if (!chain_.isInstalled()) return;
    const View& view = membership_.view;
    const std::vector<Member> next =
        nextVoters(voters_.present(now, assessment), assessment.nextMembers(view), requirements_.tolerance());
    if (std::ranges::equal(next, view.effectiveVoters(), sameDisk)) return;
    assessment.voters = true;
    assessment.observedDirectly = true;
}

bool ViewPlanner::isLeaving(const Member& member, Millis now) const {
    if (sameDisk(member, membership_.self)) return membership_.leaving;
    const Peer* peer = detector_.findReachable(member.internalAddress, now);
    return peer && sameDisk(peer->member, member) && peer->status.leaving;
}

// ---- Look-ups

bool ViewPlanner::isMember(const std::string& address) const {
    const auto& members = membership_.view.members;
    return std::ranges::find(members, address, &Member::internalAddress) != members.end();
}

// ---- Proposing

std::size_t ViewPlanner::rank(Millis now, const Assessment& assessment) const {
    std::size_t rank = 0;
    for (const Member& member : membership_.view.members) {
        const bool excluded = assessment.excluded.contains(member.internalAddress);
        if (sameDisk(member, membership_.self)) return excluded ? membership_.view.members.size() : rank;
        if (!excluded && detector_.findReachable(member.internalAddress, now)) ++rank;
    }
    return rank;
}

std::optional<View> ViewPlanner::compose(Millis now,
                                         const std::map<std::string, ReceivedPromise>& promises) const {
    return composer_.compose(now, assess(now), promises);
}

View ViewPlanner::composeFounding(const std::map<std::string, ReceivedPromise>& promises) const {
    return composer_.composeFounding(promises);
}

}  // namespace beechpoint::replica
