/// The changes from one version of the host list to another, so that a copy can follow without being sent the full list. Free of I/O.
///
/// The sender stores the last lists (HostListHistory) and compares; the receiver applies the changes to its own list. Where the
/// receiver's version is not among those stored, or little would be saved, the full list is sent instead.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "host_discovery/host_list.hpp"

namespace beechpoint::host_discovery {

struct HostListChanges {
    HostListVersion base;     ///< of the list that they apply to
    HostListVersion version;  ///< of the list that follows
    Millis sinceBase = 0;     ///< from the reading of the one to that of the other
    /// New, or no longer as in the base; by instanceId, times counted from the new reading.
    std::vector<Host> changed;
    std::vector<std::string> removed;  ///< ids, in order
    bool operator==(const HostListChanges&) const = default;
};

/// Both by instanceId, as lists are.
[[nodiscard]] HostListChanges changesBetween(const HostList& base, const HostList& list);

/// The list that follows from `base`, read at `readAt` on the receiver's clock. Null where the changes do not apply to it: another
/// version, or a host to be removed that is not there.
[[nodiscard]] std::shared_ptr<const HostList> applyChanges(const HostList& base,
                                                           const HostListChanges& changes, Millis readAt);

/// The last versions of the list, for the sender of changes. Not thread-safe.
class HostListHistory {
public:
    static constexpr std::size_t kMaxLists = 8;
    static constexpr std::size_t kMaxHosts =
        40'000;  ///< of all lists stored; the newest is stored in any case
    static constexpr double kMaxChangedFraction =
        0.5;  ///< of the hosts: where more differ, the full list is sent

    /// The list that is valid from now on. The same version again changes nothing.
    void add(std::shared_ptr<const HostList> list);
    /// From that version to the newest list. Nothing: not known, the newest itself, or too many hosts differ.
    [[nodiscard]] std::optional<HostListChanges> since(const HostListVersion& version) const;
    [[nodiscard]] std::size_t size() const { return lists_.size(); }

private:
    std::deque<std::shared_ptr<const HostList>> lists_;  // the newest last
    std::size_t hosts_ = 0;                              // of all of them
};

}  // namespace beechpoint::host_discovery
