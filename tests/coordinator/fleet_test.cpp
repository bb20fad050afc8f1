// At fleet size: what one coordinator of a hundred learns from its few own attempts, and from what others
// sent.
#include <gtest/gtest.h>

#include <limits>

#include "coordinator_fixture.hpp"

namespace beechpoint::coordinator::test {
namespace {

std::vector<LoadValue> report(double queue, double rate) {
    return {{"inflight", queue + 4}, {"queue", queue}, {"qps", rate}};
}

// Two holders, both answering in 20 ms, and 100 coordinators. `load` comes with an answer of b.
CoordinatorFixture told(std::vector<LoadValue> load, Outcome outcome = Outcome::served) {
    Settings s = basic();
    s.coordinators = 100;
    CoordinatorFixture fixture(s, {"a", "b"});
    fixture.warm(40, [](const std::string&) { return 20 * kMs; });
    for (RequestId id = 1; id < 1000; id += 2) {  // until b is drawn
        const std::size_t first = fixture.sent.size();
        fixture.query(id);
        fixture.pass(20 * kMs);
        Sent& sent = fixture.sent[first];
        sent.ended = true;
        const bool b = sent.server == "b";
        fixture.give(AttemptEnded{sent.part, sent.attempt, sent.server, b ? outcome : Outcome::served,
                                  fixture.now - sent.at, true, b ? load : std::vector<LoadValue>{}});
        if (b) break;
    }
    return fixture;
}
// How many of the next 40 queries, all answered in 20 ms with no report, go to b first.
int toB(CoordinatorFixture& fixture) {
    int n = 0;
    for (RequestId id = 5001; id < 5081; id += 2) {
        const std::size_t first = fixture.sent.size();
        fixture.query(id);
        n += fixture.sent.at(first).server == "b";
        fixture.pass(20 * kMs);
        fixture.end(first);
    }
    return n;
}

}  // namespace

// 100 coordinators send a host half a part a second each: its own answers tell one of them of a queue seconds
// later than the report of the first answer does.
TEST(Reports, AQueueThatOthersBuiltIsLeftAloneWhileItLasts) {
    CoordinatorFixture plain = told({}), queued = told(report(36, 10)),
                       full = told(report(36, 10), Outcome::turnedAway);
    EXPECT_GT(toB(plain), 10);
    EXPECT_LE(toB(queued), 1);
    EXPECT_LE(toB(full), 1);
}

TEST(Reports, AShortQueueOrAnOldOneIsNoReasonToStayAway) {
    CoordinatorFixture brief = told(report(3, 150));
    brief.pass(200 * kMs);
    EXPECT_GT(toB(brief), 10);
    CoordinatorFixture idle =
        told(report(1.5, 1));  // one part there by chance, at a host that is asked little
    EXPECT_GT(toB(idle), 10);
    CoordinatorFixture old = told(report(36, 10));
    old.pass(8 * kS);
    EXPECT_GT(toB(old), 10);
}

TEST(Reports, ARestartEndsIt) {
    CoordinatorFixture fixture = told(report(36, 10));
    fixture.change(CoordinatorFixture::up("b", fixture.now));
    fixture.pass(fixture.settings.coldTime / 2);
    EXPECT_GE(toB(fixture), 3);
}

TEST(Reports, WhatCannotBeAReportTellsNothing) {
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (const auto& load :
         {report(-5, 10), report(36, -1), report(nan, 10), report(36, nan), report(1e300, 10),
          std::vector<LoadValue>{{"queue", 36}}, std::vector<LoadValue>{{"util", 1}}}) {
        CoordinatorFixture fixture = told(load);
        EXPECT_GT(toB(fixture), 10) << load.size() << " " << load.front().value;
        CoordinatorFixture queued = told(report(36, 10));  // nor does it take back what was told before
        queued.give(ProbeEnded{"b", Outcome::served, kMs, load});
        EXPECT_LE(toB(queued), 1) << load.size() << " " << load.front().value;
    }
}

// Only what is in by the aim counts. A copy sent while a slow part may still come by itself spends the budget
// of one that can't.
TEST(Copies, GoNoSoonerThanTheyMust) {
    CoordinatorFixture fixture(basic(), {"a", "b"});
    fixture.warm(40, [](const std::string&) { return 50 * kMs; });
    const std::size_t first = fixture.sent.size();
    fixture.query(1);
    fixture.pass(400 * kMs);  // overdue at 100 ms; the aim is 1 s, and the other answers in 50 ms
    EXPECT_EQ(fixture.sent.size(), first + 1);
    fixture.pass(500 * kMs);
    ASSERT_EQ(fixture.sent.size(), first + 2);
    EXPECT_NE(fixture.sent[first].server, fixture.sent[first + 1].server);
    EXPECT_GE(fixture.sent[first + 1].at + 80 * kMs, fixture.sent[first].at + 800 * kMs);
    EXPECT_LE(fixture.sent[first + 1].at, fixture.sent[first].at + 900 * kMs);
}

}  // namespace beechpoint::coordinator::test
