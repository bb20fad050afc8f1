#include "replica/view_requirements.hpp"

#include <algorithm>
#include <iterator>

namespace beechpoint::replica {

bool ViewRequirements::isSufficient(const std::vector<Member>& members) const {
    if (members.empty()) return false;
    if (members.size() >= membership_.view.members.size()) return true;
    return isCovered(members);
}

bool ViewRequirements::keepsTolerance(const std::vector<Member>& members) const {
    if (!isSufficient(members)) return false;
    return isCovered(members) || !tolerance().covers(membership_.view);
}

void ViewRequirements::dropSurplusUncounted(std::vector<Member>& members) const {
    while (!majoritySurvivesWithoutUncounted(members, tolerance())) {
        const auto last = std::ranges::find(members.rbegin(), members.rend(), false, &Member::countsAsLoss);
        if (last == members.rend()) return;
        members.erase(std::next(last).base());
    }
}

bool ViewRequirements::isCovered(const std::vector<Member>& members) const {
    View view;
    view.members = members;
    return tolerance().covers(view);
}

}  // namespace beechpoint::replica
