// The six rules, each by one coordinator alone.
#include <gtest/gtest.h>

#include "bed.hpp"

using namespace firkeel;
using namespace firkeel::test;

TEST(Rules, AnsweredOnceWhenAllPartsAreIn) {
    Bed bed;
    bed.query(10, 3);
    ASSERT_EQ(bed.sent.size(), 3u);
    bed.pass(50 * kMs);
    bed.end(0);
    bed.end(1);
    EXPECT_EQ(bed.finals(10), 0);
    bed.end(2);
    ASSERT_EQ(bed.all<Answer>().size(), 1u);
    EXPECT_TRUE(bed.all<Answer>()[0].whole);
    bed.pass(5 * kS);
    EXPECT_EQ(bed.finals(10), 1);
}

TEST(Rules, UnansweredQueryEndsBeforeItsTimeAndNothingIsSentAfter) {
    Bed bed;
    bed.query(10, 2);
    bed.until(1 * kS + 3 * kS);
    EXPECT_EQ(bed.finals(10), 1);
    const std::size_t sends = bed.sent.size();
    for (std::size_t i = 0; i < sends; ++i) bed.end(i, Outcome::timedOut);
    bed.pass(1 * kS);
    EXPECT_EQ(bed.sent.size(), sends);
    EXPECT_EQ(bed.finals(10), 1);
}

// Found on the bench: an event just before the timer, at the same time, set the timer anew and the sweep
// never ran.
TEST(Rules, EventsBeforeTheTimerDoNotPutOffTheEnd) {
    Bed bed;
    bed.query(10);
    while (bed.now < 4 * kS) {
        bed.now += 5 * kMs;
        bed.give(TimerDue{99});
        bed.give(ProbeEnded{"a", Outcome::served, kMs, {}});
    }
    EXPECT_EQ(bed.finals(10), 1);
}

TEST(Rules, QueryWithoutAnyServerStillEnds) {
    Bed bed(basic(), {});
    bed.query(10, 2);
    bed.until(4 * kS);
    EXPECT_EQ(bed.finals(10), 1);
    EXPECT_TRUE(bed.sent.empty());
}

TEST(Rules, UnsafePartThatMayHaveRunIsNotSentAgainAndItsQueryFails) {
    Settings s = basic();
    s.classes[0].effect = Effect::unsafe;
    Bed bed(s);
    bed.query(10);
    bed.pass(50 * kMs);
    bed.end(0, Outcome::connectionLost);
    bed.pass(3 * kS);
    EXPECT_EQ(bed.sent.size(), 1u);
    EXPECT_EQ(bed.all<Fail>().size(), 1u);
    EXPECT_TRUE(bed.all<Refuse>().empty());
}

TEST(Rules, UnsafePartThatNeverRanIsSentAgain) {
    Settings s = basic();
    s.classes[0].effect = Effect::unsafe;
    Bed bed(s);
    bed.query(10);
    bed.pass(50 * kMs);
    bed.end(0, Outcome::turnedAway);
    EXPECT_EQ(bed.sent.size(), 2u);
}

TEST(Rules, KeyedPartIsSentAgainWithinItsWindowOnly) {
    Settings s = basic();
    s.classes[0].effect = Effect::keyed;
    s.classes[0].repeatWindow = 100 * kMs;
    Bed in(s), out(s);
    for (Bed* bed : {&in, &out}) bed->query(10);
    in.pass(50 * kMs);
    in.end(0, Outcome::error);
    EXPECT_EQ(in.sent.size(), 2u);
    out.pass(150 * kMs);
    out.end(0, Outcome::error);
    out.pass(3 * kS);
    EXPECT_EQ(out.sent.size(), 1u);
}

TEST(Rules, NothingGoesToADrainingOrGoneServer) {
    Bed bed;
    bed.change(Bed::up("a", 0, ServerState::draining));
    bed.change(Bed::up("b", 0, ServerState::removed));
    for (RequestId i = 0; i < 8; ++i) bed.query(10 + 10 * i, 2);
    ASSERT_FALSE(bed.sent.empty());
    for (const Sent& s : bed.sent) EXPECT_EQ(s.server, "c");
}

