#include "control/responsive_members.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxMembers = 64;

}  // namespace

void ResponsiveMembers::onMessage(const std::string& internalAddress, Millis now) {
    const bool isKnown = lastMessageAt_.contains(internalAddress);
    if (lastMessageAt_.size() >= kMaxMembers && !isKnown) dropUnresponsive(now);
    if (lastMessageAt_.size() < kMaxMembers || isKnown) lastMessageAt_[internalAddress] = now;
}

bool ResponsiveMembers::isResponsive(const std::string& internalAddress, Millis now) const {
    const auto found = lastMessageAt_.find(internalAddress);
    return found != lastMessageAt_.end() && now - found->second <= kUnresponsiveAfter;
}

void ResponsiveMembers::dropUnresponsive(Millis now) {
    std::erase_if(lastMessageAt_,
                  [now](const auto& entry) { return now - entry.second > kUnresponsiveAfter; });
}

}  // namespace beechpoint::control
