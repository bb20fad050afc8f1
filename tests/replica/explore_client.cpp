// The client of the explored world.
#include <fmt/format.h>

#include <algorithm>

#include "explore_world.hpp"
#include "position_text.hpp"

namespace beechpoint::replica::exploration {

namespace {

constexpr Millis kClientEvery = 30;

}  // namespace

// Sends a write to every process that accepts one, and a read to every process that considers itself the tail.
void World::client() {
    if (!clientRuns_) return;
    for (std::size_t index = 0; index < kNodes; ++index) {
        Node& node = nodes_[index];
        if (!node.replica || now_ < node.frozenUntil) continue;
        if (node.replica->isWritable()) {
            const std::uint64_t token = nextToken_++;
            openWrites_[token] = {index, std::to_string(token)};
            deliver(index, ClientWrite{token, {{fmt::format("key/{}", token % 7), std::to_string(token)}}});
        }
        if (node.replica && node.replica->isTail()) {
            const std::uint64_t token = nextToken_++;
            openReads_[token] = acknowledged_;
            deliver(index, ReadBarrier{token});
        }
    }
    after(kClientEvery, [this] { client(); });
}

void World::onWriteDone(std::size_t index, const WriteDone& done) {
    const auto found = openWrites_.find(done.token);
    if (found == openWrites_.end()) return fail("a write was answered twice");
    const OpenWrite open = found->second;
    openWrites_.erase(found);
    if (done.outcome != WriteOutcome::committed) return;
    ++outcome_.acknowledged;
    const Replica& replica = *nodes_[index].replica;
    const auto& table = replica.committedTable();
    if (std::ranges::none_of(table, [&](const auto& entry) { return entry.second == open.value; }))
        return fail(fmt::format("node {} acknowledged a write that its table lacks", index));
    know(index, replica.committedPosition(), table);
    if (replica.committedPosition() <= acknowledged_) return;
    acknowledged_ = replica.committedPosition();
    for (const auto& [epoch, view] : views_) checkStart(view, acknowledged_);
    acknowledgements_.emplace_back(now_, acknowledged_);
}

void World::onReadDone(std::size_t index, const ReadDone& done) {
    const auto found = openReads_.find(done.token);
    if (found == openReads_.end()) return fail("a read was answered twice");
    const Position floor = found->second;
    openReads_.erase(found);
    if (!done.ok) return;
    ++outcome_.reads;
    const Position position = nodes_[index].replica->committedPosition();
    if (position < floor)
        fail(fmt::format("node {} reads {} though {} was acknowledged", index, text(position), text(floor)));
}

}  // namespace beechpoint::replica::exploration
