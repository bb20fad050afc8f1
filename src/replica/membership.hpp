/// Identity of a replica and its role in the current view, shared by reference among the components. Written by ReplicaCore and
/// (`sealed`) ViewChange, read by all others, only on the thread of Replica::handle().
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "replica/settings.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

struct Membership {
    Settings settings;
    Member self;
    std::vector<std::string> founders;  // control addresses; empty: no vote on the first view
    View view;
    std::optional<std::size_t> index;  // of this process in the view
    bool sealed = false;               // has promised for the next epoch: no longer participates in this one
    bool diskFailing = false;
    bool leaving = false;  // has been requested to leave; see Leave

    /// Whether the chain includes this disk, regardless of the session.
    bool isInChain() const { return view.findDisk(self) != nullptr; }
    /// Whether this disk has a vote on the next view.
    bool isVoter() const { return view.findVoter(self) != nullptr; }
    /// Whether this process is a member of the view and may participate in its epoch.
    bool isActive() const { return index && !sealed; }
    bool isHead() const { return index && *index == 0; }
    bool isTail() const { return index && *index + 1 == view.members.size(); }
    /// Internal address of the process with this control address: its host with this process's internal port.
    std::string internalAddressOf(const std::string& controlAddress) const {
        const std::string& own = self.internalAddress;
        return controlAddress.substr(0, controlAddress.rfind(':')) + own.substr(own.rfind(':'));
    }
};

}  // namespace beechpoint::replica
