// At fleet size: what one coordinator of a hundred learns from its few own attempts, and from what others
// sent.
#include <gtest/gtest.h>

#include <limits>

#include "bed.hpp"

namespace firkeel::test {
namespace {

std::vector<LoadValue> report(double queue, double rate) {
    return {{"inflight", queue + 4}, {"queue", queue}, {"qps", rate}};
}

// Two holders, both answering in 20 ms, and 100 coordinators. `load` comes with an answer of b.
Bed told(std::vector<LoadValue> load, Outcome outcome = Outcome::served) {
    Settings s = basic();
    s.coordinators = 100;
    Bed bed(s, {"a", "b"});
    bed.warm(40, [](const std::string&) { return 20 * kMs; });
    for (RequestId id = 1; id < 1000; id += 2) {  // until b is drawn
        const std::size_t first = bed.sent.size();
        bed.query(id);
        bed.pass(20 * kMs);
        Sent& sent = bed.sent[first];
        sent.ended = true;
        const bool b = sent.server == "b";
        bed.give(AttemptEnded{sent.part, sent.attempt, sent.server, b ? outcome : Outcome::served,
                              bed.now - sent.at, true, b ? load : std::vector<LoadValue>{}});
        if (b) break;
    }
    return bed;
}
// How many of the next 40 queries, all answered in 20 ms with no report, go to b first.
int toB(Bed& bed) {
    int n = 0;
    for (RequestId id = 5001; id < 5081; id += 2) {
        const std::size_t first = bed.sent.size();
        bed.query(id);
        n += bed.sent.at(first).server == "b";
        bed.pass(20 * kMs);
        bed.end(first);
    }
    return n;
}

}  // namespace

// 100 coordinators send a host half a part a second each: its own answers tell one of them of a queue seconds
// later than the report of the first answer does.
TEST(Reports, AQueueThatOthersBuiltIsLeftAloneWhileItLasts) {
    Bed plain = told({}), queued = told(report(36, 10)), full = told(report(36, 10), Outcome::turnedAway);
    EXPECT_GT(toB(plain), 10);
    EXPECT_LE(toB(queued), 1);
    EXPECT_LE(toB(full), 1);
}

TEST(Reports, AShortQueueOrAnOldOneIsNoReasonToStayAway) {
    Bed brief = told(report(3, 150));
    brief.pass(200 * kMs);
    EXPECT_GT(toB(brief), 10);
    Bed idle = told(report(1.5, 1));  // one part there by chance, at a host that is asked little
    EXPECT_GT(toB(idle), 10);
    Bed old = told(report(36, 10));
    old.pass(8 * kS);
    EXPECT_GT(toB(old), 10);
}

TEST(Reports, ARestartEndsIt) {
    Bed bed = told(report(36, 10));
    bed.change(Bed::up("b", bed.now));
    bed.pass(bed.settings.coldTime / 2);
    EXPECT_GE(toB(bed), 3);
}

TEST(Reports, WhatCannotBeAReportTellsNothing) {
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (const auto& load :
         {report(-5, 10), report(36, -1), report(nan, 10), report(36, nan), report(1e300, 10),
          std::vector<LoadValue>{{"queue", 36}}, std::vector<LoadValue>{{"util", 1}}}) {
        Bed bed = told(load);
        EXPECT_GT(toB(bed), 10) << load.size() << " " << load.front().value;
        Bed queued = told(report(36, 10));  // nor does it take back what was told before
        queued.give(ProbeEnded{"b", Outcome::served, kMs, load});
        EXPECT_LE(toB(queued), 1) << load.size() << " " << load.front().value;
    }
}

// Only what is in by the aim counts. A copy sent while a slow part may still come by itself spends the budget
// of one that can't.
TEST(Copies, GoNoSoonerThanTheyMust) {
    Bed bed(basic(), {"a", "b"});
    bed.warm(40, [](const std::string&) { return 50 * kMs; });
    const std::size_t first = bed.sent.size();
    bed.query(1);
    bed.pass(400 * kMs);  // overdue at 100 ms; the aim is 1 s, and the other answers in 50 ms
    EXPECT_EQ(bed.sent.size(), first + 1);
    bed.pass(500 * kMs);
    ASSERT_EQ(bed.sent.size(), first + 2);
    EXPECT_NE(bed.sent[first].server, bed.sent[first + 1].server);
    EXPECT_GE(bed.sent[first + 1].at + 80 * kMs, bed.sent[first].at + 800 * kMs);
    EXPECT_LE(bed.sent[first + 1].at, bed.sent[first].at + 900 * kMs);
}

}  // namespace firkeel::test
