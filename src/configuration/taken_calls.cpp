#include "configuration/taken_calls.hpp"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "configuration/editing.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::optional<std::uint64_t> revisionOf(std::string_view digits) {
    std::uint64_t revision = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, revision);
    if (error != std::errc{} || stop != end) return std::nullopt;
    return revision;
}

}  // namespace

std::string callDigest(const Call& call) {
    // Each part's length goes first, so that no two calls give the same bytes.
    const std::string head = fmt::format("{} {} {} {} {}\n", call.method.size(), call.ifMatch.size(),
                                         call.body.size(), call.method, call.ifMatch);
    const XXH64_hash_t seed = XXH3_64bits(head.data(), head.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(call.body.data(), call.body.size(), seed);
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::optional<std::uint64_t> takenUnder(const Table& table, std::string_view digest) {
    std::optional<std::uint64_t> found;
    eachWithPrefix(table, kTakenPrefix, [&](std::string_view revision, std::string_view value) {
        if (value == digest) found = revisionOf(revision);
    });
    return found;
}

void rememberCall(const Table& table, std::uint64_t revision, std::string digest,
                  std::vector<Change>& changes) {
    std::vector<std::uint64_t> revisions;
    eachWithPrefix(table, kTakenPrefix, [&](std::string_view name, std::string_view) {
        if (const auto older = revisionOf(name)) revisions.push_back(*older);
    });
    std::sort(revisions.begin(), revisions.end());
    for (std::size_t index = 0; revisions.size() - index >= kTakenKept; ++index)
        changes.push_back({joinedKey(kTakenPrefix, std::to_string(revisions[index])), std::nullopt});
    changes.push_back({joinedKey(kTakenPrefix, std::to_string(revision)), std::move(digest)});
}

}  // namespace beechpoint::configuration
