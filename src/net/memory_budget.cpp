#include "net/memory_budget.hpp"

#include <algorithm>

namespace beechpoint::net {

namespace {

constexpr Millis kMinHeldTime = 100;  // so that what has just come is compared by its bytes
constexpr std::size_t kMinFreedBytes = std::size_t{16} * 1024;  // freeing less is not worth a connection
constexpr std::size_t kRoomShare = 16;  // one part in so many is freed beyond what is needed

}  // namespace

MemoryBudget::AccountId MemoryBudget::open() {
    accounts_.emplace(++lastId_, Holding{});
    return lastId_;
}

void MemoryBudget::close(AccountId id) {
    hold(id, Holding{});
    accounts_.erase(id);
}

void MemoryBudget::hold(AccountId id, const Holding& holding) {
    const auto found = accounts_.find(id);
    if (found == accounts_.end()) return;
    Holding& current = found->second;
    used_ -= current.bytes + current.pinned;
    pinned_ -= current.pinned;
    current = holding;
    used_ += current.bytes + current.pinned;
    pinned_ += current.pinned;
}

// Those whose bytes may be freed, the growing one among them by what it would hold.
std::vector<MemoryBudget::Candidate> MemoryBudget::candidates(AccountId growing, std::size_t more,
                                                              Millis now) const {
    std::vector<Candidate> found;
    for (const auto& [id, holding] : accounts_) {
        const bool grows = id == growing;
        if (!grows && (holding.use == MemoryUse::inUse || holding.bytes < kMinFreedBytes)) continue;
        const double bytes = static_cast<double>(holding.bytes + (grows ? more : 0));
        const Millis heldFor = std::max<Millis>(now - holding.since, 0) + kMinHeldTime;
        found.push_back({bytes * heldFor, id, holding.bytes});
    }
    return found;
}

MemoryBudget::Decision MemoryBudget::grow(AccountId id, std::size_t more, Millis now) const {
    Decision decision;
    if (used_ <= limit_ && limit_ - used_ >= more) return decision;
    const auto isCheaper = [](const Candidate& left, const Candidate& right) {
        return left.cost < right.cost || (left.cost == right.cost && left.id < right.id);
    };
    std::vector<Candidate> heap = candidates(id, more, now);
    std::make_heap(heap.begin(), heap.end(), isCheaper);
    const std::size_t room = limit_ / kRoomShare;
    std::size_t freed = 0;
    const auto fits = [&](std::size_t spare) { return used_ - freed + more + spare <= limit_; };
    while (!heap.empty() && !fits(room)) {
        const Candidate next = heap.front();
        if (next.id == id) break;
        std::pop_heap(heap.begin(), heap.end(), isCheaper);
        heap.pop_back();
        decision.toFree.push_back(next.id);
        freed += next.bytes;
    }
    decision.granted = fits(0);
    if (!decision.granted) decision.toFree.clear();
    return decision;
}

MemoryBudget::Decision MemoryBudget::admit(AccountId id, std::size_t bytes, Millis now) const {
    const std::size_t left = limit_ - std::min(pinned_, limit_);
    if (bytes > left / 2) return {false, {}};
    return grow(id, bytes, now);
}

}  // namespace beechpoint::net
