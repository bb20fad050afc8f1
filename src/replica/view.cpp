#include "replica/view.hpp"

#include <functional>
#include <iterator>
#include <map>

namespace beechpoint::replica {

std::size_t remainingAfterZoneLoss(const std::vector<Member>& members, std::size_t zones) {
    std::map<std::string_view, std::size_t> byZone;
    for (const Member& member : members) ++byZone[member.zone];
    std::vector<std::size_t> sizes;
    for (const auto& [zone, size] : byZone) sizes.push_back(size);
    std::ranges::sort(sizes, std::greater<>{});
    std::size_t left = members.size();
    for (std::size_t index = 0; index < std::min(zones, sizes.size()); ++index) left -= sizes[index];
    return left;
}

bool majoritySurvivesWithoutUncounted(const std::vector<Member>& members, const Tolerance& tolerance) {
    View counted;
    std::ranges::copy_if(members, std::back_inserter(counted.members), &Member::countsAsLoss);
    if (counted.members.size() == members.size() || !tolerance.covers(counted)) return true;
    const std::size_t size = counted.members.size();
    const std::size_t needed = members.size() / 2 + 1;
    const auto keeps = [&](std::size_t left) { return left < counted.majority() || left >= needed; };
    return size >= needed && keeps(size - std::min(size, tolerance.machines)) &&
           keeps(remainingAfterZoneLoss(counted.members, tolerance.zones));
}

}  // namespace beechpoint::replica
