#include "layout/epochs.hpp"

#include <iterator>

namespace beechpoint::layout {

bool EpochTracker::update(LayoutPtr layout) {
    const Epoch epoch = layout->epoch();
    if (newest_ && epoch <= newest_->epoch()) {
        ++(epoch == newest_->epoch() ? counts_.duplicate : counts_.outdated);
        return false;
    }
    if (newest_ && epoch > newest_->epoch() + 1) ++counts_.skipped;
    ++counts_.accepted;
    newest_ = layout;
    retained_[epoch].layout = std::move(layout);
    evictUnpinned();
    return true;
}

LayoutPtr EpochTracker::find(Epoch epoch) const {
    const auto found = retained_.find(epoch);
    return found == retained_.end() ? nullptr : found->second.layout;
}

EpochTracker::Pin EpochTracker::pin(Millis deadline) {
    if (!newest_) return 0;
    const Pin pin = ++lastPin_;
    pins_[pin] = {newest_->epoch(), deadline};
    deadlines_.insert({deadline, pin});
    ++retained_.at(newest_->epoch()).pins;
    return pin;
}

void EpochTracker::removePin(std::map<Pin, std::pair<Epoch, Millis>>::iterator pin) {
    deadlines_.erase({pin->second.second, pin->first});
    if (const auto entry = retained_.find(pin->second.first); entry != retained_.end()) --entry->second.pins;
    pins_.erase(pin);
}

void EpochTracker::unpin(Pin pin) {
    const auto found = pins_.find(pin);
    if (found == pins_.end()) return;  // already expired
    removePin(found);
    evictUnpinned();
}

void EpochTracker::advance(Millis now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        removePin(pins_.find(deadlines_.begin()->second));
        ++counts_.expired;
    }
    evictUnpinned();
}

Millis EpochTracker::nextDeadline() const { return deadlines_.empty() ? 1e300 : deadlines_.begin()->first; }

Epoch EpochTracker::oldestRetained() const { return retained_.empty() ? 0 : retained_.begin()->first; }

// Evicts unpinned epochs; while more than the maximum are retained, also evicts the oldest pinned ones.
void EpochTracker::evictUnpinned() {
    for (auto entry = retained_.begin(); entry != retained_.end() && std::next(entry) != retained_.end();) {
        if (entry->second.pins > 0 && retained_.size() <= maxRetained_ + 1) {
            ++entry;
            continue;
        }
        ++counts_.evicted;
        entry = retained_.erase(entry);
    }
}

}  // namespace beechpoint::layout
