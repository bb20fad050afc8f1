// The checker itself: histories that are linearizable, and histories that are not.
#include "linearizability.hpp"

#include <gtest/gtest.h>

#include "core/splitmix.hpp"
#include "store_specification.hpp"

namespace beechpoint::simulation {
namespace {

using History = std::vector<StoreOperation>;

LinearizabilityResult resultOf(const History& history) {
    const StoreSpecification specification;
    return LinearizabilityChecker(specification, history).check(StoreState{});
}

Verdict verdictOf(const History& history) { return resultOf(history).verdict; }

StoreCall put(std::uint64_t ifMatch, std::uint64_t revision, std::uint32_t value) {
    StoreCall call;
    call.kind = StoreCallKind::put;
    call.ifMatch = ifMatch;
    call.revision = revision;
    call.document.fill(value);
    return call;
}

StoreCall patch(std::uint64_t ifMatch, std::uint64_t revision, std::size_t item, std::uint32_t value) {
    StoreCall call = put(ifMatch, revision, value);
    call.kind = StoreCallKind::patch;
    call.item = item;
    return call;
}

StoreCall zoneCall(StoreCallKind kind, std::size_t zone) {
    StoreCall call;
    call.kind = kind;
    call.zone = zone;
    return call;
}

StoreAnswer done(std::uint64_t revision) { return {StoreAnswerKind::done, revision, {}, {}}; }
StoreAnswer conflict() { return {StoreAnswerKind::conflict, 0, {}, {}}; }
StoreAnswer invalid() { return {StoreAnswerKind::invalid, 0, {}, {}}; }
StoreAnswer shown(std::uint64_t revision, std::uint32_t value) {
    StoreAnswer answer = done(revision);
    answer.document.emplace();
    answer.document->fill(value);
    return answer;
}
StoreAnswer shownZones(std::uint64_t revision, std::uint32_t value, std::uint32_t zones) {
    StoreAnswer answer = shown(revision, value);
    answer.evacuated = zones;
    return answer;
}

TEST(Linearizability, AcceptsEmptyHistory) { EXPECT_EQ(verdictOf({}), Verdict::linearizable); }

TEST(Linearizability, AcceptsSequentialCalls) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 1},
                         {StoreCall{}, shown(1, 5), 2, 3},
                         {put(1, 2, 6), done(2), 4, 5},
                         {StoreCall{}, shown(2, 6), 6, 7}}),
              Verdict::linearizable);
}

TEST(Linearizability, AcceptsEitherStateForConcurrentRead) {
    for (const StoreAnswer& answer : {shown(0, 0), shown(1, 5)})
        EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 10}, {StoreCall{}, answer, 2, 3}}),
                  Verdict::linearizable);
}

TEST(Linearizability, RejectsStaleRead) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 1}, {StoreCall{}, shown(0, 0), 2, 3}}),
              Verdict::notLinearizable);
}

TEST(Linearizability, RejectsReadsThatGoBack) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 10},
                         {StoreCall{}, shown(1, 5), 2, 3},
                         {StoreCall{}, shown(0, 0), 4, 5}}),
              Verdict::notLinearizable);
}

TEST(Linearizability, RejectsTwoChangesAcknowledgedUnderOneRevision) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 10}, {put(0, 1, 6), done(1), 1, 9}}),
              Verdict::notLinearizable);
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 10}, {put(0, 1, 6), conflict(), 1, 9}}),
              Verdict::linearizable);
}

TEST(Linearizability, RejectsRefusalWithoutCause) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), conflict(), 0, 1}}), Verdict::notLinearizable);
    EXPECT_EQ(verdictOf({{put(0, 0, 5), invalid(), 0, 1}}), Verdict::linearizable);
    EXPECT_EQ(verdictOf({{put(0, 1, 5), invalid(), 0, 1}}), Verdict::notLinearizable);
}

