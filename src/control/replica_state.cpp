#include "control/replica_state.hpp"

#include "replica/replica.hpp"

namespace beechpoint::control {

ReplicaState replicaStateOf(const replica::Replica* replica,
                            const std::function<bool(const std::string&)>& heardLately) {
    ReplicaState state;
    if (!replica) return state;
    const auto holder = [&](const replica::Member& member) {
        const bool other = member.name != replica->self().name;
        return RoleHolder{member.controlAddress, other && heardLately(member.internalAddress)};
    };
    const auto& members = replica->view().members;
    state.inView = replica->inView();
    state.isHead = replica->isHead();
    state.isTail = replica->isTail();
    state.writable = replica->writable();
    if (!members.empty()) {
        state.head = holder(members.front());
        state.tail = holder(members.back());
    }
    state.position = replica->committedPosition();
    state.table = replica->committedSnapshot();
    return state;
}

}  // namespace beechpoint::control
