#include "control/pending_operations.hpp"

#include <utility>

namespace beechpoint::control {

void PendingOperations::add(std::uint64_t token, Done done) { byToken_.emplace(token, std::move(done)); }

PendingOperations::Done PendingOperations::take(std::uint64_t token) {
    const auto node = byToken_.extract(token);
    if (node.empty()) return {};
    return std::move(node.mapped());
}

std::map<std::uint64_t, PendingOperations::Done> PendingOperations::takeAll() {
    return std::exchange(byToken_, {});
}

}  // namespace beechpoint::control
