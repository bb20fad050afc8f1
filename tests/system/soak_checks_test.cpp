// The checks of a soak find what they are made for: each breach in a record that is sound otherwise.
#include "soak_checks.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "event_script.hpp"
#include "soak_schedule.hpp"
#include "system.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kStart = 1'000'000'000;
constexpr const char* kKey = "soak-key-0";

Attempt attempt(const std::string& id, const std::string& path, Millis sentAt) {
    Attempt attempt;
    attempt.id = id;
    attempt.key = kKey;
    attempt.path = path;
    attempt.sentAt = sentAt;
    attempt.endedAt = sentAt + 20;
    attempt.status = 200;
    attempt.whole = true;
    attempt.body = kPlainAnswer;
    return attempt;
}

HostRun run(const std::string& id, const std::string& path, Millis at) { return {at, id, "t0", path, false}; }

DutyCall usageCall(Millis at, const std::string& holder, std::uint64_t token, std::uint64_t window,
                   int count) {
    return {at,
            "/usage-reports",
            holder,
            token,
            fmt::format(R"({{"window_number":{},"instance_counts":{{"t0":{}}}}})", window, count),
            200,
            true};
}

// The key is t0's from the start; one request of each kind that matters was run and answered.
SoakRecord soundRecord() {
    SoakRecord record;
    record.keys.begin(kKey, "t0", kStart);
    record.attempts = {attempt("a", "/safe/x", kStart + 5'000), attempt("b", "/once/x", kStart + 5'100)};
    record.runs = {run("a", "/safe/x", kStart + 5'005), run("b", "/once/x", kStart + 5'105)};
    record.healthy = {kStart + 5'000, kStart + 6'000};
    record.dutyCalls = {usageCall(kStart + 7'000, "core-1", 1, 1'000'005, 2)};
    return record;
}

TEST(SoakChecksTest, ASoundRecordHasNoFindings) {
    const SoakRecord record = soundRecord();
    EXPECT_EQ(checkRuns(record), Findings{});
    EXPECT_EQ(checkAnswers(record), Findings{});
    EXPECT_EQ(checkDutyCalls(record.dutyCalls), Findings{});
    EXPECT_EQ(checkUsage(record), Findings{});
}

TEST(SoakChecksTest, AKeyThatAHostSawIsFound) {
    SoakRecord record = soundRecord();
    record.runs[0].keySeen = true;
    EXPECT_EQ(checkRuns(record).size(), 1u);
}

// A stream of events, whole or cut behind its first two.
SoakRecord recordOfStream(bool whole) {
    SoakRecord record = soundRecord();
    Attempt stream = attempt("e", "/events/x", kStart + 5'200);
    stream.whole = whole;
    stream.body.clear();
    for (const std::string& event : eventsOf("e")) stream.body += event;
    if (!whole) stream.body = eventsOf("e")[0] + eventsOf("e")[1];
    if (!whole) stream.failure = "brokenAnswer";
    record.attempts.push_back(stream);
    record.runs.push_back(run("e", "/events/x", kStart + 5'205));
    record.runs.back().spoiled = !whole;
    return record;
}

TEST(SoakChecksTest, StreamOfSpoiledHostMayBeCutBehindAnEvent) {
    EXPECT_EQ(checkAnswers(recordOfStream(true)), Findings{});
    EXPECT_EQ(checkAnswers(recordOfStream(false)), Findings{});
}

TEST(SoakChecksTest, StreamCutThoughNoHostSpoiledItIsFound) {
    SoakRecord record = recordOfStream(false);
    record.runs.back().spoiled = false;
    EXPECT_EQ(checkAnswers(record).size(), 1u);
}

TEST(SoakChecksTest, StreamThatNoRunMadeIsFound) {
    for (const bool whole : {true, false})
        for (const char* spoilt :
             {"data: x\n\n", "\x16\x03\x01\r\n\r\n", "id: 1\ndata: e.1\n\n", "id: 7\n"}) {
            SoakRecord record = recordOfStream(whole);
            record.attempts.back().body += spoilt;
            EXPECT_EQ(checkAnswers(record).size(), 1u) << whole << spoilt;
        }
}

TEST(SoakChecksTest, ARunForAnotherTenantIsFound) {
    SoakRecord record = soundRecord();
    record.runs[0].tenant = "t1";
    EXPECT_EQ(checkRuns(record).size(), 1u);
}

TEST(SoakChecksTest, ARunForAKeyThatNobodyHeldIsFound) {
    SoakRecord record = soundRecord();
    record.attempts[0].key = "soak-key-never";
    EXPECT_EQ(checkRuns(record).size(), 1u);
    record.runs[0].tenant = "";
    EXPECT_EQ(checkRuns(record).size(), 1u);
}

TEST(SoakChecksTest, ARunForTheOldHolderIsFoundOnceTheChangeMustBeKnown) {
    SoakRecord record = soundRecord();
    record.keys.begin(kKey, "t1", kStart + 2'500);
    record.keys.acknowledge(kKey, kStart + 2'600);
    EXPECT_EQ(checkRuns(record), Findings{});
    record.attempts[0].sentAt = kStart + 2'601 + kConfigApply;
    record.runs[0].at = record.attempts[0].sentAt + 5;
    EXPECT_EQ(checkRuns(record).size(), 1u);
    record.disruptions.begin("edge-1", Disruption::stopped, kStart + 3'000);
    EXPECT_EQ(checkRuns(record), Findings{}) << "the gateway was stopped";
}

TEST(SoakChecksTest, ASecondRunIsFoundWhereItMustNotBe) {
    SoakRecord record = soundRecord();
    record.runs.push_back(record.runs[0]);
    EXPECT_EQ(checkRuns(record), Findings{});
    record.runs.push_back(record.runs[1]);
    EXPECT_EQ(checkRuns(record).size(), 1u);
}

TEST(SoakChecksTest, AnAnswerThatOnlyLooksWholeIsFound) {
    SoakRecord record = soundRecord();
    record.attempts[0].body = "don";
    EXPECT_EQ(checkAnswers(record).size(), 1u);
}

TEST(SoakChecksTest, ARefusalOfAHeldKeyIsFound) {
    SoakRecord record = soundRecord();
    record.attempts[0].status = 401;
    EXPECT_EQ(checkAnswers(record).size(), 1u);
}

TEST(SoakChecksTest, ARequestThatWasReadAndLeftByAPlannedEndIsFound) {
    SoakRecord record = soundRecord();
    record.attempts[0].whole = false;
    record.attempts[0].failure = "resetBeforeAnswer";
    record.disruptions.begin("edge-1", Disruption::terminated, kStart + 4'000);
    EXPECT_EQ(checkAnswers(record).size(), 1u);
    record.disruptions.begin("edge-1", Disruption::killed, kStart + 5'001);
    EXPECT_EQ(checkAnswers(record), Findings{}) << "the gateway was killed";
}

TEST(SoakChecksTest, AConnectionBrokenByAGatewayThatWasNotDisturbedIsFound) {
    SoakRecord record = soundRecord();
    record.runs.clear();
    record.attempts[0].whole = false;
    record.attempts[0].failure = "resetBeforeAnswer";
    EXPECT_EQ(checkAnswers(record).size(), 1u);
}

TEST(SoakChecksTest, AnotherBodyOfAWindowIsFoundAndARepeatIsNot) {
    std::vector<DutyCall> calls{usageCall(kStart, "core-1", 1, 7, 2),
                                usageCall(kStart + 10, "core-1", 1, 7, 2)};
    EXPECT_EQ(checkDutyCalls(calls), Findings{});
    calls.push_back(usageCall(kStart + 20, "core-1", 1, 7, 3));
    EXPECT_EQ(checkDutyCalls(calls).size(), 1u);
}

TEST(SoakChecksTest, ATokenOfTwoHoldersIsFoundAlsoWhereTheCallIsRefused) {
    std::vector<DutyCall> calls{usageCall(kStart, "core-1", 1, 7, 2),
                                usageCall(kStart + 10, "core-2", 1, 7, 2)};
    calls[1].accepted = false;
    EXPECT_EQ(checkDutyCalls(calls).size(), 1u);
}

TEST(SoakChecksTest, AFallingTokenIsFoundAmongAcceptedCalls) {
    std::vector<DutyCall> calls{usageCall(kStart, "core-1", 5, 7, 2),
                                usageCall(kStart + 10, "core-2", 4, 8, 2)};
    EXPECT_EQ(checkDutyCalls(calls).size(), 1u);
    calls[1].accepted = false;
    EXPECT_EQ(checkDutyCalls(calls), Findings{});
}

TEST(SoakChecksTest, TurnsOfHoldersWithinTheLeaseAreFound) {
    std::vector<DutyCall> calls{usageCall(kStart, "core-1", 1, 7, 2),
                                usageCall(kStart + 10, "core-2", 2, 8, 2),
                                usageCall(kStart + kLease - 1, "core-1", 3, 9, 2)};
    EXPECT_EQ(checkDutyCalls(calls).size(), 1u);
    calls[2].at = kStart + kLease;
    EXPECT_EQ(checkDutyCalls(calls), Findings{});
}

TEST(SoakChecksTest, AWindowThatIsNotReportedAndAWrongCountAreFound) {
    SoakRecord record = soundRecord();
    record.dutyCalls = {usageCall(kStart + 7'000, "core-1", 1, 1'000'005, 9)};
    EXPECT_EQ(checkUsage(record).size(), 1u);
    record.healthy.to += 1'000;
    record.dutyCalls = {usageCall(kStart + 7'000, "core-1", 1, 1'000'005, 2)};
    EXPECT_EQ(checkUsage(record).size(), 1u);
    EXPECT_FALSE(allReported(record.dutyCalls, record.healthy));
}

TEST(SoakScheduleTest, SeriesAreRepeatableAndInOrder) {
    constexpr Millis kLength = 60'000;
    const auto events = drawSeries(7, 5, 4, kLength);
    EXPECT_EQ(describe(events), describe(drawSeries(7, 5, 4, kLength)));
    EXPECT_NE(describe(events), describe(drawSeries(8, 5, 4, kLength)));
    EXPECT_TRUE(std::ranges::is_sorted(events, {}, &SoakEvent::at));
    for (const SoakAction action :
         {SoakAction::terminate, SoakAction::kill, SoakAction::stop, SoakAction::reload})
        EXPECT_NE(std::ranges::find(events, action, &SoakEvent::action), events.end());
}

}  // namespace
}  // namespace beechpoint::system_test
