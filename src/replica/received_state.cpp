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

std::optional<TableUpdate> ReceivedState::onChunk(const SyncReply& reply, Source source) {
    // A delayed first chunk, or one from a member that is behind, does not abort the transfer in progress.
    const bool isFirst = reply.afterKey.empty();
    const bool fits = isFirst ? afterKey_.empty() || reply.base > base_
                              : reply.base == base_ && reply.afterKey == afterKey_;
    if (!fits || reply.update.changes.empty()) return std::nullopt;
    // Received rows that are newer than the sender's state could not be distinguished from rows that it has.
    if (!isFirst && reply.update.position < newest_) return std::nullopt;
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
