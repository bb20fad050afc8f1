/// Memory of the operator's acknowledged operations, in the replicated table: an operation that is sent again unchanged, to any
/// member and after any number of later ones, is recognised by its digest under its own revision (the revision is the idempotency
/// key). A revision is given to one operation only, so another one under it is never taken for it.
///
/// Bounded in entries (kAppliedRetained) and so in bytes (kMaxAppliedBytes). The lowest revisions are evicted; since revisions
/// rise, they are those acknowledged longest ago. Both the look-up and the eviction are by key: neither walks over the entries.
///
/// Pure functions of the table; to be called from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/editing.hpp"
#include "configuration/stored_item.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

/// Digits of a revision in a key, so that the order of keys is that of the numbers.
inline constexpr std::size_t kRevisionDigits = 20;
inline constexpr std::size_t kDigestBytes = 32;
/// Of keys and values of all applied operations together.
inline constexpr std::size_t kMaxAppliedBytes =
    kAppliedRetained * (kAppliedPrefix.size() + kRevisionDigits + kDigestBytes);

/// What makes an operation the same one when it is sent again.
struct Operation {
    std::string_view method;
    std::string_view ifMatch;
    std::string_view body;
};

/// 32 hexadecimal digits of XXH3-128 over method, If-Match and body.
[[nodiscard]] std::string operationDigest(const Operation& operation);

/// Whether the operation that was acknowledged under this revision has this digest.
[[nodiscard]] bool isApplied(const Table& table, std::uint64_t revision, std::string_view digest);

/// Adds the changes that record the operation and evict what is beyond kAppliedRetained.
void recordApplied(const Table& table, std::uint64_t revision, std::string digest,
                   std::vector<Change>& changes);

}  // namespace beechpoint::configuration
