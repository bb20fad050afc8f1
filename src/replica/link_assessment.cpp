#include "replica/link_assessment.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>

namespace beechpoint::replica {

void LinkAssessment::excludeUnresponsive(Millis now, Assessment& assessment) const {
    for (const std::string& address : detector_.unresponsivePeers(now)) {
        if (!isMember(address) || assessment.excluded.contains(address)) continue;
        assessment.observedDirectly = true;
        if (!detector_.isReachedByAnyPeer(address, now)) assessment.excluded.insert(address);
    }
}

void LinkAssessment::excludeBroken(Millis now, Assessment& assessment) const {
    std::vector<BrokenLink> broken = brokenLinks(now, assessment);
    while (!broken.empty()) {
        const std::string worst = memberWithMostBroken(broken);
        if (worst.empty()) return;
        assessment.excluded.insert(worst);
        std::erase_if(broken, [&](const BrokenLink& link) { return link.from == worst || link.to == worst; });
    }
}

std::vector<LinkAssessment::BrokenLink> LinkAssessment::brokenLinks(Millis now,
                                                                    const Assessment& assessment) const {
    std::vector<BrokenLink> broken;
    const auto add = [&](const std::string& from, const std::string& to) {
        if (!isMember(to) || assessment.excluded.contains(from) || assessment.excluded.contains(to)) return;
        broken.push_back({from, to});
    };
    for (const std::string& address : detector_.unresponsivePeers(now))
        add(membership_.self.internalAddress, address);
    for (const Member& member : membership_.view.members) {
        const Peer* peer = detector_.findReachable(member.internalAddress, now);
        if (!peer || peer->epoch != membership_.view.epoch) continue;
        for (const std::string& address : peer->status.unresponsivePeers)
            add(member.internalAddress, address);
    }
    return broken;
}

// Among equals the last in the chain; empty if no member of the view has a broken link.
std::string LinkAssessment::memberWithMostBroken(const std::vector<BrokenLink>& broken) const {
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

// ---- Search

bool LinkAssessment::isSufficient(Millis now, const Assessment& assessment) const {
    Assessment extended = assessment;
    joiners_.select(now, extended, JoinerSelection::Candidates::any);
    return requirements_.isSufficient(extended.nextMembers(membership_.view));
}

// A set of members is a number whose bits stand for the remaining members, the first of the chain the highest: of two sets of one
// size, the greater number keeps the earlier positions. There are at most 2 to the power of kMaxMembers sets.
std::optional<Assessment> LinkAssessment::sufficientExclusion(Millis now,
                                                              const Assessment& assessment) const {
    const std::vector<std::string> remaining = remainingMembers(assessment);
    const std::vector<BrokenLink> broken = brokenLinks(now, assessment);
    const std::size_t all = (std::size_t{1} << remaining.size()) - 1;
    std::optional<Assessment> best;
    int bestSize = 0;
    for (std::size_t kept = all; kept > 0; --kept) {
        if (std::popcount(kept) <= bestSize) continue;
        Assessment candidate = assessment;
        for (std::size_t index = 0; index < remaining.size(); ++index)
            if ((kept >> (remaining.size() - 1 - index) & 1) == 0)
                candidate.excluded.insert(remaining[index]);
        const bool isLinked = std::ranges::none_of(broken, [&](const BrokenLink& link) {
            return !candidate.excluded.contains(link.from) && !candidate.excluded.contains(link.to);
        });
        if (!isLinked || !isSufficient(now, candidate)) continue;
        best = std::move(candidate);
        bestSize = std::popcount(kept);
    }
    return best;
}

std::vector<std::string> LinkAssessment::remainingMembers(const Assessment& assessment) const {
    std::vector<std::string> remaining;
    for (const Member& member : membership_.view.members)
        if (!assessment.excluded.contains(member.internalAddress))
            remaining.push_back(member.internalAddress);
    return remaining;
}

bool LinkAssessment::isMember(const std::string& address) const {
    const auto& members = membership_.view.members;
    return std::ranges::find(members, address, &Member::internalAddress) != members.end();
}

}  // namespace beechpoint::replica
