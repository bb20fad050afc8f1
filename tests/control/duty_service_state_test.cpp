#include "control/duty_service_state.hpp"

#include <gtest/gtest.h>

#include "duties/duty_holder.hpp"
#include "duties/intent_log.hpp"

namespace beechpoint::control {
namespace {

const duties::Subject kUsage{duties::Duty::usage, "", ""};
constexpr Millis kWindow = 5000;
constexpr Millis kLate = 10'000;
constexpr Millis kDelay = 3000;
constexpr duties::WindowNumber kFirst = 340'000'000;
constexpr Millis kUnixAtZero = kFirst * kWindow;

// A member that is alone in the view or one of two.
struct DutyServiceStateTest : ::testing::Test {
    DutyServiceState state{settings()};
    DutyReplicaState replica = replicaIn(5, {"core-1"});
    Millis now = 0;
    DutyServiceState::LiveGateways gateways = [] {
        return std::vector<std::pair<std::string, std::uint64_t>>{{"edge-1", 1}};
    };

    static DutyServiceState::Settings settings() { return {"core-1", kWindow, kLate, kDelay, 1}; }
    static DutyReplicaState replicaIn(std::uint64_t epoch, const std::vector<std::string>& names) {
        DutyReplicaState replica;
        replica.fresh = true;
        replica.view.epoch = epoch;
        for (const std::string& name : names) {
            replica::Member member;
            member.name = name;
            member.internalAddress = name + ":1";
            replica.view.members.push_back(member);
        }
        replica.table = std::make_shared<const Table>();
        return replica;
    }
    void report(std::uint64_t term, std::uint64_t count, Millis coveredUntil) {
        UsageMessage message;
        message.term = term;
        message.report = {"edge-1", 1, kUnixAtZero + coveredUntil, {}};
        if (count > 0) message.report.windows = {{kFirst, {{"a", count}}}};
        lastReply = state.onUsage(now, replica, message);
    }
    std::vector<duties::DutyAction> step() {
        for (int gateway = 0; gateway < 3; ++gateway)
            state.onGatewayTime(now, std::to_string(gateway), kUnixAtZero + now);
        return state.step(now, kUnixAtZero + now, replica, gateways);
    }
    std::optional<duties::ProposeIntent> proposal() {
        for (const duties::DutyAction& action : step())
            if (const auto* const wanted = std::get_if<duties::ProposeIntent>(&action)) return *wanted;
        return std::nullopt;
    }
    void commit(const std::vector<Change>& changes) {
        Table table = *replica.table;
        beechpoint::apply(changes, table);
        replica.table = std::make_shared<const Table>(std::move(table));
    }
    UsageReply lastReply;
};

TEST_F(DutyServiceStateTest, AWindowGoesFromCountsToARecordedCall) {
    EXPECT_TRUE(step().empty());
    report(5, 3, 2000);
    EXPECT_TRUE(lastReply.accepted);
    now = kWindow + 1000;
    EXPECT_FALSE(proposal()) << "edge-1 does not cover the window";
    report(5, 4, now);
    const auto wanted = proposal();
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->proposal.body, R"({"window_number":340000000,"instance_counts":{"a":4}})");
    const auto decision = duties::decide(*replica.table, wanted->proposal, 5);
    commit(decision.changes);
    const auto actions = state.onProposed(now, replica, kUsage, wanted->attempt, decision);
    ASSERT_EQ(actions.size(), 1U);
    const auto call = std::get<duties::CallPlatform>(actions.front());
    EXPECT_TRUE(state.isCallAllowed(replica, call));
    report(5, 0, now);
    EXPECT_EQ(lastReply.recordedBefore, 0U);
    EXPECT_TRUE(step().empty());
    report(5, 0, now);
    EXPECT_EQ(lastReply.recordedBefore, kFirst + 1);
    const auto ends = state.onCalled(now, kUsage, call.attempt, 200);
    ASSERT_EQ(ends.size(), 1U);
    const auto settlement = std::get<duties::SettleIntent>(ends.front());
    commit(duties::settle(*replica.table, settlement.settlement));
    state.onSettled(now, kUsage, settlement.attempt, true);
    const DutyStatus status = state.status(replica).front();
    EXPECT_EQ(status.subject, "usage");
    EXPECT_EQ(status.holder, "core-1");
    EXPECT_TRUE(status.heldHere);
    EXPECT_EQ(status.token, 5U);
    EXPECT_EQ(status.openIntents, 0U);
    EXPECT_EQ(status.newestState, "done");
    EXPECT_EQ(status.calls, 1U);
}

TEST_F(DutyServiceStateTest, ACallLeavesOnlyFreshUnderTheNewestTokenByTheHolder) {
    duties::CallPlatform call;
    call.token = 5;
    EXPECT_TRUE(state.isCallAllowed(replica, call));
    replica.fresh = false;
    EXPECT_FALSE(state.isCallAllowed(replica, call));
    replica = replicaIn(6, {"core-1"});
    EXPECT_FALSE(state.isCallAllowed(replica, call));
    replica = replicaIn(5, {"core-2"});
    EXPECT_FALSE(state.isCallAllowed(replica, call));
}

TEST_F(DutyServiceStateTest, AnotherMembersCountsAndTermsAreNotAccepted) {
    report(4, 3, 1000);
    EXPECT_FALSE(lastReply.accepted);
    replica = replicaIn(6, {"core-2"});
    report(6, 3, 1000);
    EXPECT_FALSE(lastReply.accepted);
    EXPECT_EQ(state.usageHolder(replica.view)->address, "core-2:1");
    EXPECT_EQ(state.usageHolder(replica.view)->term, 6U);
    EXPECT_FALSE(state.usageHolder(replica::View{}));
}

TEST_F(DutyServiceStateTest, ANewHolderWaitsAlsoAfterAViewThatItMissed) {
    commit({{duties::intentKey(kUsage, kFirst), duties::formatIntent({kFirst, 4, "core-2", {}, "body"})}});
    EXPECT_TRUE(step().empty());
    now = kDelay;
    EXPECT_EQ(step().size(), 1U);
    const auto table = replica.table;
    replica = replicaIn(6, {"core-1"});
    replica.table = table;
    EXPECT_EQ(step().size(), 1U) << "it has held the duty all the time";
    replica = replicaIn(8, {"core-1"});
    replica.table = table;
    EXPECT_TRUE(step().empty()) << "another may have held it in view 7";
    now += kDelay;
    EXPECT_EQ(step().size(), 1U);
}

TEST_F(DutyServiceStateTest, NothingNewIsBegunWhileItDrains) {
    report(5, 3, kWindow);
    now = kWindow + 1000;
    state.drain();
    EXPECT_TRUE(step().empty());
}

TEST_F(DutyServiceStateTest, WithoutUsageNothingIsHeld) {
    DutyServiceState off({"core-1", 0, 0, 0, 1});
    EXPECT_TRUE(off.step(0, 0, replica, gateways).empty());
    EXPECT_FALSE(off.usageHolder(replica.view));
    EXPECT_TRUE(off.status(replica).empty());
    EXPECT_FALSE(off.onUsage(now, replica, {}).accepted);
}

// Reports are incremental within a term: one of an earlier term contains only counts that that term's holder lacked.
TEST_F(DutyServiceStateTest, AnEarlierTermsReportDoesNotCoverAWindow) {
    const Change before{duties::intentKey(kUsage, kFirst - 1),
                        duties::formatIntent({kFirst - 1, 4, "core-2", duties::IntentState::done, ""})};
    report(5, 3, 2000);
    replica = replicaIn(6, {"core-2"});
    commit({before});
    EXPECT_TRUE(step().empty());
    replica = replicaIn(7, {"core-1"});
    commit({before});
    now = kWindow + 500;
    EXPECT_TRUE(step().empty());
    now += kDelay;
    report(5, 0, now);
    EXPECT_FALSE(proposal()) << "the counts that it had in term 5 are gone";
    report(7, 4, now);
    ASSERT_TRUE(proposal());
}

TEST_F(DutyServiceStateTest, CoverageOfAnEarlierTermEndsWithIt) {
    report(5, 3, kWindow);
    replica = replicaIn(6, {"core-1"});
    now = kWindow + 1000;
    EXPECT_FALSE(proposal()) << "a process that was restarted within term 5 has only a part";
    report(6, 4, now);
    const auto wanted = proposal();
    ASSERT_TRUE(wanted);
    EXPECT_NE(wanted->proposal.body.find("\"a\":4"), std::string::npos);
}

TEST_F(DutyServiceStateTest, AClockThatNoGatewayConfirmsRecordsNoFutureWindow) {
    constexpr Millis kHour = 3.6e6;
    report(5, 3, kWindow);
    now = kWindow + 1000;
    for (const auto& action : state.step(now, kUnixAtZero + now + kHour, replica, gateways)) {
        const auto* const wanted = std::get_if<duties::ProposeIntent>(&action);
        ASSERT_NE(wanted, nullptr);
        EXPECT_EQ(wanted->proposal.number, kFirst) << "true windows below it would never be reported";
    }
}

}  // namespace
}  // namespace beechpoint::control
