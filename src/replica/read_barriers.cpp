#include "replica/read_barriers.hpp"

#include <limits>

namespace beechpoint::replica {

void ReadBarriers::add(Millis now, std::uint64_t token) {
    if (reads_.size() >= kMaxReads || !membership_.isActive() || !membership_.isTail()) {
        outbox_.emit(ReadDone{token, false});
        return;
    }
    reads_.push_back({token, detector_.lastSequence() + 1, now + kReadTimeout});
    tick(now);
}

void ReadBarriers::tick(Millis now) {
    if (reads_.empty()) return;
    if (!membership_.isActive() || !membership_.isTail()) {
        failAll();
        return;
    }
    if (now >= nextRoundAt()) detector_.startRound(now);
    while (!reads_.empty() && chain_.isInstalled() && reads_.front().round <= detector_.lastSequence() &&
           detector_.hasMajorityContactSinceRound(reads_.front().round))
        finishOldest(true);
    while (!reads_.empty() && now >= reads_.front().deadline) finishOldest(false);
}

void ReadBarriers::failAll() {
    while (!reads_.empty()) finishOldest(false);
}

Millis ReadBarriers::nextRoundAt() const {
    const bool due = !reads_.empty() && reads_.back().round > detector_.lastSequence();
    return due ? detector_.lastRoundAt() + kReadRoundInterval : std::numeric_limits<Millis>::infinity();
}

void ReadBarriers::finishOldest(bool ok) {
    outbox_.emit(ReadDone{reads_.front().token, ok});
    reads_.pop_front();
}

}  // namespace beechpoint::replica
