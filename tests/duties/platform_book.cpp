#include "platform_book.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::duties {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

}  // namespace

int PlatformBook::onCall(Millis now, const std::string& holder, std::uint64_t token, std::uint64_t number,
                         const std::string& body) {
    if (token < highestToken_) {
        ++conflicts_;
        return kConflict;
    }
    highestToken_ = token;
    checkTurns(now, holder);
    const auto [entry, isNew] = accepted_.emplace(number, body);
    if (!isNew) ++repeats_;
    if (entry->second != body)
        violate(fmt::format("two bodies for window {}: {} and {}", number, entry->second, body));
    return kOk;
}

void PlatformBook::onSent(const std::string& holder, std::uint64_t token) {
    const auto [entry, isNew] = holderOfToken_.emplace(token, holder);
    if (entry->second != holder)
        violate(fmt::format("token {} used by two holders: {} and {}", token, entry->second, holder));
}

void PlatformBook::checkTurns(Millis now, const std::string& holder) {
    if (!acts_.empty() && acts_.back().holder != holder) {
        ++holderChanges_;
        const bool isTurn = std::ranges::any_of(
            acts_, [&](const Act& act) { return act.holder == holder && now - act.at < leaseMs_; });
        if (isTurn)
            violate(fmt::format("{}, {}, {} within the lease time", holder, acts_.back().holder, holder));
    }
    acts_.push_back({now, holder});
}

}  // namespace beechpoint::duties
