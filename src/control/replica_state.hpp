/// Snapshot of this member's replica for operators' calls. It holds no reference to the replica, so that OperatorCalls can be tested
/// on scripted states. Without I/O; to be created on the event loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

/// The member at one end of the chain: its head or its tail.
struct ChainEnd {
    std::string controlAddress;  ///< IP:PORT; empty where it serves no operators
    bool isReachablePeer =
        false;  ///< another member than this one, and responsive: a redirect to it makes sense
};

struct ReplicaState {
    bool inView = false;  ///< the view lists this very process
    bool isHead = false;
    bool isTail = false;
    bool writable = false;  ///< head, the view is installed and within tolerance, no batch in flight
    ChainEnd head;          ///< by the newest view known here, also while this process is not in it
    ChainEnd tail;
    std::uint64_t clusterCandidate =
        1;              ///< identity for a table that has none: from the incarnations of the view's disks
    Position position;  ///< of `table`
    std::shared_ptr<const Table> table;  ///< the committed table; null while no replica is open
};

/// The state of `replica` now; the empty state for null. `isResponsive(internal address)`: whether a message of that member came
/// recently.
[[nodiscard]] ReplicaState replicaStateOf(const replica::Replica* replica,
                                          const std::function<bool(const std::string&)>& isResponsive);

}  // namespace beechpoint::control