// Sent once, applied, its answer lost, sent again and then rejected: its change is there and nobody made it.
TEST(Linearizability, RejectsRefusedRetryOfAppliedChange) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), conflict(), 0, 5}, {StoreCall{}, shown(1, 5), 6, 7}}),
              Verdict::notLinearizable);
}

TEST(Linearizability, AcceptsRepeatedCallAsAlreadyApplied) {
    StoreCall call = put(0, 1, 5);
    call.identity = 7;
    const StoreOperation between{put(1, 2, 6), done(2), 2, 3};
    EXPECT_EQ(verdictOf({{call, done(1), 0, 1}, between, {call, done(1), 4, 5}}), Verdict::linearizable);
    EXPECT_EQ(verdictOf({{call, done(1), 0, 1}, between, {call, conflict(), 4, 5}}),
              Verdict::notLinearizable);
    EXPECT_EQ(verdictOf({{call, {}, 0, 1}, {call, done(1), 2, 3}, {StoreCall{}, shown(1, 5), 4, 5}}),
              Verdict::linearizable);
}

TEST(Linearizability, RejectsLossOfAcknowledgedChange) {
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 1}, {put(0, 1, 6), done(1), 2, 3}}),
              Verdict::notLinearizable);
    EXPECT_EQ(
        verdictOf(
            {{put(0, 1, 5), done(1), 0, 1}, {put(1, 2, 6), done(2), 2, 3}, {StoreCall{}, shown(1, 5), 4, 5}}),
        Verdict::notLinearizable);
}

TEST(Linearizability, AcceptsEitherOutcomeOfUnknownCallAtAnyTime) {
    const StoreOperation unknown{put(0, 1, 5), {}, 0, 0};
    EXPECT_EQ(verdictOf({unknown, {StoreCall{}, shown(0, 0), 50, 51}}), Verdict::linearizable);
    EXPECT_EQ(verdictOf({unknown, {StoreCall{}, shown(1, 5), 50, 51}}), Verdict::linearizable);
    EXPECT_EQ(verdictOf({unknown, {StoreCall{}, shown(0, 0), 50, 51}, {StoreCall{}, shown(1, 5), 60, 61}}),
              Verdict::linearizable);
    EXPECT_EQ(verdictOf({unknown, {StoreCall{}, shown(1, 5), 50, 51}, {StoreCall{}, shown(0, 0), 60, 61}}),
              Verdict::notLinearizable);
}

TEST(Linearizability, RejectsUnknownCallTakingEffectTwice) {
    const StoreOperation unknown{zoneCall(StoreCallKind::evacuate, 1), {}, 0, 0};
    const StoreOperation back{zoneCall(StoreCallKind::cancelEvacuation, 1), done(0), 10, 11};
    EXPECT_EQ(verdictOf({unknown,
                         {StoreCall{}, shownZones(0, 0, 2), 2, 3},
                         back,
                         {StoreCall{}, shownZones(0, 0, 0), 12, 13}}),
              Verdict::linearizable);
    EXPECT_EQ(verdictOf({unknown,
                         {StoreCall{}, shownZones(0, 0, 2), 2, 3},
                         back,
                         {StoreCall{}, shownZones(0, 0, 2), 12, 13}}),
              Verdict::notLinearizable);
}

// Its first answer was lost; the second names the version that had come meanwhile.
TEST(Linearizability, AcceptsLaterButNotEarlierVersionForRepeatedEvacuation) {
    const StoreOperation change{put(0, 1, 5), done(1), 2, 3};
    const StoreOperation read{StoreCall{}, shownZones(0, 0, 2), 1, 1.5};
    EXPECT_EQ(verdictOf({{zoneCall(StoreCallKind::evacuate, 1), done(1), 0, 5}, read, change}),
              Verdict::linearizable);
    EXPECT_EQ(verdictOf({change, {zoneCall(StoreCallKind::evacuate, 1), done(0), 4, 5}}),
              Verdict::notLinearizable);
}

