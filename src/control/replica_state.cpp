#include "control/replica_state.hpp"

#include "core/splitmix.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

// Incarnations are drawn when a disk is first used, so no two clusters have the same.
std::uint64_t clusterCandidateOf(const replica::View& view) {
    std::uint64_t candidate = view.epoch;
    for (const replica::Member& member : view.members)
        candidate = SplitMix(candidate ^ member.incarnation).bits();
    return candidate | 1;  // 0 stands for none
}

}  // namespace

ReplicaState replicaStateOf(const replica::Replica* replica,
                            const std::function<bool(const std::string&)>& isResponsive) {
    ReplicaState state;
    if (!replica) return state;
    const auto chainEnd = [&](const replica::Member& member) {
        const bool isPeer = member.name != replica->self().name;
        return ChainEnd{member.controlAddress, isPeer && isResponsive(member.internalAddress)};
    };
    const auto& members = replica->view().members;
    state.inView = replica->isInView();
    state.isHead = replica->isHead();
    state.isTail = replica->isTail();
    state.writable = replica->isWritable();
    if (!members.empty()) {
        state.head = chainEnd(members.front());
        state.tail = chainEnd(members.back());
    }
    state.clusterCandidate = clusterCandidateOf(replica->view());
    state.position = replica->committedPosition();
    state.table = replica->committedSnapshot();
    return state;
}

}  // namespace beechpoint::control