TEST(Rules, NoAnswerUnderTheLeastShareAndNoneMarkedWholeThatIsNot) {
    Settings s = basic();
    s.classes[0].leastShare = 0.5;
    Bed little(s), enough(s);
    little.query(10, 3, "get", 3 * kS, {0.4, 0.3, 0.3});
    enough.query(10, 3, "get", 3 * kS, {0.4, 0.3, 0.3});
    for (Bed* bed : {&little, &enough}) {
        bed->pass(50 * kMs);
        bed->end(0);
    }
    enough.end(1);
    for (Bed* bed : {&little, &enough}) bed->until(4 * kS);
    EXPECT_TRUE(little.all<Answer>().empty());
    EXPECT_EQ(little.finals(10), 1);
    ASSERT_EQ(enough.all<Answer>().size(), 1u);
    EXPECT_FALSE(enough.all<Answer>()[0].whole);
}

TEST(Rules, SecondStepIsWholeOnlyWithAllPartsAndAWholeFirst) {
    Settings s = basic();
    s.classes[0].secondStep = 2;
    Bed bed(s);
    bed.query(10, 2);
    bed.pass(50 * kMs);
    bed.end(0);
    bed.end(1);
    ASSERT_EQ(bed.all<Answer>().size(), 1u);
    bed.pass(5 * kMs);
    bed.parts(10, 20, 2);
    ASSERT_EQ(bed.sent.size(), 4u);
    bed.pass(50 * kMs);
    bed.end(2);
    EXPECT_EQ(bed.all<Answer>().size(), 1u);
    bed.end(3);
    ASSERT_EQ(bed.all<Answer>().size(), 2u);
    EXPECT_TRUE(bed.all<Answer>()[1].whole);
}

// Short time: an outcome that brings in enough comes after the query's end, in the batch of the sweep that is
// to end it, with or without another event between. The first answer opens a second step only with the next
// batch, so an end in the same reply may not count, and no other would follow.
TEST(Rules, NoQueryEndsInTheReplyThatOpensItsSecondStep) {
    Settings s = basic();
    s.classes[0].leastShare = 0.4;
    s.classes[0].secondStep = 2;
    for (const Nanos lasts : {481 * kMs, 485 * kMs, 486 * kMs, 490 * kMs}) {
        for (const int between : {0, 1, 2}) {
            Bed bed(s);
            bed.query(10, 2, "get", lasts);
            ASSERT_EQ(bed.sent.size(), 2u);
            const Nanos at = 1 * kS + 470 * kMs;  // a sweep's time; the query's end is 1 to 9 ms before
            bed.until(at - 1);
            bed.now = at;
            bed.end(0);
            if (between == 1) bed.change(Bed::up("d"));
            if (between == 2) bed.give(ProbeEnded{"a", Outcome::served, kMs, {}});
            bed.until(at);
            const bool opened = !bed.all<Answer>().empty();
            EXPECT_FALSE(opened && bed.finals(10) > 1) << "ended before its second step is open";
            if (opened) bed.parts(10, 20, 2);
            bed.until(1 * kS + lasts);
            EXPECT_EQ(bed.all<Refuse>().size(), 1u);
        }
    }
}

// Nothing but timers, each brought a tick after it is due, a coarse tick and no slack.
TEST(Rules, EndComesByTheClientsTimeWhateverTheTick) {
    Settings s = basic();
    s.tick = 40 * kMs;
    s.answerSlack = 0;
    for (Nanos lasts = 150 * kMs; lasts < 900 * kMs; lasts += 5 * kMs) {
        Bed bed(s);
        bed.query(10, 2, "get", lasts);
        while (bed.finals(10) == 0 && !bed.timers.empty()) {
            bed.now = bed.timers.begin()->first + s.tick;
            bed.timers.erase(bed.timers.begin());
            bed.give(TimerDue{0});
        }
        EXPECT_EQ(bed.finals(10), 1);
        EXPECT_LE(bed.now, 1 * kS + lasts);
    }
}

TEST(Rules, SecondStepWhosePartsNeverComeEndsInTime) {
    Settings s = basic();
    s.classes[0].secondStep = 2;
    Bed bed(s);
    bed.query(10);
    bed.pass(50 * kMs);
    bed.end(0);
    ASSERT_EQ(bed.all<Answer>().size(), 1u);
    bed.until(2 * kS);  // the aim
    EXPECT_EQ(bed.all<Refuse>().size(), 1u);
    EXPECT_EQ(bed.sent.size(), 1u);
}

