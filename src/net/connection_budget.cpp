#include "net/connection_budget.hpp"

#include <algorithm>

namespace beechpoint::net {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr double kHeldShare = 0.375;   // of a process's memory
constexpr double kUnreadShare = 0.25;  // of a process's memory
constexpr std::size_t kMinReceiveBuffer = std::size_t{16} * 1024;
constexpr std::size_t kMaxReceiveBuffer = std::size_t{128} * 1024;
constexpr std::size_t kKernelFactor = 2;  // the kernel doubles SO_RCVBUF (socket(7))

}  // namespace

std::vector<LabelledFigure> overloadFigures(const OverloadCounts& counts) {
    return {{"refused_request", static_cast<double>(counts.refusedRequests)},
            {"dropped_ahead", static_cast<double>(counts.droppedAhead)},
            {"closed_answer", static_cast<double>(counts.closedAnswers)}};
}

ConnectionMemory ConnectionMemory::of(std::int64_t memoryMb) {
    const auto bytes = static_cast<double>(std::max<std::int64_t>(memoryMb, 1)) * kMegabyte;
    return {static_cast<std::size_t>(bytes * kHeldShare), static_cast<std::size_t>(bytes * kUnreadShare)};
}

std::size_t ConnectionMemory::mostConnections() const {
    if (unreadBytes == 0) return MemoryBudget::kUnlimited;
    return std::max<std::size_t>(unreadBytes / (kKernelFactor * kMinReceiveBuffer), 1);
}

int ConnectionMemory::receiveBuffer(std::size_t connections) const {
    if (unreadBytes == 0) return 0;
    const std::size_t each = unreadBytes / (kKernelFactor * std::max<std::size_t>(connections, 1));
    return static_cast<int>(std::clamp(each, kMinReceiveBuffer, kMaxReceiveBuffer));
}

ConnectionBudget::AccountId ConnectionBudget::open(Owner& owner) {
    const AccountId id = budget_.open();
    owners_.emplace(id, &owner);
    return id;
}

void ConnectionBudget::close(AccountId id) {
    budget_.close(id);
    owners_.erase(id);
}

bool ConnectionBudget::grow(AccountId id, std::size_t more, Millis now) {
    return carryOut(budget_.grow(id, more, now));
}

bool ConnectionBudget::admit(AccountId id, std::size_t bytes, Millis now) {
    return carryOut(budget_.admit(id, bytes, now));
}

bool ConnectionBudget::carryOut(const MemoryBudget::Decision& decision) {
    for (const AccountId id : decision.toFree) {
        const auto owner = owners_.find(id);
        if (owner != owners_.end()) owner->second->freeMemory();
    }
    return decision.granted;
}

}  // namespace beechpoint::net
