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
    assessLinks(now, assessment);
    assessStalls(now, assessment);
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
    const Peer* peer = reachablePeer(member, now);
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
    const Peer* peer = reachablePeer(voter, now);
    if (view.findDisk(voter) || !peer || !sameDisk(peer->member, voter)) return;
    if (peer->epoch == view.epoch && peer->status.sealed) assessment.unfinished = true;
}

// ---- Links

// Excludes the unresponsive members, then greedily those with the most broken links, later chain positions first.
void ViewPlanner::assessLinks(Millis now, Assessment& assessment) const {
    assessUnresponsive(now, assessment);
    std::vector<BrokenLink> broken = brokenLinks(now, assessment);
    while (!broken.empty()) {
        const std::string worst = memberWithMostBroken(broken);
        if (worst.empty()) return;
        assessment.excluded.insert(worst);
        std::erase_if(broken, [&](const BrokenLink& link) { return link.from == worst || link.to == worst; });
    }
}

void ViewPlanner::assessUnresponsive(Millis now, Assessment& assessment) const {
    for (const std::string& address : detector_.unresponsivePeers(now)) {
        if (!isMember(address) || assessment.excluded.contains(address)) continue;
        assessment.observedDirectly = true;
        if (!detector_.isReachedByAnyPeer(address, now)) assessment.excluded.insert(address);
    }
}

std::vector<ViewPlanner::BrokenLink> ViewPlanner::brokenLinks(Millis now,
                                                              const Assessment& assessment) const {
    std::vector<BrokenLink> broken;
    const auto add = [&](const std::string& from, const std::string& to) {
        if (!isMember(to) || assessment.excluded.contains(from) || assessment.excluded.contains(to)) return;
        broken.push_back({from, to});
    };
    for (const std::string& address : detector_.unresponsivePeers(now))
        add(membership_.self.internalAddress, address);
    for (const Member& member : membership_.view.members) {
        const Peer* peer = reachablePeer(member, now);
        if (!peer || peer->epoch != membership_.view.epoch) continue;
        for (const std::string& address : peer->status.unresponsivePeers)
            add(member.internalAddress, address);
    }
    return broken;
}

// Among equals the last in the chain; empty if no member of the view has a broken link.
std::string ViewPlanner::memberWithMostBroken(const std::vector<BrokenLink>& broken) const {
    std::map<std::string, std::size_t> count;
    for (const BrokenLink& link : broken) {
        ++count[link.from];
        ++count[link.to];
    }
    std::string worst;
    for (const Member& member : membership_.view.members) {
        const auto entry = count.find(member.internalAddress);
        if (entry == count.end()) continue;
        if (worst.empty() || entry->second >= count[worst]) worst = member.internalAddress;
    }
    return worst;
}

// ---- Stalls

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
    const Peer* peer = reachablePeer(head, now);
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
    const Peer* peer = reachablePeer(member, now);
    return peer && sameDisk(peer->member, member) && peer->status.leaving;
}

// ---- Look-ups

bool ViewPlanner::isMember(const std::string& address) const {
    const auto& members = membership_.view.members;
    return std::ranges::find(members, address, &Member::internalAddress) != members.end();
}

const Peer* ViewPlanner::reachablePeer(const Member& member, Millis now) const {
    const Peer* peer = detector_.find(member.internalAddress);
    return peer && detector_.isReachable(member.internalAddress, now) ? peer : nullptr;
}

// ---- Proposing

std::size_t ViewPlanner::rank(Millis now, const Assessment& assessment) const {
    std::size_t rank = 0;
    for (const Member& member : membership_.view.members) {
        const bool excluded = assessment.excluded.contains(member.internalAddress);
        if (sameDisk(member, membership_.self)) return excluded ? membership_.view.members.size() : rank;
        if (!excluded && reachablePeer(member, now)) ++rank;
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
