#include "storage/digests.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace beechpoint::storage {

namespace {

constexpr XXH64_hash_t kRangeSeed = 0x72616e6765;  // keeps the division apart from the digests' own hashes

std::size_t rangeOf(const std::string& key, std::size_t ranges) {
    return XXH3_64bits_withSeed(key.data(), key.size(), kRangeSeed) % ranges;
}

std::uint64_t digestOf(const std::string& key, const std::string& value) {
    const std::uint64_t keyHash = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(value.data(), value.size(), keyHash);
}

std::size_t clampedRanges(std::size_t ranges) { return std::clamp<std::size_t>(ranges, 1, kMaxRanges); }

}  // namespace

std::vector<std::uint64_t> digestRanges(const Table& table, std::size_t ranges) {
    std::vector<std::uint64_t> digests(clampedRanges(ranges), 0);
    for (const auto& [key, value] : table) digests[rangeOf(key, digests.size())] += digestOf(key, value);
    return digests;
}

std::vector<std::size_t> differingRanges(const std::vector<std::uint64_t>& own,
                                         const std::vector<std::uint64_t>& other) {
    std::vector<std::size_t> differing;
    const bool comparable = own.size() == other.size();
    for (std::size_t range = 0; range < std::max(own.size(), other.size()); ++range)
        if (!comparable || own[range] != other[range]) differing.push_back(range);
    return differing;
}

Table entriesOfRange(const Table& table, std::size_t range, std::size_t ranges) {
    Table entries;
    for (const auto& [key, value] : table)
        if (rangeOf(key, clampedRanges(ranges)) == range) entries.emplace(key, value);
    return entries;
}

}  // namespace beechpoint::storage
