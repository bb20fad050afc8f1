#include "leases/role_assignment.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace beechpoint::leases {

std::uint64_t rendezvousWeight(std::string_view role, std::string_view member) {
    const std::uint64_t seed = XXH64(role.data(), role.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvousOrder(std::string_view role, std::vector<std::string> members) {
    const auto before = [role](const std::string& one, const std::string& other) {
        const std::uint64_t weightOfOne = rendezvousWeight(role, one);
        const std::uint64_t weightOfOther = rendezvousWeight(role, other);
        if (weightOfOne != weightOfOther) return weightOfOne > weightOfOther;
        return one < other;
    };
    std::sort(members.begin(), members.end(), before);
    return members;
}

std::size_t rendezvousRank(std::string_view role, const std::vector<std::string>& members,
                           std::string_view member) {
    const std::vector<std::string> order = rendezvousOrder(role, members);
    const auto place = std::find(order.begin(), order.end(), member);
    return static_cast<std::size_t>(place - order.begin());
}

}  // namespace beechpoint::leases