TEST(Linearizability, RequiresPatchToKeepUnnamedItems) {
    StoreAnswer answer = shown(2, 5);
    (*answer.document)[3] = 9;
    EXPECT_EQ(
        verdictOf(
            {{put(0, 1, 5), done(1), 0, 1}, {patch(1, 2, 3, 9), done(2), 2, 3}, {StoreCall{}, answer, 4, 5}}),
        Verdict::linearizable);
    EXPECT_EQ(verdictOf({{put(0, 1, 5), done(1), 0, 1},
                         {patch(1, 2, 3, 9), done(2), 2, 3},
                         {StoreCall{}, shown(2, 5), 4, 5}}),
              Verdict::notLinearizable);
}

// A call at about `time` by an operator that believes `version` in force.
StoreOperation drawOperation(SplitMix& random, Millis time, std::uint64_t version, std::uint32_t& value) {
    StoreOperation operation;
    const double kind = random();
    if (kind < 0.5)
        operation.call = put(version, version + 1, ++value);
    else if (kind < 0.6)
        operation.call = zoneCall(StoreCallKind::evacuate, random.below(3));
    else if (kind < 0.7)
        operation.call = zoneCall(StoreCallKind::cancelEvacuation, random.below(3));
    operation.invokedAt = time + 0.1 * random();
    operation.returnedAt = time + 0.5 + 0.3 * random();
    return operation;
}

StoreAnswer correctAnswer(const StoreCall& call, const StoreState& state) {
    if (call.versioned()) return call.ifMatch == state.revision ? done(call.revision) : conflict();
    if (call.changes()) return done(state.revision);
    StoreAnswer answer = shownZones(state.revision, 0, state.evacuated);
    answer.document = state.document;
    return answer;
}

// A long history of overlapping calls with unknown outcomes, made by carrying it out: the search stays narrow.
History longHistory(std::uint64_t seed, std::size_t calls) {
    SplitMix random(seed);
    const StoreSpecification specification;
    StoreState state;
    History history;
    Millis time = 0;
    std::uint32_t value = 0;
    while (history.size() < calls) {
        time += 1;
        const std::uint64_t version = state.revision;
        for (int client = 0; client < 4; ++client) {
            StoreOperation operation = drawOperation(random, time, version, value);
            const bool lost = operation.call.versioned() && random() < 0.1;
            const bool neverArrived = lost && random() < 0.5;
            if (!neverArrived) {
                const StoreAnswer answer = correctAnswer(operation.call, state);
                state = *specification.step(state, operation.call, answer);
                if (!lost) operation.answer = answer;
            }
            history.push_back(operation);
        }
    }
    return history;
}

TEST(Linearizability, DecidesHistoriesOfThousandsOfCallsInBoundedWork) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const History history = longHistory(seed, 2'000);
        const LinearizabilityResult result = resultOf(history);
        EXPECT_EQ(result.verdict, Verdict::linearizable) << "seed " << seed;
        EXPECT_LT(result.configurations, 400 * history.size()) << "seed " << seed;
    }
}

TEST(Linearizability, DetectsOneWrongReadInLongHistory) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        History history = longHistory(seed, 800);
        for (std::size_t index = history.size() - 100; index < history.size(); ++index) {
            if (history[index].call.changes()) continue;
            --history[index].answer->revision;
            break;
        }
        EXPECT_EQ(verdictOf(history), Verdict::notLinearizable) << "seed " << seed;
    }
}

TEST(Linearizability, ReportsUndecidedWhenSearchExceedsBound) {
    History history;
    for (std::size_t zone = 0; zone < 30; ++zone)
        history.push_back({zoneCall(StoreCallKind::evacuate, zone), {}, 0, 0});
    StoreAnswer impossible = shownZones(1, 0, 0);
    history.push_back({StoreCall{}, impossible, 1, 2});
    const StoreSpecification specification;
    const auto result = LinearizabilityChecker(specification, history, 20'000).check(StoreState{});
    EXPECT_EQ(result.verdict, Verdict::undecided);
}

}  // namespace
}  // namespace beechpoint::simulation
