/// A datagram between gateways with the load that waits at hosts and how fast these were, as bytes: kind, source, sequence, full or
/// not, eight bytes a host and five a speed. All numbers are little-endian. Nothing of it is trusted: one that can't be decoded
/// completely is dropped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/messages.hpp"

namespace beechpoint::gateway {

enum class LoadKind : std::uint8_t {
    gateway = 1,  ///< one gateway's own load, to those of its zone
    zone = 2,  ///< a zone's total load, to one gateway of another zone, which forwards it to the others there
    forwarded = 3,  ///< the same, forwarded
};

struct LoadDatagram {
    // Within 1,200 bytes, which fit one packet.
    static constexpr std::size_t kMaxHosts = 100;
    static constexpr std::size_t kMaxSpeeds = 60;

    LoadKind kind = LoadKind::gateway;
    /// Of a gateway its session; of a zone the hash of the zone's name and its speaker's session.
    std::uint64_t source = 0;
    std::uint32_t sequence = 0;  ///< of the source; rises
    bool full = false;           ///< hosts that are not named have nothing waiting
    std::vector<dispatch::HostLoad> hosts;
    std::vector<dispatch::HostSpeed> speeds;
    bool operator==(const LoadDatagram&) const = default;
};

/// Hosts and speeds beyond the bounds are left out, figures are rounded up and bounded to the form's ranges.
[[nodiscard]] std::string encode(const LoadDatagram& datagram);
/// Nothing where the bytes are no such datagram.
[[nodiscard]] std::optional<LoadDatagram> decodeLoad(std::string_view bytes);

}  // namespace beechpoint::gateway
