#include "control/transfer_slots.hpp"

#include <algorithm>

namespace beechpoint::control {
namespace {

constexpr double kSmoothing = 0.2;  // weight of the newest slot's duration

}  // namespace

void TransferSlots::release(Millis now, const std::string& gateway) {
    const auto slot = held_.find(gateway);
    if (slot == held_.end()) return;
    learn(now - slot->second);
    held_.erase(slot);
}

bool TransferSlots::admit(Millis now, const std::string& gateway) {
    expire(now);
    if (held_.contains(gateway)) return true;
    if (held_.size() >= kSlots) {
        if (pending_.size() < kMaxPending || pending_.contains(gateway)) pending_[gateway] = now;
        return false;
    }
    pending_.erase(gateway);
    held_[gateway] = now;
    return true;
}

Millis TransferSlots::retryAfter() const {
    const auto turns = 1 + static_cast<double>(pending_.size()) / static_cast<double>(kSlots);
    return std::clamp(turns * duration_, kMinRetryAfter, kMaxRetryAfter);
}

void TransferSlots::expire(Millis now) {
    for (auto next = held_.begin(); next != held_.end();) {
        const auto slot = next++;
        if (now - slot->second < kMaxSlotTime) continue;
        learn(kMaxSlotTime);
        held_.erase(slot);
    }
    std::erase_if(pending_, [now](const auto& entry) { return now - entry.second > kPendingMemory; });
}

void TransferSlots::learn(Millis duration) {
    duration_ += kSmoothing * (std::min(duration, kMaxSlotTime) - duration_);
}

}  // namespace beechpoint::control
