#include "replica/joiner_selection.hpp"

#include <algorithm>
#include <vector>

namespace beechpoint::replica {

void JoinerSelection::select(Millis now, Assessment& assessment, Candidates candidates) const {
    selectAmong(now, assessment, candidates, true);
    selectAmong(now, assessment, candidates, false);
}

void JoinerSelection::selectAmong(Millis now, Assessment& assessment, Candidates candidates,
                                  bool countsAsLoss) const {
    for (const auto& [address, peer] : detector_.peers()) {
        if (!hasCapacity(assessment)) return;
        if (peer.member.countsAsLoss != countsAsLoss) continue;
        if (candidates == Candidates::ready && !isReady(peer, now)) continue;
        if (!isEligible(peer, now, assessment)) continue;
        std::vector<Member> members = assessment.nextMembers(membership_.view);
        members.push_back(peer.member);
        if (!countsAsLoss && !majoritySurvivesWithoutUncounted(members, membership_.settings.tolerance))
            continue;
        assessment.joiners.push_back(peer.member);
        assessment.observedDirectly = true;
    }
}

bool JoinerSelection::hasCapacity(const Assessment& assessment) const {
    const std::size_t members = std::min(kMaxMembers, membership_.view.members.size());
    return assessment.joiners.size() < kMaxMembers - members + assessment.excluded.size();
}

bool JoinerSelection::isReady(const Peer& peer, Millis now) const {
    return chain_.isNearlyCaughtUp(peer.status.stored) || now >= removals_.learningDeadline(peer);
}

bool JoinerSelection::isEligible(const Peer& peer, Millis now, const Assessment& assessment) const {
    const Member& member = peer.member;
    if (member.incarnation == 0 || !detector_.isReachable(member.internalAddress, now)) return false;
    if (peer.status.diskFailing || peer.status.leaving || membership_.view.findDisk(member)) return false;
    if (!isNameFree(member.name, assessment)) return false;
    if (!isReachedByAllMembers(member.internalAddress, now, assessment)) return false;
    return now - peer.respondingSince >= removals_.probationOf(member, now);
}

bool JoinerSelection::isNameFree(const std::string& name, const Assessment& assessment) const {
    const Member* namesake = membership_.view.find(name);
    if (namesake && !assessment.excluded.contains(namesake->internalAddress)) return false;
    return std::ranges::find(assessment.joiners, name, &Member::name) == assessment.joiners.end();
}

bool JoinerSelection::isReachedByAllMembers(const std::string& address, Millis now,
                                            const Assessment& assessment) const {
    return std::ranges::all_of(membership_.view.members, [&](const Member& member) {
        if (sameDisk(member, membership_.self)) return true;
        if (assessment.excluded.contains(member.internalAddress)) return true;
        const Peer* peer = detector_.find(member.internalAddress);
        return peer && detector_.isReachable(member.internalAddress, now) && peer->reaches(address);
    });
}

}  // namespace beechpoint::replica
