#include "replica/replica.hpp"

#include <utility>

#include "replica/replica_core.hpp"

namespace beechpoint::replica {

Replica::Replica(Settings settings, DurableState state, std::uint64_t seed, Millis now)
    : core_(std::make_unique<ReplicaCore>(std::move(settings), state, seed, now)) {}

Replica::~Replica() = default;

void Replica::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    core_->handle(now, event, actions);
}

const Table& Replica::committedTable() const { return core_->chain().table().committedTable(); }

std::shared_ptr<const Table> Replica::committedSnapshot() const {
    return core_->chain().table().committedSnapshot();
}

Position Replica::committedPosition() const { return core_->chain().table().committedPosition(); }

std::optional<TableUpdate> Replica::updateSince(Position position) const {
    return core_->chain().updateSince(position);
}

const Member& Replica::self() const { return core_->membership().self; }

const View& Replica::view() const { return core_->membership().view; }

bool Replica::isInView() const { return core_->membership().index.has_value(); }

bool Replica::isHead() const { return core_->membership().isHead(); }

bool Replica::isTail() const { return core_->membership().isTail(); }

bool Replica::isWritable() const { return core_->chain().isWritable(); }

bool Replica::hasLeft(Millis now) const { return core_->hasLeft(now); }

bool Replica::isFresh(Millis now) const {
    const bool upToDate = core_->membership().isActive() && core_->chain().isUpToDate(now);
    return upToDate && core_->detector().hasMajorityContactSinceTime(now - kFreshDuration);
}

}  // namespace beechpoint::replica
