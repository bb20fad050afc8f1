#include "control/table_transfers.hpp"

#include <algorithm>
#include <utility>

#include "control_messages/table_packing.hpp"

namespace beechpoint::control {

bool TableTransfers::resume(Millis now, const PollRequest& request, PollReply& reply) {
    const auto found = transfers_.find(request.transferDigest);
    if (found == transfers_.end()) return false;
    Transfer& transfer = found->second;
    if (request.transferOffset >= transfer.packed.size()) return false;
    transfer.usedAt = now;
    reply.transferDigest = found->first;
    reply.transferOffset = request.transferOffset;
    reply.transferSize = transfer.packed.size();
    reply.packedTable = transfer.packed.substr(request.transferOffset, kChunkBytes);
    return true;
}

void TableTransfers::begin(Millis now, std::string packed, const PollRequest& request, PollReply& reply) {
    const std::uint64_t digest = packedDigest(packed);
    const auto [entry, isNew] = transfers_.try_emplace(digest);
    if (isNew) {
        bytes_ += packed.size();
        entry->second.packed = std::move(packed);
    }
    entry->second.usedAt = now;
    PollRequest next;
    next.transferDigest = digest;
    if (request.transferDigest == digest) next.transferOffset = request.transferOffset;
    if (!resume(now, next, reply)) {
        next.transferOffset = 0;
        static_cast<void>(resume(now, next, reply));
    }
    evict();
}

void TableTransfers::leaveOut(PollReply& reply) {
    reply.packedTable.clear();
    reply.transferDigest = 0;
    reply.transferOffset = 0;
    reply.transferSize = 0;
}

// The most recently used transfer stays, whatever its size.
void TableTransfers::evict() {
    while (transfers_.size() > 1 && (transfers_.size() > kMaxTransfers || bytes_ > kMaxTransferBytes)) {
        const auto oldest =
            std::ranges::min_element(transfers_, {}, [](const auto& entry) { return entry.second.usedAt; });
        bytes_ -= oldest->second.packed.size();
        transfers_.erase(oldest);
    }
}

}  // namespace beechpoint::control
