/// What all parts of a replica know of its identity and its part in the view in force. Shared by reference: written by ReplicaCore
/// and (`sealed`) ViewChange, read by all others; on the thread of Replica::handle() only.
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
    bool sealed = false;               // has promised for the next epoch: takes no further part in this one
    bool diskFailing = false;
    bool leaving = false;  // asked to end; see Leave

    /// This disk is one of the chain's, whichever the session.
    bool isInChain() const { return view.findDisk(self) != nullptr; }
    /// This disk decides on the next view.
    bool isVoter() const { return view.findVoter(self) != nullptr; }
    /// This process is a member of the view and may take part in its epoch.
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
