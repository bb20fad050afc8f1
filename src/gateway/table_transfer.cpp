#include "gateway/table_transfer.hpp"

#include <utility>

#include "control_messages/table_packing.hpp"

namespace beechpoint::gateway {

void TableTransfer::describe(control::PollRequest& request) const {
    request.acceptsChunks = true;
    request.transferDigest = digest_;
    request.transferOffset = received_.size();
}

bool TableTransfer::continues(const control::PollReply& reply, Position position) const {
    return digest_ != 0 && reply.transferDigest == digest_ && reply.transferSize == size_ &&
           position == base_;
}

void TableTransfer::restart(const control::PollReply& reply, Position position) {
    digest_ = reply.transferDigest;
    size_ = reply.transferSize;
    base_ = position;
    received_.clear();
}

std::optional<TableUpdate> TableTransfer::onReply(const control::PollReply& reply, Position position) {
    if (reply.transferSize == 0 || reply.transferSize > control::kMaxUnpackedBytes) return std::nullopt;
    if (!continues(reply, position)) restart(reply, position);
    const bool fits = reply.packedTable.size() <= size_ - received_.size();
    if (reply.transferOffset != received_.size() || !fits) return std::nullopt;
    received_ += reply.packedTable;
    if (received_.size() < size_) return std::nullopt;
    return finish();
}

std::optional<TableUpdate> TableTransfer::finish() {
    const std::string packed = std::exchange(received_, {});
    const std::uint64_t expected = std::exchange(digest_, 0);
    if (control::packedDigest(packed) != expected) return std::nullopt;
    auto update = control::unpackTable(packed);
    if (!update) return std::nullopt;
    return std::move(update.value());
}

}  // namespace beechpoint::gateway
