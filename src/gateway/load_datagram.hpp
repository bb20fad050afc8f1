// A datagram between gateways with what waits at hosts and how fast these were, as bytes: kind, source, sequence, whole or not, eight bytes
// a host and five a speed. All numbers are little-endian. Nothing of it is trusted: one that can't be read whole is dropped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/messages.hpp"

namespace beechpoint::gateway {

enum class LoadKind : std::uint8_t {
    gateway = 1,    // one gateway's own, to those of its zone
    zone = 2,       // all of a zone's, to one gateway of another zone, which hands it on to the others there
    forwarded = 3,  // the same, forwarded
};

struct LoadDatagram {
    static constexpr std::size_t kMostHosts = 100,
                                 kMostSpeeds = 60;  // within 1,200 bytes, which fit one packet

    LoadKind kind = LoadKind::gateway;
    std::uint64_t source =
        0;  // of a gateway its session, of a zone the hash of that of its speaker and its name
    std::uint32_t sequence = 0;  // of the source; rises
    bool full = false;           // hosts that are not named have nothing waiting
    std::vector<dispatch::HostLoad> hosts;
    std::vector<dispatch::HostSpeed> speeds;
    bool operator==(const LoadDatagram&) const = default;
};

std::string encode(const LoadDatagram& datagram);
std::optional<LoadDatagram> decodeLoad(std::string_view bytes);

}  // namespace beechpoint::gateway
