#include "duties/intent_log.hpp"

#include <gtest/gtest.h>

#include <string>

namespace beechpoint::duties {
namespace {

constexpr std::uint64_t kEpoch = 12;
const Subject kUsage{Duty::usage, "", ""};
const Subject kScaling{Duty::scaling, "writers", "hall"};

Proposal proposal(std::uint64_t number, const std::string& body = "body", const Subject& subject = kUsage) {
    return {subject, number, kEpoch, "core-1", body};
}

void commit(Table& table, const Proposal& wanted) {
    const ProposalDecision decision = decide(table, wanted, kEpoch);
    ASSERT_EQ(decision.outcome, ProposalOutcome::accepted);
    beechpoint::apply(decision.changes, table);
}

TEST(IntentLog, AnotherTokenThanTheEpochIsStale) {
    Table table;
    for (const std::uint64_t epoch : {kEpoch - 1, kEpoch + 1}) {
        const ProposalDecision decision = decide(table, proposal(1), epoch);
        EXPECT_EQ(decision.outcome, ProposalOutcome::stale);
        EXPECT_TRUE(decision.changes.empty());
    }
    commit(table, proposal(1));
    EXPECT_EQ(decide(table, proposal(1), kEpoch + 1).outcome, ProposalOutcome::stale);
}

TEST(IntentLog, TheFirstProposalOfANumberWins) {
    Table table;
    commit(table, proposal(5, "first"));
    Proposal second = proposal(5, "second");
    second.holder = "core-2";
    second.token = kEpoch + 1;
    ProposalDecision decision = decide(table, second, kEpoch + 1);
    EXPECT_EQ(decision.outcome, ProposalOutcome::recorded);
    EXPECT_TRUE(decision.changes.empty());
    EXPECT_EQ(decision.intent, (Intent{5, kEpoch, "core-1", IntentState::open, "first"}));

    beechpoint::apply(settle(table, {kUsage, 5, IntentState::done}), table);
    decision = decide(table, second, kEpoch + 1);
    EXPECT_EQ(decision.outcome, ProposalOutcome::recorded);
    EXPECT_EQ(decision.intent, (Intent{5, kEpoch, "core-1", IntentState::done, ""}));
}

TEST(IntentLog, ANumberBelowTheNewestIsSuperseded) {
    Table table;
    commit(table, proposal(5));
    const ProposalDecision decision = decide(table, proposal(4), kEpoch);
    EXPECT_EQ(decision.outcome, ProposalOutcome::superseded);
    EXPECT_TRUE(decision.changes.empty());
    EXPECT_EQ(decide(table, proposal(6), kEpoch).outcome, ProposalOutcome::accepted);
    EXPECT_EQ(decide(table, proposal(4, "body", kScaling), kEpoch).outcome, ProposalOutcome::accepted);
}

TEST(IntentLog, ABodyAboveTheBoundIsRefused) {
    const Table table;
    EXPECT_EQ(decide(table, proposal(1, std::string(kMaxBodyBytes, 'x')), kEpoch).outcome,
              ProposalOutcome::accepted);
    const ProposalDecision decision = decide(table, proposal(1, std::string(kMaxBodyBytes + 1, 'x')), kEpoch);
    EXPECT_EQ(decision.outcome, ProposalOutcome::tooLarge);
    EXPECT_TRUE(decision.changes.empty());
}

TEST(IntentLog, AcceptedIsWhatStandsInTheTableAfterTheChanges) {
    for (const std::string body : {"plain", "\xff\xfe not text", ""}) {
        Table table;
        const ProposalDecision decision = decide(table, proposal(1, body), kEpoch);
        ASSERT_EQ(decision.outcome, ProposalOutcome::accepted);
        beechpoint::apply(decision.changes, table);
        EXPECT_EQ(findIntent(table, kUsage, 1), decision.intent) << "a successor would send another body";
    }
}

TEST(IntentLog, KeepsTheNewestIntentsOfASubject) {
    for (const auto& [subject, retained] :
         {std::pair{kUsage, kRetainedUsageIntents}, std::pair{kScaling, kRetainedScalingIntents}}) {
        Table table{{"duty/usage/other", "x"}, {"route/a", "{}"}};
        const std::size_t others = table.size();
        for (std::uint64_t number = 1; number <= 30; ++number) commit(table, proposal(number, "b", subject));
        const auto intents = intentsOf(table, subject);
        ASSERT_EQ(intents.size(), retained);
        EXPECT_EQ(intents.front().number, 31 - retained);
        EXPECT_EQ(intents.back().number, 30U);
        EXPECT_EQ(table.size(), retained + others);
    }
}

TEST(IntentLog, SettlesAnOpenIntentOnceAndDropsItsBody) {
    Table table;
    commit(table, proposal(1));
    EXPECT_TRUE(settle(table, {kUsage, 1, IntentState::open}).empty());
    EXPECT_TRUE(settle(table, {kUsage, 2, IntentState::done}).empty());
    EXPECT_TRUE(settle(table, {kScaling, 1, IntentState::done}).empty());
    beechpoint::apply(settle(table, {kUsage, 1, IntentState::refused}), table);
    EXPECT_EQ(findIntent(table, kUsage, 1), (Intent{1, kEpoch, "core-1", IntentState::refused, ""}));
    EXPECT_TRUE(settle(table, {kUsage, 1, IntentState::done}).empty());
}

TEST(IntentLog, LeavesOutRecordsThatCannotBeRead) {
    Table table;
    commit(table, proposal(2));
    table["duty/usage/00000000000000000001"] = "garbage";
    table["duty/usage/x"] = formatIntent({});
    table["duty/usages/00000000000000000003"] = formatIntent({3, 1, "a", IntentState::open, "b"});
    const auto intents = intentsOf(table, kUsage);
    ASSERT_EQ(intents.size(), 1U);
    EXPECT_EQ(intents.front().number, 2U);
    EXPECT_FALSE(findIntent(table, kUsage, 1));
}

}  // namespace
}  // namespace beechpoint::duties
