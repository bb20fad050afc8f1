// The vocabulary of the replicated control state: an ordered table of named values that changes in numbered batches.
// Shared by storage, chain, configuration and the gateways' routing; it knows nothing of what the values mean.
//
// Keys in use (values are compact JSON text unless stated):
//   meta/version        decimal: revision of the configuration in force
//   route/NAME          one route       service/NAME   one service       limits   the limits
//   evacuated/ZONE      "1" while the zone is evacuated
//   taken/REVISION      hex digest of the operator's call that was acknowledged under this revision (20 digits)
//   meta/taken          decimal: how many of these there are
//   meta/cluster        16 hex digits: identity of the cluster, written with its first change and never changed
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace beechpoint {

// Place in the history of the table. Two tables at the same position are equal.
struct Position {
    std::uint64_t epoch = 0;  // of the view in which the last batch was proposed
    std::uint64_t sequence = 0;
    auto operator<=>(const Position&) const = default;
};

struct Change {
    std::string key;
    std::optional<std::string> value;  // nothing: the key is removed
    bool operator==(const Change&) const = default;
};

struct Batch {
    Position position;
    std::vector<Change> changes;
    bool operator==(const Batch&) const = default;
};

using Table = std::map<std::string, std::string>;

inline void apply(const std::vector<Change>& changes, Table& table) {
    for (const Change& change : changes) {
        if (change.value)
            table[change.key] = *change.value;
        else
            table.erase(change.key);
    }
}

// What brings an older copy of the table up to `position`: changed keys, or the whole table.
struct TableUpdate {
    Position position;
    bool whole = false;  // the receiver's keys that are not in `changes` are removed
    std::vector<Change> changes;
};

}  // namespace beechpoint
