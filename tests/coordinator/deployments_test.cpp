// The decision module with the settings of each deployment: what one of them got by luck holds for both.
#include <gtest/gtest.h>

#include "coordinator_fixture.hpp"

namespace beechpoint::coordinator::test {
namespace {

ClassSettings classOf(const char* name, Nanos aim, Nanos deadline, double worth) {
    ClassSettings c;
    c.name = name, c.aim = aim, c.deadline = deadline, c.worth = worth;
    return c;
}
Settings shared() {
    Settings s = basic();
    s.classes.clear();
    s.coordinators = 3;
    s.shards = 12, s.cells = 1, s.span = 1;
    s.maxAttempts = 3;
    return s;
}
Settings trentside() {
    Settings s = shared();
    s.classes = {classOf("day-report", 2000 * kMs, 5000 * kMs, 2),
                 classOf("pallet-lookup", 1200 * kMs, 3000 * kMs, 1)};
    s.reports = Reports::withAnswers;
    s.overloadFactor = 4, s.overloadTime = 3 * kS;
    return s;
}
Settings plovdiv() {
    Settings s = shared();
    s.classes = {classOf("label-lookup", 1200 * kMs, 3000 * kMs, 1),
                 classOf("label-issue", 1000 * kMs, 2500 * kMs, 2),
                 classOf("batch-report", 1500 * kMs, 4000 * kMs, 5)};
    s.classes[1].effect = Effect::unsafe, s.classes[1].lateWorth = 0.1;
    s.classes[2].leastShare = 0.8, s.classes[2].shortWorth = 0.8;
    s.reports = Reports::withProbes;
    s.probing = true;
    s.overloadFactor = 2, s.overloadTime = 1500 * kMs;
    return s;
}

// The deployment's mix, each query served by every host after `took`; then whether one of `klass` is let in.
struct Mix {
    const char* klass;
    int parts, times;
};
bool letIn(const Settings& s, const std::vector<Mix>& mix, Nanos took, const Mix& asked) {
    CoordinatorFixture fixture(s, {"a", "b", "c", "d", "e", "f"});
    RequestId id = 1;
    for (int round = 0; round < 12; ++round)
        for (const Mix& m : mix)
            for (int i = 0; i < m.times; ++i, id += 100) {
                const std::size_t first = fixture.sent.size();
                fixture.query(id, m.parts, m.klass, 5 * kS);
                fixture.pass(took);
                for (std::size_t k = first; k < fixture.sent.size(); ++k)
                    if (!fixture.sent[k].ended) fixture.end(k);
            }
    fixture.pass(10 * kMs);
    fixture.query(id, asked.parts, asked.klass, 5 * kS);
    return fixture.finals(id) == 0;
}
const std::vector<Mix> kPlovdivMix{{"label-lookup", 5, 5}, {"label-issue", 1, 2}, {"batch-report", 4, 2}};
const std::vector<Mix> kTrentsideMix{{"pallet-lookup", 5, 5}, {"day-report", 5, 1}};

}  // namespace

// A label-lookup takes five times the work of a label-issue and is worth half: once all parts take half of its
// aim, it is turned away at the door, so that issues and reports come in time; queues that short are no
// reason to turn those away, nor any class of a deployment whose classes are worth about the same for their work.
TEST(Deployments, WhatIsWorthLittleForItsWorkGivesWayFirst) {
    const Nanos busy = 420 * kMs, idle = 120 * kMs;
    for (const Mix& m : kPlovdivMix) EXPECT_TRUE(letIn(plovdiv(), kPlovdivMix, idle, m)) << m.klass;
    EXPECT_FALSE(letIn(plovdiv(), kPlovdivMix, busy, kPlovdivMix[0]));
    EXPECT_TRUE(letIn(plovdiv(), kPlovdivMix, busy, kPlovdivMix[1]));
    EXPECT_TRUE(letIn(plovdiv(), kPlovdivMix, busy, kPlovdivMix[2]));
    for (const Nanos took : {idle, busy})
        for (const Mix& m : kTrentsideMix) EXPECT_TRUE(letIn(trentside(), kTrentsideMix, took, m)) << m.klass;
}

}  // namespace beechpoint::coordinator::test
