// What tells one version of the host list from another, so that a copy can follow without being sent whole. Free of I/O.
//
// The sender keeps the last lists (HostListHistory) and compares; the receiver applies what it gets to the list that it holds. Where the
// receiver's version is not among those kept, or little would be saved, there are no changes to send and the whole list is.
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
    HostListVersion base;     // of the list that they apply to
    HostListVersion version;  // of the list that follows
    Millis sinceBase = 0;     // from the reading of the one to that of the other
    std::vector<Host>
        changed;  // new, or no longer as in the base; by instanceId, times counted from the new reading
    std::vector<std::string> removed;  // ids, in order
    bool operator==(const HostListChanges&) const = default;
};

// Both by instanceId, as lists are.
HostListChanges changesBetween(const HostList& base, const HostList& list);

// The list that follows from `held`, read at `readAt` on the receiver's clock. Null where the changes do not apply to it: another
// base, or a host that is to go and is not there.
std::shared_ptr<const HostList> applyChanges(const HostList& held, const HostListChanges& changes,
                                             Millis readAt);

class HostListHistory {
public:
    static constexpr std::size_t kMaxLists = 8;
    static constexpr std::size_t kMaxHosts = 40'000;  // of all lists kept; the newest is kept in any case
    static constexpr double kMaxChangedFraction =
        0.5;  // of the hosts: where more differ, the whole list is sent

    // The list that is valid from now on. The same version again changes nothing.
    void add(std::shared_ptr<const HostList> list);
    // From that version to the newest list. Nothing: not known, the newest itself, or not worth it.
    std::optional<HostListChanges> since(const HostListVersion& version) const;
    std::size_t size() const { return lists_.size(); }

private:
    std::deque<std::shared_ptr<const HostList>> lists_;  // the newest last
    std::size_t hosts_ = 0;                              // of all of them
};

}  // namespace beechpoint::host_discovery
