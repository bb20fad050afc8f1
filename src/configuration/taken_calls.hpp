// Memory of the operator's acknowledged calls, in the table: a call that comes again unchanged, to any member and
// after any number of later ones, is recognised by its digest. The oldest revisions give way.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

struct Call {
    std::string_view method;
    std::string_view ifMatch;
    std::string_view body;
};

// 32 hexadecimal digits of XXH3-128 over method, If-Match and body.
std::string callDigest(const Call& call);

// The revision under which the call was acknowledged.
std::optional<std::uint64_t> takenUnder(const Table& table, std::string_view digest);

// Remembers the call and drops what is beyond kTakenKept.
void rememberCall(const Table& table, std::uint64_t revision, std::string digest,
                  std::vector<Change>& changes);

}  // namespace beechpoint::configuration
