#include "replica/removal_history.hpp"

#include <algorithm>
#include <cstddef>

#include "replica/settings.hpp"

namespace beechpoint::replica {

namespace {

constexpr std::size_t kMaxRemovals = 2 * kMaxMembers;

}  // namespace

void RemovalHistory::enterView(Millis now, const View& before, const View& view) {
    for (const Member& member : before.members)
        if (!view.indexOfProcess(member)) removals_.push_back({member, now});
    if (removals_.size() <= kMaxRemovals) return;
    removals_.erase(removals_.begin(), removals_.end() - static_cast<std::ptrdiff_t>(kMaxRemovals));
}

Millis RemovalHistory::probationOf(const Member& process, Millis now) const {
    Millis probation = 0;
    for (const Removal& removal : removals_) {
        if (!sameProcess(removal.process, process) || now - removal.at > kFlapWindow) continue;
        probation = probation == 0 ? kProbation : std::min(2 * probation, kMaxProbation);
    }
    return probation;
}

Millis RemovalHistory::learningDeadline(const Peer& peer) const {
    Millis since = peer.respondingWithGapsSince;
    Millis span = kMaxLearningTime;
    for (const Removal& removal : removals_) {
        if (!sameProcess(removal.process, peer.member)) continue;
        since = std::max(since, removal.at);
        span = std::min(2 * span, kMaxRepeatedLearningTime);
    }
    return since + span;
}

}  // namespace beechpoint::replica
