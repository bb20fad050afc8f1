#include "leases/role_assignment.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace beechpoint::leases {

std::uint64_t rendezvousWeight(std::string_view role, std::string_view member) {
    const std::uint64_t seed = XXH64(role.data(), role.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvousOrder(std::string_view role, std::vector<std::string> members) {
    const auto ranksBefore = [role](const std::string& left, const std::string& right) {
        const std::uint64_t leftWeight = rendezvousWeight(role, left);
        const std::uint64_t rightWeight = rendezvousWeight(role, right);
        if (leftWeight != rightWeight) return leftWeight > rightWeight;
        return left < right;
    };
    std::sort(members.begin(), members.end(), ranksBefore);
    return members;
}

std::size_t rendezvousRank(std::string_view role, const std::vector<std::string>& members,
                           std::string_view member) {
    const std::vector<std::string> order = rendezvousOrder(role, members);
    const auto found = std::find(order.begin(), order.end(), member);
    return static_cast<std::size_t>(found - order.begin());
}

}  // namespace beechpoint::leases
