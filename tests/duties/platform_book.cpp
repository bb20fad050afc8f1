#include "platform_book.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::duties {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

}  // namespace

int PlatformModel::onCall(Millis now, const std::string& holder, std::uint64_t token, std::uint64_t number,
                          const std::string& body) {
    if (token < highestToken_) {
        ++conflicts_;
        return kConflict;
    }
    highestToken_ = token;
    checkAlternation(now, holder);
    const auto [entry, isNew] = accepted_.emplace(number, body);
    if (!isNew) ++duplicates_;
    if (entry->second != body)
        addViolation(fmt::format("two bodies for window {}: {} and {}", number, entry->second, body));
    return kOk;
}

void PlatformModel::onSent(const std::string& holder, std::uint64_t token) {
    const auto [entry, isNew] = holderByToken_.emplace(token, holder);
    if (entry->second != holder)
        addViolation(fmt::format("token {} used by two holders: {} and {}", token, entry->second, holder));
}

void PlatformModel::checkAlternation(Millis now, const std::string& holder) {
    if (!acceptedCalls_.empty() && acceptedCalls_.back().holder != holder) {
        ++holderChanges_;
        const bool isAlternating = std::ranges::any_of(acceptedCalls_, [&](const AcceptedCall& call) {
            return call.holder == holder && now - call.at < leaseMs_;
        });
        if (isAlternating)
            addViolation(fmt::format("{}, {}, {} within the lease time", holder, acceptedCalls_.back().holder,
                                     holder));
    }
    acceptedCalls_.push_back({now, holder});
}

}  // namespace beechpoint::duties
