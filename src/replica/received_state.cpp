#include "replica/received_state.hpp"

#include <utility>

namespace beechpoint::replica {

void ReceivedState::enterView() {
    if (!committedOnly_) clear();
}

void ReceivedState::clear() { *this = ReceivedState{}; }

void ReceivedState::describe(SyncRequest& request) const {
    request.acceptsChunks = true;
    request.base = base_;
    request.afterKey = afterKey_;
}

bool ReceivedState::fits(const SyncReply& reply) const {
    // A delayed first chunk, or one from a member that is behind, does not abort the transfer in progress.
    if (reply.afterKey.empty()) return afterKey_.empty() || reply.base > base_;
    if (reply.base != base_ || reply.afterKey != afterKey_) return false;
    // Received rows that are newer than the sender's state could not be distinguished from rows that it has.
    return reply.update.position >= newest_;
}

std::optional<TableUpdate> ReceivedState::onChunk(const SyncReply& reply, Source source) {
    if (reply.update.changes.empty()) return std::nullopt;
    // Chunks from before the view may be newer than the table of a member that holds the view's start as a pending batch only. If that
    // member is the only one left, waiting for a chunk that continues them would never end.
    if (source == Source::startingState && committedOnly_ && !fits(reply)) clear();
    if (!fits(reply)) return std::nullopt;
    const bool isFirst = reply.afterKey.empty();
    if (isFirst) {
        clear();
        base_ = reply.base;
    }
    newest_ = reply.update.position;
    if (source == Source::startingState) committedOnly_ = false;
    beechpoint::apply(reply.update.changes, rows_);
    if (reply.more) {
        afterKey_ = reply.update.changes.back().key;
        return std::nullopt;
    }
    TableUpdate update{reply.update.position, true, {}};
    for (auto& [key, value] : rows_) update.changes.push_back({key, std::move(value)});
    clear();
    return update;
}

}  // namespace beechpoint::replica
