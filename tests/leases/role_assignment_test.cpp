#include "leases/role_assignment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace beechpoint::leases {
namespace {

std::vector<std::string> members(int count) {
    std::vector<std::string> names;
    for (int number = 1; number <= count; number++) names.push_back("core-" + std::to_string(number));
    return names;
}

std::string roleName(int number) { return "duty-" + std::to_string(number); }

TEST(RendezvousOrder, MovesOnlyRolesOfMemberThatLeft) {
    const auto all = members(5);
    auto remaining = all;
    remaining.erase(remaining.begin() + 2);
    int moved = 0;
    for (int number = 0; number < 1000; number++) {
        const auto order = rendezvousOrder(roleName(number), all);
        const auto orderAfterLeaving = rendezvousOrder(roleName(number), remaining);
        if (order.front() == "core-3") {
            moved++;
            EXPECT_EQ(orderAfterLeaving.front(), order[1]);
        } else {
            EXPECT_EQ(orderAfterLeaving.front(), order.front());
        }
    }
    EXPECT_GT(moved, 100);
    EXPECT_LT(moved, 300);
}

TEST(RendezvousOrder, IsSameForAnyOrderOfMembers) {
    auto forward = members(4);
    auto backward = forward;
    std::reverse(backward.begin(), backward.end());
    EXPECT_EQ(rendezvousOrder("hosts", forward), rendezvousOrder("hosts", backward));
}

TEST(RendezvousOrder, SpreadsRolesEvenly) {
    std::map<std::string, int> rolesOfMember;
    for (int number = 0; number < 3000; number++)
        rolesOfMember[rendezvousOrder(roleName(number), members(3)).front()]++;
    for (const auto& [member, count] : rolesOfMember) EXPECT_NEAR(count, 1000, 150) << member;
}

TEST(RendezvousRank, IsIndexInOrder) {
    const auto all = members(3);
    const auto order = rendezvousOrder("hosts", all);
    for (std::size_t rank = 0; rank < order.size(); rank++)
        EXPECT_EQ(rendezvousRank("hosts", all, order[rank]), rank);
    EXPECT_EQ(rendezvousRank("hosts", all, "core-9"), all.size());
}

TEST(RendezvousWeight, IsSameOnEveryBuild) {
    EXPECT_EQ(rendezvousWeight("hosts", "core-1"), 112292163358280059ull);
    EXPECT_NE(rendezvousWeight("hosts", "core-1"), rendezvousWeight("hosts", "core-2"));
    EXPECT_NE(rendezvousWeight("hosts", "core-1"), rendezvousWeight("other", "core-1"));
}

}  // namespace
}  // namespace beechpoint::leases
