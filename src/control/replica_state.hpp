// What the operator's calls need to know of this member's replica at one moment, as a value: no reference to the replica, so that
// what decides on it can be run on scripted states.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

// The member that has a role of the view.
struct RoleHolder {
    std::string controlAddress;
    bool elsewhere = false;  // another member than this one, and it said something lately
};

struct ReplicaState {
    bool inView = false;  // the view lists this very process
    bool isHead = false;
    bool isTail = false;
    bool writable = false;  // head, settled, within tolerance, nothing in flight
    RoleHolder head;        // by the newest view known here, also while this process is not in it
    RoleHolder tail;
    Position position;                   // of `table`
    std::shared_ptr<const Table> table;  // the committed table; null while no replica is open
};

// `heardLately(internal address)`: whether that member said something lately. A null replica gives the empty state.
ReplicaState replicaStateOf(const replica::Replica* replica,
                            const std::function<bool(const std::string&)>& heardLately);

}  // namespace beechpoint::control
