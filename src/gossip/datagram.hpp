/// The header of every datagram between gatherers, and the check of what comes in. No socket here.
///
///     bytes  0-1  "bg"    2  version    3  channel    4-7  checksum (xxHash, big-endian) over the channel and all that follows
///     then   [hash of the group's name, sender's name, its process incarnation, its group's number], the message, MessagePack
///
/// What does not fit is dropped and counted by its reason. The checksum finds damage, not forgery: who can send from a
/// peer's address is trusted, as the platform's network is.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::gossip {

inline constexpr std::size_t kMaxDatagramBytes = 256;  // of a datagram: the platform's limit
inline constexpr std::uint8_t kVersion = 1;

enum class Channel : std::uint8_t { membership = 1, raft = 2, singletonRoles = 3, hostProber = 4 };

struct Header {
    Channel channel = Channel::raft;
    std::string sender;
    std::uint64_t processIncarnation = 0;  // one start of its process
    std::uint64_t groupNumber = 0;         // of its group; 0: not founded
};

// Empty where it would be longer than kMostBytes: the caller counts that, and sends nothing.
std::string encodeDatagram(const std::string& group, const Header& header, std::string_view body);

enum class DropReason { none, tooLong, tooShort, foreign, version, checksum, group, header };
const char* nameOf(DropReason reason);

struct DecodedDatagram {
    Header header;
    std::string body;
};
std::optional<DecodedDatagram> decodeDatagram(const std::string& group, std::string_view bytes,
                                              DropReason& why);

}  // namespace beechpoint::gossip
