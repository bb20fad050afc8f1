/// Packed tables that are being sent to gateways in chunks. A transfer is known by its digest, so that a gateway resumes it where it stopped, also
/// while the table moves on, and at any member that packed the same bytes. What is not known here any more is begun anew.
///
/// Bounded: at most kMaxTransfers and kMaxTransferBytes, the one used longest ago goes first. A gateway that asks for chunks for ever does not
/// occupy one: nothing is stored for a single gateway. Free of I/O. Owned by PollResponder.
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

    /// Fills in the next chunk of the transfer that the request names. False: it is not known here, or at its end.
    [[nodiscard]] bool resume(Millis now, const PollRequest& request, PollReply& reply);
    /// Fills in the first chunk of this packed table that the gateway lacks: where it has bytes of the same digest already, the next.
    void begin(Millis now, std::string packed, const PollRequest& request, PollReply& reply);
    /// Takes a chunk, or a packed table, out of a reply that is too large for now.
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
