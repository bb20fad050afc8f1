#include "control/replica_state.hpp"

#include "replica/replica.hpp"

namespace beechpoint::control {

ReplicaState replicaStateOf(const replica::Replica* replica,
                            const std::function<bool(const std::string&)>& isResponsive) {
    ReplicaState state;
    if (!replica) return state;
    const auto chainEnd = [&](const replica::Member& member) {
        const bool isPeer = member.name != replica->self().name;
        return ChainEnd{member.controlAddress, isPeer && isResponsive(member.internalAddress)};
    };
    const auto& members = replica->view().members;
    state.inView = replica->inView();
    state.isHead = replica->isHead();
    state.isTail = replica->isTail();
    state.writable = replica->writable();
    if (!members.empty()) {
        state.head = chainEnd(members.front());
        state.tail = chainEnd(members.back());
    }
    state.position = replica->committedPosition();
    state.table = replica->committedSnapshot();
    return state;
}

}  // namespace beechpoint::control
