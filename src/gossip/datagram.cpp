#include "gossip/datagram.hpp"

#include <xxhash.h>

#include "gossip/fields.hpp"

namespace beechpoint::gossip {

namespace {

constexpr std::size_t kHead = 8;

struct Names {
    std::uint32_t group = 0;
    std::string sender;
    std::uint64_t processIncarnation = 0, number = 0;
};
auto fields(Names& n) { return std::tie(n.group, n.sender, n.processIncarnation, n.number); }

std::uint32_t hashOf(std::string_view text, std::uint64_t seed = 0) {
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(text.data(), text.size(), seed));
}

}  // namespace

std::string encodeDatagram(const std::string& group, const Header& header, std::string_view body) {
    Names names{hashOf(group), header.sender, header.processIncarnation, header.groupNumber};
    msgpack::sbuffer packed;
    msgpack::packer<msgpack::sbuffer> packer(packed);
    packField(packer, names);
    std::string rest(packed.data(), packed.size());
    rest += body;
    if (rest.size() + kHead > kMaxDatagramBytes) return {};
    const std::uint32_t sum = hashOf(rest, static_cast<std::uint64_t>(header.channel));
    std::string out{'b', 'g', static_cast<char>(kVersion), static_cast<char>(header.channel)};
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(sum >> shift & 0xff);
    return out + rest;
}

const char* nameOf(DropReason reason) {
    switch (reason) {
        case DropReason::none:
            return "none";
        case DropReason::tooLong:
            return "too-long";
        case DropReason::tooShort:
            return "too-short";
        case DropReason::foreign:
            return "not-ours";
        case DropReason::version:
            return "version";
        case DropReason::checksum:
            return "checksum";
        case DropReason::group:
            return "group";
        case DropReason::header:
            return "header";
    }
    return "?";
}

std::optional<DecodedDatagram> decodeDatagram(const std::string& group, std::string_view bytes,
                                              DropReason& why) {
    const auto no = [&](DropReason reason) {
        why = reason;
        return std::nullopt;
    };
    if (bytes.size() > kMaxDatagramBytes) return no(DropReason::tooLong);
    if (bytes.size() <= kHead) return no(DropReason::tooShort);
    if (bytes[0] != 'b' || bytes[1] != 'g') return no(DropReason::foreign);
    if (static_cast<std::uint8_t>(bytes[2]) != kVersion) return no(DropReason::version);
    std::uint32_t sum = 0;
    for (std::size_t i = 4; i < kHead; ++i) sum = sum << 8 | static_cast<std::uint8_t>(bytes[i]);
    const std::string_view rest = bytes.substr(kHead);
    const auto room = static_cast<std::uint8_t>(bytes[3]);
    if (sum != hashOf(rest, room)) return no(DropReason::checksum);
    if (room < static_cast<std::uint8_t>(Channel::membership) ||
        room > static_cast<std::uint8_t>(Channel::hostProber))
        return no(DropReason::header);
    try {
        std::size_t offset = 0;
        Names names;
        const msgpack::object_handle handle = msgpack::unpack(rest.data(), rest.size(), offset);
        readField(handle.get(), names);
        if (names.group != hashOf(group)) return no(DropReason::group);
        if (names.sender.empty() || names.processIncarnation == 0) return no(DropReason::header);
        why = DropReason::none;
        return DecodedDatagram{
            {static_cast<Channel>(room), names.sender, names.processIncarnation, names.number},
            std::string(rest.substr(offset))};
    } catch (const std::exception&) {
        return no(DropReason::header);
    }
}

}  // namespace beechpoint::gossip
