// Which member a gateway polls, when, and how long it waits.
#include "gateway/control_link_state.hpp"

#include <gtest/gtest.h>

#include <set>

namespace beechpoint::gateway {
namespace {

using Addresses = std::vector<std::string>;

control::PollReply replyOf(const Addresses& members, const Addresses& regions = {}) {
    control::PollReply reply;
    reply.members = members;
    reply.memberRegions = regions;
    return reply;
}

// Plays the time that passes between a link's polls.
struct Player {
    explicit Player(ControlLinkState& link) : link(link) {}
    LinkCall next() {
        now = *link.wakeAt();
        return *link.onTimer(now);
    }
    void fail(const LinkCall& call) {
        now += call.timeout;
        link.onFailure(now, call.number);
    }
    ControlLinkState& link;
    Millis now = 0;
};

TEST(ControlLinkState, PollsMemberThatAnsweredAgainAsLongPoll) {
    ControlLinkState link("g1", 1);
    link.seeds({"a", "b", "c"});
    const auto first = link.start(0);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->waitMs, 0);
    EXPECT_EQ(first->timeout, ControlLinkState::kFirstTimeout);
    link.onReply(10, first->number, replyOf({"a", "b", "c"}));
    EXPECT_EQ(link.heardAt(), 10);
    ASSERT_EQ(link.wakeAt(), 10 + ControlLinkState::kSpacing);
    EXPECT_FALSE(link.onTimer(*link.wakeAt() - 1));
    const auto second = link.onTimer(*link.wakeAt());
    ASSERT_TRUE(second);
    EXPECT_EQ(second->address, first->address);
    EXPECT_GT(second->waitMs, ControlLinkState::kWait / 2);
    EXPECT_EQ(second->timeout, second->waitMs + ControlLinkState::kAnswerSlack);
}

TEST(ControlLinkState, DoublesTimeoutInEachRoundOfUnresponsiveMembers) {
    ControlLinkState link("g1", 1);
    link.seeds({"a", "b", "c"});
    Player player(link);
    LinkCall call = *link.start(0);
    Millis expected = ControlLinkState::kFirstTimeout;
    for (int round = 0; round < 6; ++round) {
        std::set<std::string> asked;
        for (int member = 0; member < 3; ++member) {
            EXPECT_EQ(call.timeout, expected) << round;
            asked.insert(call.address);
            player.fail(call);
            call = player.next();
        }
        EXPECT_EQ(asked.size(), 3u);
        expected = std::min(2 * expected, ControlLinkState::kFirstTimeoutMost);
    }
    link.onReply(player.now, call.number, replyOf({"a", "b", "c"}));
    call = player.next();
    player.fail(call);
    EXPECT_EQ(player.next().timeout, ControlLinkState::kFirstTimeout);
}

// Two of three addresses are of members that are lost for good, and the third has no fresh table for a while.
TEST(ControlLinkState, ResetsTimeoutWhenAMemberRefuses) {
    ControlLinkState link("g1", 1);
    link.seeds({"a", "b", "c"});
    Player player(link);
    LinkCall call = *link.start(0);
    std::size_t refused = 0;
    for (int turn = 0; turn < 30; ++turn) {
        EXPECT_EQ(call.timeout, ControlLinkState::kFirstTimeout) << turn;
        if (call.address == "a") {
            player.now += 300;
            link.onFailure(player.now, call.number);
            ++refused;
        } else {
            player.fail(call);
        }
        call = player.next();
    }
    EXPECT_EQ(refused, 10u);
}

TEST(ControlLinkState, PollsAgainAfterAdvisedTimeWithJitter) {
    std::set<Millis> pauses;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlLinkState link("g1", seed);
        link.seeds({"a"});
        const auto call = link.start(0);
        auto reply = replyOf({"a"});
        reply.retryAfterMs = 400;
        link.onReply(100, call->number, reply);
        EXPECT_GE(*link.wakeAt(), 100 + 200);
        EXPECT_LE(*link.wakeAt(), 100 + 600);
        pauses.insert(*link.wakeAt());
    }
    EXPECT_GT(pauses.size(), 15u);
}

TEST(ControlLinkState, BoundsAdvisedRetryTime) {
    ControlLinkState link("g1", 3);
    link.seeds({"a"});
    const auto call = link.start(0);
    auto reply = replyOf({"a"});
    reply.retryAfterMs = 1e9;
    link.onReply(0, call->number, reply);
    EXPECT_LE(*link.wakeAt(), 1.5 * ControlLinkState::kMaxRetryAfter);
}

TEST(ControlLinkState, PrefersMemberOfItsOwnRegion) {
    for (int number = 0; number < 50; ++number) {
        ControlLinkState link("g" + std::to_string(number), 1);
        link.region("west");
        link.seeds({"a", "b", "c", "d"});
        auto call = link.start(0);
        link.onReply(0, call->number, replyOf({"a", "b", "c", "d"}, {"east", "west", "east", "west"}));
        call = link.onTimer(*link.wakeAt());
        EXPECT_TRUE(call->address == "b" || call->address == "d") << call->address;
    }
}

TEST(ControlLinkState, PollsOtherRegionWhileItsOwnIsUnresponsiveAndReturns) {
    ControlLinkState link("g1", 1);
    link.region("west");
    link.seeds({"a", "b"});
    Player player(link);
    LinkCall call = *link.start(0);
    const auto reply = replyOf({"a", "b"}, {"east", "west"});
    link.onReply(0, call.number, reply);
    call = player.next();
    ASSERT_EQ(call.address, "b");
    player.fail(call);
    const Millis failedAt = player.now;
    call = player.next();
    ASSERT_EQ(call.address, "a");
    while (call.address == "a" && player.now < failedAt + 20'000) {
        link.onReply(player.now + 1000, call.number, reply);
        call = player.next();
    }
    EXPECT_EQ(call.address, "b");
    EXPECT_GT(player.now, failedAt + ControlLinkState::kReturnAfter);
}

TEST(ControlLinkState, TakesOnlyMembersFromReplyToPollGivenUp) {
    ControlLinkState link("g1", 1);
    link.seeds({"a"});
    const auto first = link.start(0);
    const auto second = link.pollNow(10);
    link.onReply(20, first->number, replyOf({"a"}));
    EXPECT_EQ(link.heardAt(), 20);
    EXPECT_FALSE(link.wakeAt());
    link.onFailure(25, first->number);
    EXPECT_FALSE(link.wakeAt());
    link.onReply(30, second->number, replyOf({"a"}));
    EXPECT_EQ(link.wakeAt(), 30 + ControlLinkState::kSpacing);
}

TEST(ControlLinkState, WaitsForSeedsWhenItHasNone) {
    ControlLinkState link("g1", 1);
    EXPECT_FALSE(link.start(0));
    ASSERT_TRUE(link.wakeAt());
    link.seeds({"a"});
    EXPECT_TRUE(link.onTimer(*link.wakeAt()));
    link.stop();
    EXPECT_FALSE(link.pollNow(10'000));
    EXPECT_FALSE(link.wakeAt());
}

}  // namespace
}  // namespace beechpoint::gateway
