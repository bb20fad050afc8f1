// Routing a search to slices by its routing value, as OpenSearch routes a document to shards.
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "frontend/search.hpp"

namespace beechpoint::frontend {

namespace {

constexpr int kRoutingShards = 1024;  // the most that OpenSearch spreads an index over

// The text's UTF-16 code units, two bytes each, the lower byte first. Bad UTF-8 gives some units, never an error.
std::vector<unsigned char> utf16Bytes(std::string_view text) {
    std::vector<unsigned char> bytes;
    const auto unit = [&](std::uint32_t value) {
        bytes.push_back(static_cast<unsigned char>(value & 0xff));
        bytes.push_back(static_cast<unsigned char>(value >> 8 & 0xff));
    };
    for (std::size_t i = 0; i < text.size();) {
        const auto first = static_cast<unsigned char>(text[i]);
        const std::size_t more = first >= 0xf0 ? 3 : first >= 0xe0 ? 2 : first >= 0xc0 ? 1 : 0;
        std::uint32_t point = more == 3   ? first & 7u
                              : more == 2 ? first & 15u
                              : more == 1 ? first & 31u
                                          : first;
        for (std::size_t k = 1; k <= more; ++k) {
            const bool there = i + k < text.size();
            point = point << 6 | (there ? static_cast<unsigned char>(text[i + k]) & 63u : 0u);
        }
        i += more + 1;
        if (point < 0x10000) {
            unit(point);
        } else {
            unit(0xd800 + ((point - 0x10000) >> 10));
            unit(0xdc00 + ((point - 0x10000) & 0x3ff));
        }
    }
    return bytes;
}

// MurmurHash3, 32 bits, seed 0. `bytes` has an even length.
std::uint32_t murmur3(const std::vector<unsigned char>& bytes) {
    const auto turn = [](std::uint32_t x, int by) { return x << by | x >> (32 - by); };
    const auto mix = [&](std::uint32_t k) { return turn(k * 0xcc9e2d51u, 15) * 0x1b873593u; };
    std::uint32_t hash = 0;
    std::size_t i = 0;
    for (; i + 4 <= bytes.size(); i += 4) {
        const std::uint32_t k = bytes[i] | std::uint32_t{bytes[i + 1]} << 8 |
                                std::uint32_t{bytes[i + 2]} << 16 | std::uint32_t{bytes[i + 3]} << 24;
        hash = turn(hash ^ mix(k), 13) * 5 + 0xe6546b64u;
    }
    if (i < bytes.size()) hash ^= mix(bytes[i] | std::uint32_t{bytes[i + 1]} << 8);
    hash ^= static_cast<std::uint32_t>(bytes.size());
    hash = (hash ^ hash >> 16) * 0x85ebca6bu;
    hash = (hash ^ hash >> 13) * 0xc2b2ae35u;
    return hash ^ hash >> 16;
}

}  // namespace

int sliceOf(std::string_view routing, int slices) {
    const std::uint32_t hash = murmur3(utf16Bytes(routing));
    int spread = 1;  // slices x spread is the largest such product up to kRoutingShards
    while (slices * spread * 2 <= kRoutingShards) spread *= 2;
    const int all = slices * spread;
    const int place = static_cast<int>(static_cast<std::int32_t>(hash) % all);
    return (place < 0 ? place + all : place) / spread;
}

}  // namespace beechpoint::frontend
