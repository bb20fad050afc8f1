// Memory of the operator's acknowledged calls, in the replicated table: a call that comes again unchanged, to any member and after
// any number of later ones, is recognised by its digest under its own revision. A revision is given to one call only, so that
// another call under it is never taken for it.
//
// Bounded in entries (kAppliedRetained) and so in bytes (kMaxAppliedBytes). The lowest revisions give way; since revisions rise, they are
// those acknowledged longest ago. Both the look-up and the eviction are by key: nothing is walked over.
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

inline constexpr std::size_t kRevisionDigits = 20;  // in keys, so that their order is that of the numbers
inline constexpr std::size_t kDigestBytes = 32;
// Of keys and values of all that is remembered.
inline constexpr std::size_t kMaxAppliedBytes =
    kAppliedRetained * (kAppliedPrefix.size() + kRevisionDigits + kDigestBytes);

struct Call {
    std::string_view method;
    std::string_view ifMatch;
    std::string_view body;
};

// 32 hexadecimal digits of XXH3-128 over method, If-Match and body.
std::string callDigest(const Call& call);

// Whether the call that was acknowledged under this revision has this digest.
bool isApplied(const Table& table, std::uint64_t revision, std::string_view digest);

// Remembers the call and drops what is beyond kAppliedRetained.
void rememberCall(const Table& table, std::uint64_t revision, std::string digest,
                  std::vector<Change>& changes);

}  // namespace beechpoint::configuration
