#include "duties/duty_runner.hpp"

#include <gtest/gtest.h>

#include <string>

namespace beechpoint::duties {
namespace {

const Subject kUsage{Duty::usage, "", ""};
constexpr Millis kTakeoverDelay = 3000;
constexpr Millis kLongAfter = 100'000;  // later than any backoff or takeover delay

// One member with the committed table that it sees.
struct DutyRunnerTest : ::testing::Test {
    Table table;
    DutyRunner runner{kUsage, kTakeoverDelay, 1};
    DutyContext context{true, true, 0, 12, "core-1", &table};
    Millis now = kLongAfter;
    DutyWork work{7, "seven"};

    void open(std::uint64_t number, const std::string& body) {
        table[intentKey(kUsage, number)] = formatIntent({number, 11, "core-9", IntentState::open, body});
    }
    void settleAs(std::uint64_t number, IntentState state) {
        beechpoint::apply(settle(table, {kUsage, number, state}), table);
    }
    template <class Action>
    std::optional<Action> stepFor(bool hasWork = true) {
        const auto action = runner.step(now, context, hasWork ? std::optional{work} : std::nullopt);
        if (!action || !std::holds_alternative<Action>(*action)) return std::nullopt;
        return std::get<Action>(*action);
    }
    bool hasAction() { return runner.step(now, context, work).has_value(); }
    std::optional<DutyAction> completeProposal(std::uint64_t attempt, const ProposalResult& result) {
        return runner.onProposed(now, context, attempt, result);
    }
    // Proposes an intent, commits it and returns the resulting call.
    CallPlatform callForNewIntent() {
        const auto proposal = stepFor<ProposeIntent>();
        EXPECT_TRUE(proposal);
        const ProposalDecision decision = decide(table, proposal->proposal, context.epoch);
        beechpoint::apply(decision.changes, table);
        const auto call = completeProposal(proposal->attempt, decision);
        EXPECT_TRUE(call && std::holds_alternative<CallPlatform>(*call));
        return std::get<CallPlatform>(*call);
    }
    SettleIntent settlementOf(const CallPlatform& call, int status) {
        const auto action = runner.onCalled(now, call.attempt, status);
        EXPECT_TRUE(action && std::holds_alternative<SettleIntent>(*action));
        return std::get<SettleIntent>(*action);
    }
};

TEST_F(DutyRunnerTest, AWindowIsProposedThenSentThenSettled) {
    EXPECT_TRUE(runner.needsWork(now, context));
    const auto proposal = stepFor<ProposeIntent>();
    ASSERT_TRUE(proposal);
    EXPECT_EQ(proposal->proposal.token, 12U);
    EXPECT_EQ(proposal->proposal.holder, "core-1");
    EXPECT_EQ(proposal->proposal.body, "seven");
    EXPECT_FALSE(hasAction()) << "no call before the commit";
    EXPECT_FALSE(runner.needsWork(now, context));
    const ProposalDecision decision = decide(table, proposal->proposal, 12);
    beechpoint::apply(decision.changes, table);
    const auto action = completeProposal(proposal->attempt, decision);
    ASSERT_TRUE(action && std::holds_alternative<CallPlatform>(*action));
    const auto& call = std::get<CallPlatform>(*action);
    EXPECT_EQ(call.number, 7U);
    EXPECT_EQ(call.token, 12U);
    EXPECT_EQ(call.holder, "core-1");
    EXPECT_EQ(call.body, "seven");
    EXPECT_FALSE(hasAction());
    const SettleIntent settlement = settlementOf(call, 200);
    EXPECT_EQ(settlement.settlement.number, 7U);
    EXPECT_EQ(settlement.settlement.state, IntentState::done);
    EXPECT_FALSE(hasAction());
    runner.onSettled(now, settlement.attempt, true);
    EXPECT_EQ(runner.newestNumber(table), 7U);
    EXPECT_FALSE(stepFor<CallPlatform>(false)) << "the table does not show the outcome yet";
    EXPECT_EQ(runner.callCount(), 1U);
    EXPECT_EQ(runner.lastStatus(), 200);
}

TEST_F(DutyRunnerTest, TheOldestOpenIntentIsSentWithItsRecordedBody) {
    open(5, "five");
    open(6, "six");
    open(4, "four");
    settleAs(4, IntentState::done);
    EXPECT_FALSE(runner.needsWork(now, context));
    const auto call = stepFor<CallPlatform>();
    ASSERT_TRUE(call);
    EXPECT_EQ(call->number, 5U);
    EXPECT_EQ(call->body, "five");
    EXPECT_EQ(call->token, 12U);
}

TEST_F(DutyRunnerTest, ASuccessorsOwnBodyYieldsToTheRecordedOne) {
    const auto proposal = stepFor<ProposeIntent>();
    open(7, "recorded");
    const auto action = completeProposal(proposal->attempt, decide(table, proposal->proposal, 12));
    ASSERT_TRUE(action && std::holds_alternative<CallPlatform>(*action));
    EXPECT_EQ(std::get<CallPlatform>(*action).body, "recorded");
}

TEST_F(DutyRunnerTest, ASettledOrSupersededNumberIsNotSent) {
    auto proposal = stepFor<ProposeIntent>();
    open(7, "seven");
    settleAs(7, IntentState::refused);
    EXPECT_FALSE(completeProposal(proposal->attempt, decide(table, proposal->proposal, 12)));
    proposal = stepFor<ProposeIntent>();
    ASSERT_TRUE(proposal) << "idle without a backoff";
    EXPECT_FALSE(completeProposal(proposal->attempt, ProposalDecision{ProposalOutcome::superseded, {}, {}}));
    EXPECT_TRUE(hasAction());
}

TEST_F(DutyRunnerTest, AProposalThatFailedIsMadeAgainAfterABackOff) {
    for (const ProposalResult& result :
         {ProposalResult{}, ProposalResult{ProposalDecision{ProposalOutcome::stale, {}, {}}}}) {
        const auto proposal = stepFor<ProposeIntent>();
        ASSERT_TRUE(proposal);
        EXPECT_FALSE(completeProposal(proposal->attempt, result));
        EXPECT_FALSE(hasAction());
        now += 1.5 * DutyRunner::kMaxBackoff;
    }
    EXPECT_TRUE(hasAction());
}

TEST_F(DutyRunnerTest, ANumberWhoseBodyIsTooLargeIsPassedOverAndNothingIsSent) {
    const auto proposal = stepFor<ProposeIntent>();
    ASSERT_TRUE(proposal);
    const ProposalDecision tooLarge{ProposalOutcome::tooLarge, {}, {}};
    EXPECT_FALSE(completeProposal(proposal->attempt, tooLarge));
    EXPECT_EQ(runner.newestNumber(table), std::optional<std::uint64_t>{proposal->proposal.number});
    EXPECT_EQ(runner.callCount(), 0U);
}

TEST_F(DutyRunnerTest, NoAnswerOf429Or5xxSendsTheSameBodyAgainAfterABackOff) {
    CallPlatform call = callForNewIntent();
    for (const int status : {0, 429, 408, 500, 503, 302, 100}) {
        EXPECT_FALSE(runner.onCalled(now, call.attempt, status)) << status;
        EXPECT_FALSE(hasAction()) << status;
        now += 1.5 * DutyRunner::kMaxBackoff;
        const auto again = stepFor<CallPlatform>();
        ASSERT_TRUE(again) << status;
        EXPECT_EQ(again->body, call.body);
        EXPECT_EQ(again->number, call.number);
        EXPECT_GT(again->attempt, call.attempt);
        call = *again;
    }
}

TEST_F(DutyRunnerTest, TheBackOffDoublesUpToItsBoundAndEndsWithAnAnswer) {
    CallPlatform call = callForNewIntent();
    Millis expected = DutyRunner::kInitialBackoff;
    for (int failure = 0; failure < 8; ++failure) {
        EXPECT_FALSE(runner.onCalled(now, call.attempt, 0));
        const Millis failedAt = now;
        now = failedAt + 0.5 * expected - 1;
        EXPECT_FALSE(hasAction());
        now = failedAt + 1.5 * expected;
        call = *stepFor<CallPlatform>();
        expected = std::min(2 * expected, DutyRunner::kMaxBackoff);
    }
    runner.onSettled(now, settlementOf(call, 200).attempt, false);
    const Millis failedAt = now;
    now = failedAt + 1.5 * DutyRunner::kInitialBackoff;
    EXPECT_TRUE(hasAction());
}

TEST_F(DutyRunnerTest, AConflictRetiresTheTokenButNotTheIntent) {
    const CallPlatform call = callForNewIntent();
    EXPECT_FALSE(runner.onCalled(now, call.attempt, 409));
    now += kLongAfter;
    EXPECT_FALSE(hasAction());
    EXPECT_FALSE(runner.needsWork(now, context));
    context.epoch = 13;
    const auto again = stepFor<CallPlatform>();
    ASSERT_TRUE(again);
    EXPECT_EQ(again->body, "seven");
    EXPECT_EQ(again->token, 13U);
}

TEST_F(DutyRunnerTest, AnotherClientErrorRefusesTheIntentForGood) {
    const SettleIntent settlement = settlementOf(callForNewIntent(), 422);
    EXPECT_EQ(settlement.settlement.state, IntentState::refused);
}

TEST_F(DutyRunnerTest, KilledBeforeTheIntentTheSuccessorProposesItsOwnBody) {
    ASSERT_TRUE(stepFor<ProposeIntent>());
    DutyRunner successor(kUsage, kTakeoverDelay, 2);
    context.epoch = 13;
    const auto action = successor.step(now, context, DutyWork{7, "other"});
    ASSERT_TRUE(action && std::holds_alternative<ProposeIntent>(*action));
    const ProposalDecision decision = decide(table, std::get<ProposeIntent>(*action).proposal, 13);
    EXPECT_EQ(decision.intent.body, "other");
}

// A crash between commit and call, call and response, or response and settlement leaves the same table, so a successor acts the same.
TEST_F(DutyRunnerTest, KilledAfterTheCommitTheSuccessorSendsTheRecordedBodyUnderItsToken) {
    callForNewIntent();
    DutyRunner successor(kUsage, kTakeoverDelay, 2);
    context.epoch = 13;
    context.member = "core-2";
    const auto action = successor.step(now, context, DutyWork{8, "other"});
    ASSERT_TRUE(action && std::holds_alternative<CallPlatform>(*action));
    EXPECT_EQ(std::get<CallPlatform>(*action).body, "seven");
    EXPECT_EQ(std::get<CallPlatform>(*action).token, 13U);
    EXPECT_EQ(std::get<CallPlatform>(*action).holder, "core-2");
}

TEST_F(DutyRunnerTest, ASettlementThatIsLostSendsTheSameBodyAgain) {
    const CallPlatform call = callForNewIntent();
    const SettleIntent settlement = settlementOf(call, 200);
    runner.onSettled(now, settlement.attempt, false);
    EXPECT_FALSE(hasAction());
    now += 1.5 * DutyRunner::kMaxBackoff;
    const auto again = stepFor<CallPlatform>();
    ASSERT_TRUE(again);
    EXPECT_EQ(again->body, call.body);
}

TEST_F(DutyRunnerTest, EndsOfEarlierAttemptsAreIgnored) {
    const auto proposal = stepFor<ProposeIntent>();
    EXPECT_FALSE(runner.onCalled(now, proposal->attempt, 200)) << "not the end of this action";
    runner.onSettled(now, proposal->attempt, true);
    completeProposal(proposal->attempt, ProposalResult{});
    now += 1.5 * DutyRunner::kMaxBackoff;
    const CallPlatform call = callForNewIntent();
    EXPECT_FALSE(completeProposal(proposal->attempt,
                                  ProposalDecision{ProposalOutcome::accepted, {7, 12, "", {}, "x"}, {}}));
    EXPECT_FALSE(runner.onCalled(now, call.attempt - 1, 409));
    const SettleIntent settlement = settlementOf(call, 200);
    EXPECT_FALSE(runner.onCalled(now, call.attempt, 409)) << "the same end twice";
    runner.onSettled(now, settlement.attempt - 1, false);
    runner.onSettled(now, settlement.attempt, true);
    EXPECT_FALSE(stepFor<CallPlatform>(false));
}

TEST_F(DutyRunnerTest, AnotherTermEndsWhatIsUnderWay) {
    const auto proposal = stepFor<ProposeIntent>();
    open(7, "seven");
    context.epoch = 13;
    EXPECT_FALSE(completeProposal(proposal->attempt, decide(table, proposal->proposal, 12)))
        << "the answer of an earlier term makes no call";
    const auto call = stepFor<CallPlatform>();
    ASSERT_TRUE(call);
    context.isHolder = false;
    EXPECT_FALSE(hasAction());
    EXPECT_FALSE(runner.onCalled(now, call->attempt, 200));
}

TEST_F(DutyRunnerTest, NothingIsDoneWithoutFreshnessHoldOrTable) {
    open(7, "seven");
    context.fresh = false;
    EXPECT_FALSE(hasAction());
    context.fresh = true;
    context.isHolder = false;
    EXPECT_FALSE(hasAction());
    context.isHolder = true;
    context.table = nullptr;
    EXPECT_FALSE(hasAction());
    context.table = &table;
    EXPECT_TRUE(hasAction());
}

TEST_F(DutyRunnerTest, FrozenBetweenCommitAndAnswerItDoesNotCallUntilItIsFresh) {
    const auto proposal = stepFor<ProposeIntent>();
    const ProposalDecision decision = decide(table, proposal->proposal, 12);
    beechpoint::apply(decision.changes, table);
    now += 60'000;
    context.fresh = false;
    EXPECT_FALSE(completeProposal(proposal->attempt, decision));
    EXPECT_FALSE(hasAction());
    context.fresh = true;
    EXPECT_TRUE(stepFor<CallPlatform>());
}

TEST_F(DutyRunnerTest, ANewHolderWaitsForTheTakeOverDelayUnlessNobodyHasActed) {
    context.holderSince = now;
    EXPECT_TRUE(runner.needsWork(now, context)) << "no intent: nobody has acted";
    open(6, "six");
    settleAs(6, IntentState::done);
    EXPECT_FALSE(hasAction());
    now += kTakeoverDelay - 1;
    EXPECT_FALSE(hasAction());
    now += 1;
    EXPECT_TRUE(hasAction());
}

TEST_F(DutyRunnerTest, TheNewestNumberIsThatOfTheTableOrTheLastSettled) {
    EXPECT_EQ(runner.newestNumber(table), std::nullopt);
    const CallPlatform call = callForNewIntent();
    const SettleIntent settlement = settlementOf(call, 200);
    const Table before;
    EXPECT_EQ(runner.newestNumber(before), std::nullopt);
    runner.onSettled(now, settlement.attempt, true);
    EXPECT_EQ(runner.newestNumber(before), 7U);
    open(9, "nine");
    EXPECT_EQ(runner.newestNumber(table), 9U);
}

}  // namespace
}  // namespace beechpoint::duties
