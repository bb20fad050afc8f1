#include "control/transfer_slots.hpp"

#include <algorithm>

namespace beechpoint::control {
namespace {

constexpr double kSmoothing = 0.2;  // weight of the newest slot's duration

}  // namespace

void TransferSlots::release(Millis now, const std::string& gateway) {
    const auto slot = occupied_.find(gateway);
    if (slot == occupied_.end()) return;
    recordSlotTime(now - slot->second);
    occupied_.erase(slot);
}

bool TransferSlots::admit(Millis now, const std::string& gateway) {
    expire(now);
    if (occupied_.contains(gateway)) return true;
    if (occupied_.size() >= kSlots) {
        if (pending_.size() < kMaxPending || pending_.contains(gateway)) pending_[gateway] = now;
        return false;
    }
    pending_.erase(gateway);
    occupied_[gateway] = now;
    return true;
}

Millis TransferSlots::retryAfter() const {
    const auto turns = 1 + static_cast<double>(pending_.size()) / static_cast<double>(kSlots);
    return std::clamp(turns * slotTime_, kMinRetryAfter, kMaxRetryAfter);
}

void TransferSlots::expire(Millis now) {
    for (auto next = occupied_.begin(); next != occupied_.end();) {
        const auto slot = next++;
        if (now - slot->second < kMaxSlotTime) continue;
        recordSlotTime(kMaxSlotTime);
        occupied_.erase(slot);
    }
    std::erase_if(pending_, [now](const auto& entry) { return now - entry.second > kPendingExpiry; });
}

void TransferSlots::recordSlotTime(Millis duration) {
    slotTime_ += kSmoothing * (std::min(duration, kMaxSlotTime) - slotTime_);
}

}  // namespace beechpoint::control