// Ids and numbers are said to be unique; where they are not, each query still gets one end, and none breaks
// another's way to its parts.
TEST(Rules, NumberOrIdThatComesTwiceLosesNoQuery) {
    Settings s = basic();
    s.classes[0].secondStep = 1;
    Bed bed(s);
    const auto query = [&](RequestId id, std::int64_t number, RequestId part) {
        QueryArrived q;
        q.id = id, q.number = number, q.klass = "get", q.expires = bed.now + 3 * kS, q.parts = 1;
        bed.give(q);
        bed.parts(static_cast<RequestId>(number), part, 1, {1.0});
    };
    query(10, 5, 11);
    query(10, 5, 11);  // the id again
    query(20, 5, 21);  // the number again
    ASSERT_EQ(bed.sent.size(), 2u);
    bed.pass(50 * kMs);
    bed.end(0);
    bed.end(1);
    ASSERT_EQ(bed.all<Answer>().size(), 2u);
    bed.parts(5, 31, 1, {1.0});
    bed.pass(20 * kMs);
    bed.end(2);
    bed.until(3 * kS);
    EXPECT_EQ(bed.all<Answer>().size() + bed.all<Refuse>().size(), 4u);
    EXPECT_EQ(bed.finals(10), 2);
    EXPECT_EQ(bed.finals(20), 2);
}

// The only holder starts with no capacity at all: the expected time has no bound, and the advice is the
// longest wait, not whatever a cast makes of it.
TEST(Rules, RefusalWithNoTimeInSightAdvisesTheLongestWait) {
    Settings s = basic();
    s.coldFrom = 0;
    Bed bed(s, {});
    bed.change(Bed::up("c", bed.now));
    bed.query(10);
    EXPECT_TRUE(bed.sent.empty());
    ASSERT_EQ(bed.all<Refuse>().size(), 1u);
    EXPECT_EQ(bed.all<Refuse>()[0].retryAfter, s.maxRetryAfter);
}

TEST(Rules, StatedBudgetBoundsFurtherAttempts) {
    Settings s = basic();
    s.hasResendBudget = true;
    s.freeResends = 1;
    s.resendRatio = 0;
    s.lookBack = 10 * kS;
    Bed bed(s);
    for (RequestId i = 0; i < 10; ++i) {
        bed.query(10 + 10 * i);
        bed.pass(10 * kMs);
        for (std::size_t k = 0; k < bed.sent.size(); ++k)
            if (!bed.sent[k].ended) bed.end(k, Outcome::error);
    }
    int further = 0;
    for (const Sent& x : bed.sent) further += x.attempt > 0;
    EXPECT_EQ(further, 1);
}

// Found on the bench: a copy failed while no replica was free, its twin was served, and the part was sent
// again.
TEST(Rules, PartThatIsInIsNotSentAgain) {
    Bed bed;
    for (int i = 0; i < 30; ++i)
        bed.warm(
            1, [&](auto&) { return (i / 3) % 2 ? 20 * kMs : 380 * kMs; }, 1000 + 2 * i);
    std::size_t from = bed.sent.size();
    bed.query(10, 2);
    // Every attempt but one fails, time and again; then the drained fleet leaves nothing to send to.
    for (const char* id : {"a", "b", "c"}) bed.change(Bed::up(id, 0, ServerState::draining));
    std::map<RequestId, std::size_t> last;
    for (std::size_t i = from; i < bed.sent.size(); ++i) last[bed.sent[i].part] = i;
    for (std::size_t i = from; i < bed.sent.size(); ++i)
        if (last[bed.sent[i].part] != i) bed.end(i, Outcome::error);
    for (const auto& [part, i] : last)
        if (part == 11) bed.end(i);
    const std::size_t sends = bed.sent.size();
    for (const char* id : {"a", "b", "c"}) bed.change(Bed::up(id));
    bed.pass(200 * kMs);
    for (std::size_t i = sends; i < bed.sent.size(); ++i) EXPECT_NE(bed.sent[i].part, 11u);
}
