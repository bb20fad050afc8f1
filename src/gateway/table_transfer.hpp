/// Collects a packed table that control sends in chunks (control_messages/messages.hpp), across polls, members and failures. Free of I/O; not
/// thread-safe. Owned by Gateway.
///
///   a reply's chunk                           | what follows
///   ------------------------------------------+--------------------------------------------------------------
///   of the transfer under way, where it ends  | stored; with the last one the table is unpacked and handed out
///   of the transfer under way, elsewhere      | ignored: the next poll asks for the right one
///   of another transfer, or from another base | what was collected is dropped; its first chunk begins anew
///   complete, but of another digest           | dropped; the next poll begins anew
///
/// Memory is bounded by control::kMaxUnpackedBytes: a transfer that states a larger size is ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "control_messages/messages.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::gateway {

class TableTransfer {
public:
    /// Writes into a poll what has been collected.
    void describe(control::PollRequest& request) const;
    /// Takes a reply's chunk.
    /// @param position of the table that the gateway has
    /// @return the update, where this was the last chunk
    std::optional<TableUpdate> onReply(const control::PollReply& reply, Position position);

private:
    bool continues(const control::PollReply& reply, Position position) const;
    void restart(const control::PollReply& reply, Position position);
    std::optional<TableUpdate> finish();

    std::uint64_t digest_ = 0;  // 0: no transfer is under way
    std::uint64_t size_ = 0;
    Position base_;
    std::string received_;
};

}  // namespace beechpoint::gateway
