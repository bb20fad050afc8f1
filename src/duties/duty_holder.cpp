#include "duties/duty_holder.hpp"

#include <utility>
#include <vector>

#include "leases/role_assignment.hpp"

namespace beechpoint::duties {

const replica::Member* holderOf(const Subject& subject, const replica::View& view) {
    std::vector<std::string> names;
    names.reserve(view.members.size());
    for (const replica::Member& member : view.members) names.push_back(member.name);
    if (names.empty()) return nullptr;
    return view.find(leases::rendezvousOrder("duty/" + keyOf(subject), std::move(names)).front());
}

}  // namespace beechpoint::duties
