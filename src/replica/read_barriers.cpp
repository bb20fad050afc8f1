#include "replica/read_barriers.hpp"

#include <limits>

namespace beechpoint::replica {

void ReadBarriers::add(Millis now, std::uint64_t token) {
    if (reads_.size() >= kMaxReads || !membership_.active() || !membership_.isTail()) {
        outbox_.emit(ReadDone{token, false});
        return;
    }
    reads_.push_back({token, detector_.lastSequence() + 1, now + kReadTimeout});
    tick(now);
}

void ReadBarriers::tick(Millis now) {
    if (reads_.empty()) return;
    if (!membership_.active() || !membership_.isTail()) return failAll();
    if (now >= nextRoundAt()) detector_.startRound(now);
    while (!reads_.empty() && chain_.installed() && reads_.front().round <= detector_.lastSequence() &&
           detector_.vouchedSinceRound(reads_.front().round))
        finish(true);
    while (!reads_.empty() && now >= reads_.front().deadline) finish(false);
}

void ReadBarriers::failAll() {
    while (!reads_.empty()) finish(false);
}

Millis ReadBarriers::nextRoundAt() const {
    const bool due = !reads_.empty() && reads_.back().round > detector_.lastSequence();
    return due ? detector_.lastRoundAt() + kReadRoundEvery : std::numeric_limits<Millis>::infinity();
}

void ReadBarriers::finish(bool ok) {
    outbox_.emit(ReadDone{reads_.front().token, ok});
    reads_.pop_front();
}

}  // namespace beechpoint::replica
