// The voters of the next view: rules of the set, and absent members while another disk is lost.
#include "replica/voters.hpp"

#include <gtest/gtest.h>

#include <string>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kServedAgain = 4'000;
const Tolerance kOne{1, 1};
const Tolerance kTwo{2, 1};

Member member(const std::string& name, const std::string& zone = {}, std::uint64_t incarnation = 1) {
    Member made;
    made.name = name;
    made.zone = zone.empty() ? name : zone;
    made.incarnation = incarnation;
    return made;
}

std::vector<Voter> here(const std::string& names) {
    std::vector<Voter> voters;
    for (const char name : names) voters.push_back({member(std::string(1, name))});
    return voters;
}

std::vector<Member> chainOf(const std::string& names) {
    std::vector<Member> members;
    for (const char name : names) members.push_back(member(std::string(1, name)));
    return members;
}

std::string namesOf(const std::vector<Member>& members) {
    std::string names;
    for (const Member& each : members) names += each.name;
    return names;
}

TEST(NextVoters, KeepUnreachableVoters) {
    std::vector<Voter> voters = here("abc");
    voters[0].state = VoterState::unreachable;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("bc"), kOne)), "abc");
    voters[1].state = VoterState::leaving;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("c"), kOne)), "abc");
}

TEST(NextVoters, HandVoteOfLostDiskToItsReplacement) {
    std::vector<Voter> voters = here("abc");
    voters[1].state = VoterState::diskLost;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("ac"), kOne)), "abc");
    std::vector<Member> chain = chainOf("ac");
    chain.push_back(member("b", "b", 2));
    const std::vector<Member> next = nextVoters(voters, chain, kOne);
    EXPECT_EQ(namesOf(next), "abc");
    EXPECT_EQ(next[1].incarnation, 2u);
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("acd"), kOne)), "adc");
}

TEST(NextVoters, HandVoteOfUnreachableOnlyToMemberWithoutVote) {
    std::vector<Voter> voters = here("abc");
    voters[2].state = VoterState::unreachable;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("abd"), kOne)), "abd");
    EXPECT_EQ(namesOf(nextVoters(here("abc"), chainOf("abcd"), kOne)), "abc");
}

TEST(NextVoters, ReplaceLostDiskBeforeUnreachableVoter) {
    std::vector<Voter> voters = here("abc");
    voters[0].state = VoterState::unreachable;
    voters[1].state = VoterState::diskLost;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("cd"), kOne)), "adc");
}

TEST(NextVoters, GrowUntilTheyTolerateLosses) {
    EXPECT_EQ(namesOf(nextVoters(here("abc"), chainOf("abcd"), kTwo)), "abcd");
    EXPECT_EQ(namesOf(nextVoters(here("abc"), chainOf("abcdef"), kTwo)), "abcde");
}

TEST(NextVoters, AreSpreadOverZones) {
    const std::vector<Voter> voters{{member("a", "1")}, {member("b", "1")}, {member("c", "2")}};
    const std::vector<Member> chain{voters[0].member, voters[1].member, voters[2].member, member("d", "3")};
    EXPECT_EQ(namesOf(nextVoters(voters, chain, kOne)), "bcd");
}

TEST(NextVoters, RemoveVoterOnlyIfLossesAreToleratedWithoutIt) {
    std::vector<Voter> voters = here("abcd");
    voters[3].state = VoterState::unreachable;
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("abc"), kOne)), "abc");
    EXPECT_EQ(namesOf(nextVoters(voters, chainOf("abc"), {2, 1})), "abcd");
    // With no tolerated loss, unreachable voters are still kept, but leaving ones are not.
    std::vector<Voter> three = here("abc");
    three[2].state = VoterState::unreachable;
    EXPECT_EQ(namesOf(nextVoters(three, chainOf("ab"), {0, 0})), "abc");
    three[2].state = VoterState::leaving;
    EXPECT_EQ(namesOf(nextVoters(three, chainOf("ab"), {0, 0})), "ab");
}

TEST(NextVoters, LeaveOutUncountedIfCountedSuffice) {
    std::vector<Member> chain = chainOf("abcd");
    chain[3].countsAsLoss = false;
    std::vector<Voter> voters = here("abc");
    voters[2].state = VoterState::unreachable;
    EXPECT_EQ(namesOf(nextVoters(voters, chain, kOne)), "abc");
    for (Member& each : chain) each.countsAsLoss = false;
    EXPECT_EQ(namesOf(nextVoters(voters, chain, kOne)), "abd");
}

TEST(NextVoters, OfViewWithoutVotersAreItsMembers) {
    View view;
    view.members = chainOf("ab");
    EXPECT_EQ(namesOf(view.effectiveVoters()), "ab");
    EXPECT_EQ(view.majority(), 2u);
    view.voters = chainOf("abc");
    EXPECT_EQ(view.majority(), 2u);
    EXPECT_EQ(namesOf(view.membersAndVoters()), "abc");
    EXPECT_NE(view.findVoter(member("c")), nullptr);
    EXPECT_EQ(view.findVoter(member("c", "c", 2)), nullptr);
}

class VotersTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    VotersTest() {
        options_.seed = GetParam();
        options_.nodes = options_.zones = 3 + 2 * (GetParam() % 2);
        options_.tolerance = options_.nodes == 3 ? kOne : kTwo;
    }
    void founded(Cluster& cluster) {
        cluster.startClient();
        ASSERT_TRUE(cluster.runUntil(8'000, [&] { return cluster.isComplete(); })) << cluster.describe();
        cluster.runFor(1'000);
    }
    void isolate(Cluster& cluster, std::size_t count, bool cut) {
        for (std::size_t one = 0; one < count; ++one)
            for (std::size_t other = count; other < options_.nodes; ++other) {
                cluster.partition(one, other, cut);
                cluster.partition(other, one, cut);
            }
    }
    void requireServedAgain(Cluster& cluster) {
        const std::uint64_t before = cluster.acknowledged();
        EXPECT_TRUE(cluster.runUntil(kServedAgain, [&] { return cluster.acknowledged() > before; }))
            << "not served again though one disk was lost\n"
            << cluster.describe();
        EXPECT_TRUE(cluster.runUntil(kServedAgain, [&] { return cluster.isComplete(); }))
            << cluster.describe();
        EXPECT_FALSE(cluster.failed()) << cluster.failure();
    }

    ClusterOptions options_;
};

// A minority misses changes; then one of the others loses its disk, the rest are down, and the partition heals.
TEST_P(VotersTest, PartitionedMinorityCountsWhenAnotherDiskIsLost) {
    Cluster cluster(options_);
    founded(cluster);
    const std::size_t away = (options_.nodes - 1) / 2;
    isolate(cluster, away, true);
    const std::uint64_t before = cluster.acknowledged();
    cluster.runFor(2'500);
    EXPECT_GT(cluster.acknowledged(), before);
    for (std::size_t node = away; node < options_.nodes; ++node) cluster.losePower(node);
    cluster.wipe(options_.nodes - 1);
    isolate(cluster, away, false);
    cluster.runFor(1'000);
    cluster.start(options_.nodes - 1);
    cluster.runFor(1'500);
    for (std::size_t node = away; node + 1 < options_.nodes; ++node) cluster.start(node);
    requireServedAgain(cluster);
}

// A planned restart leaves a view of the others; one of them loses its disk before the first one is back.
TEST_P(VotersTest, PlannedRestartKeepsVote) {
    Cluster cluster(options_);
    founded(cluster);
    cluster.leave(0);
    ASSERT_TRUE(cluster.runUntil(3'000, [&] { return !cluster.up(0); }));
    const std::size_t lost = 1 + GetParam() % (options_.nodes - 1);
    cluster.losePower(lost);
    cluster.wipe(lost);
    cluster.runFor(cluster.draw(100, 1'500));
    cluster.start(0);
    cluster.start(lost);
    requireServedAgain(cluster);
}

// Partitioned into halves, none or only the larger one continues; after healing all do, also if one loses its disk meanwhile.
TEST_P(VotersTest, PartitionedHalvesRecoverOnceHealed) {
    Cluster cluster(options_);
    founded(cluster);
    isolate(cluster, options_.nodes / 2, true);
    cluster.runFor(cluster.draw(500, 4'000));
    const std::size_t lost = GetParam() / 2 % options_.nodes;
    cluster.losePower(lost);
    cluster.wipe(lost);
    cluster.runFor(500);
    isolate(cluster, options_.nodes / 2, false);
    cluster.start(lost);
    requireServedAgain(cluster);
}

// A permanently lost machine's vote is transferred to its replacement; then the next disk may be lost.
TEST_P(VotersTest, ReplacementTakesOverVoteOfRemovedMachine) {
    Cluster cluster(options_);
    founded(cluster);
    cluster.losePower(0);
    cluster.setGone(0);
    cluster.runFor(1'000);
    const std::size_t successor = cluster.addReplacement(0, false);
    cluster.start(successor);
    ASSERT_TRUE(cluster.runUntil(4'000, [&] { return cluster.isComplete(); })) << cluster.describe();
    EXPECT_NE(cluster.replica(1).view().findVoter(cluster.replica(successor).self()), nullptr);
    EXPECT_EQ(cluster.replica(1).view().effectiveVoters().size(), options_.nodes);
    cluster.losePower(1);
    cluster.wipe(1);
    const std::uint64_t before = cluster.acknowledged();
    EXPECT_TRUE(cluster.runUntil(kServedAgain, [&] { return cluster.acknowledged() > before; }))
        << cluster.describe();
    cluster.start(1);
    requireServedAgain(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, VotersTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
