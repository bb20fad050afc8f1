/// Packed tables that are being sent to gateways in chunks. A transfer is identified by its digest, so that a gateway can resume it while the
/// table changes, and at any member that packed the same bytes. A transfer that was evicted starts again.
///
/// Bounded by kMaxTransfers and kMaxTransferBytes with least-recently-used eviction. No state is kept per gateway, so a gateway that requests
/// chunks forever occupies nothing. Without I/O. Owned by PollResponder.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "control_messages/messages.hpp"
#include "core/clock.hpp"

namespace beechpoint::control {

class TableTransfers {
public:
    static constexpr std::size_t kMaxTransfers = 4;
    static constexpr std::size_t kMaxTransferBytes = std::size_t{24} * 1024 * 1024;

    /// Fills in the next chunk of the transfer that the request names. False: the transfer is unknown here or complete.
    [[nodiscard]] bool resume(Millis now, const PollRequest& request, PollReply& reply);
    /// Fills in the first chunk of this packed table that the gateway lacks; with the same digest, the one after its last chunk.
    void begin(Millis now, std::string packed, const PollRequest& request, PollReply& reply);
    /// Removes a chunk or packed table from a reply that is too large to send now.
    static void leaveOut(PollReply& reply);

    [[nodiscard]] std::size_t size() const { return transfers_.size(); }

private:
    struct Transfer {
        std::string packed;
        Millis usedAt = 0;
    };
    void evict();

    std::map<std::uint64_t, Transfer> transfers_;  // by digest
    std::size_t bytes_ = 0;                        // of all
};

}  // namespace beechpoint::control
