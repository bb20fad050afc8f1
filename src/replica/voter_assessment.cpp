#include "replica/voter_assessment.hpp"

#include <algorithm>

namespace beechpoint::replica {

namespace {

bool hasNewDiskOf(const Member& voter, const Member& member) {
    return member.name == voter.name && member.incarnation != 0 && !sameDisk(member, voter);
}

}  // namespace

std::vector<Voter> VoterAssessment::present(Millis now, const Assessment& assessment) const {
    std::vector<Voter> voters;
    for (const Member& voter : membership_.view.effectiveVoters())
        voters.push_back(assess(now, voter, assessment));
    return voters;
}

Voter VoterAssessment::assess(Millis now, const Member& voter, const Assessment& assessment) const {
    if (sameDisk(voter, membership_.self))
        return {membership_.self, membership_.leaving ? VoterState::leaving : VoterState::present};
    if (isDiskReplaced(now, voter)) return {voter, VoterState::diskLost};
    const std::string& address = voter.internalAddress;
    const Peer* peer = detector_.find(address);
    if (!peer || !sameDisk(peer->member, voter)) return {voter, VoterState::unreachable};
    if (peer->status.leaving) return {peer->member, VoterState::leaving};
    const bool unresponsive =
        detector_.isSuspected(address, now) && !detector_.isReachedByAnyPeer(address, now);
    if (unresponsive || assessment.excluded.contains(address)) return {peer->member, VoterState::unreachable};
    return {peer->member, VoterState::present};
}

// Whether the voter's machine now runs with another disk.
bool VoterAssessment::isDiskReplaced(Millis now, const Member& voter) const {
    if (hasNewDiskOf(voter, membership_.self)) return true;
    return std::ranges::any_of(detector_.peers(), [&](const auto& entry) {
        return detector_.isReachable(entry.first, now) && hasNewDiskOf(voter, entry.second.member);
    });
}

}  // namespace beechpoint::replica
