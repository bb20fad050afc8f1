#include "configuration/applied_operations.hpp"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::optional<std::uint64_t> numberOf(std::string_view digits) {
    std::uint64_t number = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, number);
    if (error != std::errc{} || stop != end) return std::nullopt;
    return number;
}

std::string appliedKey(std::uint64_t revision) {
    return fmt::format("{}{:0{}}", kAppliedPrefix, revision, kRevisionDigits);
}

// As earlier releases wrote it, without leading zeros.
std::string unpaddedKey(std::uint64_t revision) { return fmt::format("{}{}", kAppliedPrefix, revision); }

bool holds(const Table& table, const std::string& key, std::string_view value) {
    const auto found = table.find(key);
    return found != table.end() && found->second == value;
}

std::optional<std::uint64_t> storedCount(const Table& table) {
    const auto found = table.find(std::string{kAppliedCountKey});
    return found == table.end() ? std::nullopt : numberOf(found->second);
}

// A table of an earlier release has no count and shorter keys: they are rewritten, once. Returns how many operations remain; there is
// capacity for one more.
std::uint64_t rewriteKeys(const Table& table, std::vector<Change>& changes) {
    std::map<std::uint64_t, std::string> digests;
    eachWithPrefix(table, kAppliedPrefix, [&](std::string_view name, std::string_view digest) {
        changes.push_back({joinedKey(kAppliedPrefix, name), std::nullopt});
        if (const auto revision = numberOf(name)) digests.emplace(*revision, digest);
    });
    while (digests.size() >= kAppliedRetained) digests.erase(digests.begin());
    for (auto& [revision, digest] : digests) changes.push_back({appliedKey(revision), std::move(digest)});
    return digests.size();
}

// The same for a table of this release: evicts its lowest revision where it is full.
std::uint64_t evictLowest(const Table& table, std::uint64_t count, std::vector<Change>& changes) {
    if (count < kAppliedRetained) return count;
    const auto lowest = table.lower_bound(std::string{kAppliedPrefix});
    if (lowest == table.end() || !lowest->first.starts_with(kAppliedPrefix)) return count;
    changes.push_back({lowest->first, std::nullopt});
    return count - 1;
}

}  // namespace

std::string operationDigest(const Operation& operation) {
    // Each part's length goes first, so that no two operations give the same bytes.
    const std::string head =
        fmt::format("{} {} {} {} {}\n", operation.method.size(), operation.ifMatch.size(),
                    operation.body.size(), operation.method, operation.ifMatch);
    const XXH64_hash_t seed = XXH3_64bits(head.data(), head.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(operation.body.data(), operation.body.size(), seed);
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

bool isApplied(const Table& table, std::uint64_t revision, std::string_view digest) {
    return holds(table, appliedKey(revision), digest) || holds(table, unpaddedKey(revision), digest);
}

void recordApplied(const Table& table, std::uint64_t revision, std::string digest,
                   std::vector<Change>& changes) {
    const auto count = storedCount(table);
    const std::uint64_t retained = count ? evictLowest(table, *count, changes) : rewriteKeys(table, changes);
    changes.push_back({appliedKey(revision), std::move(digest)});
    changes.push_back({std::string{kAppliedCountKey}, std::to_string(retained + 1)});
}

}  // namespace beechpoint::configuration
