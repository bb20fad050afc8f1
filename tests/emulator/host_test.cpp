// The model of one host, state by state.
#include "emulator/host.hpp"

#include <gtest/gtest.h>

namespace beechpoint::emulator {
namespace {

HostKind steady() {
    HostKind k;
    k.cores = 2;
    k.slots = 2;
    k.waitingRoom = 2;
    k.crowdingLoss = k.connectionTax = k.handshakeWork = k.probeWork = k.reportNoise = 0;
    k.speed = {1, 1};
    k.pauseLength = {0, 0};
    k.reportEvery = {100, 100};
    k.reportDelay = {50, 50};
    return k;
}

struct Bench {
    explicit Bench(HostKind kind = steady(), CancelPolicy policy = {}, bool cold = false)
        : host(kind, policy, 1, 7, 0, cold) {}
    // What ended up to `now`, as "ticket:end".
    std::string until(Millis now) {
        host.advance(now, out);
        return take();
    }
    std::string take() {
        std::string text;
        for (const HostAction& a : out) {
            if (!text.empty()) text += ' ';
            if (a.kind == HostAction::Kind::fell)
                text += "fell";
            else
                text += std::to_string(a.ticket) + (a.end == PartEnd::done   ? ":done"
                                                    : a.end == PartEnd::full ? ":full"
                                                                             : ":failed");
        }
        out.clear();
        return text;
    }
    void offer(Millis now, PartTicket ticket, Millis work = 100, Millis until = 1e9) {
        host.offer(now, ticket, work, until, out);
    }
    HostModel host;
    HostActions out;
};

TEST(Host, SharesItsCoresAndNoTaskHasTwo) {
    Bench b;
    b.offer(0, 1);
    EXPECT_EQ(b.until(99.9), "");
    EXPECT_EQ(b.until(100.1), "1:done");  // alone it has one core, not both
    HostKind one = steady();
    one.cores = 1;
    Bench shared(one);
    shared.offer(0, 1);
    shared.offer(0, 2);
    EXPECT_EQ(shared.until(199.9), "");
    EXPECT_EQ(shared.until(200.1), "1:done 2:done");
}

TEST(Host, WaitsInTurnAndTurnsAwayWhatHasNoRoom) {
    Bench b;
    for (PartTicket t = 1; t <= 5; ++t) b.offer(0, t);
    EXPECT_EQ(b.take(), "5:full");  // two in work, two wait
    EXPECT_EQ(b.host.held(), 4U);
    EXPECT_EQ(b.until(150), "1:done 2:done");
    EXPECT_EQ(b.until(250), "3:done 4:done");
}

TEST(Host, WorkRunsOnAfterACancelAndKeepsItsSlot) {
    Bench b;
    for (PartTicket t = 1; t <= 3; ++t) b.offer(0, t);
    b.host.cancel(10, 1, b.out);
    EXPECT_EQ(b.host.inWork(), 2U);  // its load shows it
    EXPECT_EQ(b.until(110), "2:done");
    EXPECT_EQ(b.host.tally().ranOn, 1U);
    EXPECT_EQ(b.until(210), "3:done");  // began only as the slot came free at 100
}

TEST(Host, OnTheOtherKindOfDayACancelFreesTheSlot) {
    Bench b(steady(), {true, true, true});
    for (PartTicket t = 1; t <= 3; ++t) b.offer(0, t);
    b.host.cancel(10, 1, b.out);
    EXPECT_EQ(b.host.inWork(), 2U);  // 2, and 3 that waited
    EXPECT_EQ(b.until(111), "2:done 3:done");
    EXPECT_EQ(b.host.tally().dropped, 1U);
}

TEST(Host, DropsCancelledWaitingWorkOnlyWhereThePolicySaysSo) {
    Bench drops, keeps(steady(), {false, false, true});
    for (Bench* b : {&drops, &keeps}) {
        for (PartTicket t = 1; t <= 3; ++t) b->offer(0, t);
        b->host.cancel(10, 3, b->out);
        b->until(500);
    }
    EXPECT_EQ(drops.host.tally().dropped, 1U);
    EXPECT_EQ(keeps.host.tally().ranOn, 1U);  // done for nobody
    // The policy may change in the middle of a day.
    keeps.host.policy(500, {true, false, true}, keeps.out);
    for (PartTicket t = 11; t <= 13; ++t) keeps.offer(500, t);
    keeps.host.cancel(510, 13, keeps.out);
    EXPECT_EQ(keeps.host.tally().dropped, 1U);
}

TEST(Host, BeginsOverduePartsOrTellsThatTheyAreOver) {
    Bench begins, refuses(steady(), {true, false, false});
    for (Bench* b : {&begins, &refuses}) {
        b->offer(0, 1);
        b->offer(0, 2);
        b->offer(0, 3, 100, 50);  // over before a slot is free
    }
    EXPECT_EQ(begins.until(300), "1:done 2:done 3:done");
    EXPECT_EQ(refuses.until(300), "1:done 2:done 3:full");
}

TEST(Host, FinishesWhatItHasAsItDrains) {
    Bench b;
    b.offer(0, 1);
    b.host.drain(10, b.out);
    b.offer(20, 2);
    EXPECT_EQ(b.take(), "2:full");
    EXPECT_EQ(b.until(200), "1:done");
    b.host.die(300, b.out);
    EXPECT_FALSE(b.host.alive());
    b.offer(310, 3);
    EXPECT_EQ(b.until(900), "");
}

TEST(Host, LosesWhatItHoldsWhenItDies) {
    Bench b;
    for (PartTicket t = 1; t <= 3; ++t) b.offer(0, t);
    b.host.die(50, b.out);
    EXPECT_EQ(b.until(1000), "");
    EXPECT_EQ(b.host.tally().lost, 3U);
    EXPECT_EQ(b.host.next(), 1e300);
}

TEST(Host, StandsStillInPausesAndRunsSlowerWhileSlow) {
    Bench b;
    b.offer(0, 1);
    b.host.pause(50, 250, b.out);
    EXPECT_EQ(b.until(299), "");
    EXPECT_EQ(b.until(301), "1:done");
    b.host.slow(400, 4, 600, b.out);
    b.host.slow(400, 2, 500, b.out);  // the slower one counts
    b.offer(400, 2);
    EXPECT_EQ(b.until(649), "");  // 200 ms at a quarter, 50 at full
    EXPECT_EQ(b.until(651), "2:done");
}

TEST(Host, HasPausesOfItsOwn) {
    HostKind k = steady();
    k.pauseEvery = {1000, 1000};
    k.pauseLength = {200, 200};
    Bench b(k);
    Millis now = 0;
    for (PartTicket t = 1; t <= 100; ++t) {
        b.offer(now, t);
        while (b.out.empty()) {
            now = b.host.next();
            b.host.advance(now, b.out);
        }
        b.out.clear();
    }
    EXPECT_NEAR(now, 100 * 100 / 0.8, 200);  // a fifth of the time stands still
}

TEST(Host, WarmsUpWithTimeAndFasterWithWork) {
    HostKind k = steady();
    k.coldFrom = 0.3;
    k.coldTime = 10'000;
    Bench idle(k, {}, true);
    EXPECT_DOUBLE_EQ(idle.host.warmth(), 0.3);
    idle.until(5'000);
    EXPECT_NEAR(idle.host.warmth(), 0.65, 0.01);
    idle.until(10'051);
    EXPECT_DOUBLE_EQ(idle.host.warmth(), 1);
    k.warmByWork = true;
    k.overloadFactor = 0;
    Bench busy(k, {}, true), lazy(k, {}, true);
    busy.offer(0, 1, 50'000);
    busy.offer(0, 2, 50'000);
    busy.until(4'000);
    lazy.until(4'000);
    EXPECT_GT(busy.host.warmth(), lazy.host.warmth() + 0.05);
}

TEST(Host, FallsOverWhenSentTooMuchWhileColdAndNotWhenWarm) {
    HostKind k = steady();
    k.coldFrom = 0.3;
    k.coldTime = 10'000;
    k.waitingRoom = 1000;
    // 4 x 0.6 x 3 s = 7.2 s of work within 3 s
    Bench cold(k, {}, true), warm(k), slowly(k, {}, true);
    for (PartTicket t = 1; t <= 71; ++t) cold.offer(10, t);
    EXPECT_EQ(cold.take(), "");
    cold.offer(10, 72);
    cold.offer(10, 73);
    EXPECT_EQ(cold.take(), "fell");
    EXPECT_FALSE(cold.host.alive());
    EXPECT_EQ(cold.host.tally().lost, cold.host.tally().arrived);
    for (PartTicket t = 1; t <= 200; ++t) warm.offer(10, t);
    EXPECT_TRUE(warm.host.alive());
    for (PartTicket t = 1; t <= 200; ++t)
        slowly.offer(static_cast<double>(t) * 60, t);  // under 4 x all the time
    EXPECT_TRUE(slowly.host.alive());
}

TEST(Host, TakesConnectionsUpToItsCapAndTheyCostWork) {
    HostKind k = steady();
    k.cores = 1;
    k.connectionCap = 2;
    k.handshakeWork = 10;
    Bench b(k);
    b.offer(0, 1);
    EXPECT_TRUE(b.host.connect(0, b.out));
    EXPECT_TRUE(b.host.connect(0, b.out));
    EXPECT_FALSE(b.host.connect(0, b.out));
    EXPECT_EQ(b.until(119.9), "");
    EXPECT_EQ(b.until(120.1), "1:done");
    EXPECT_EQ(b.host.held(), 0U);
    b.host.disconnect(200, b.out);
    EXPECT_TRUE(b.host.connect(200, b.out));
}

TEST(Host, ReportsLateAndNowAndThen) {
    Bench b;
    for (PartTicket t = 1; t <= 4; ++t) b.offer(0, t, 1000);
    EXPECT_FALSE(b.host.report(0));
    b.until(400);
    const auto report = b.host.report(400);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->inflight, 4);
    EXPECT_EQ(report->queue, 2);
    b.host.die(400, b.out);
    b.until(5000);
    EXPECT_EQ(b.host.report(5000)->inflight, 4);  // as last seen, however old
}

TEST(Host, CrowdingAndAFullTableCostCapacity) {
    HostKind k = steady();
    k.cores = 1;
    k.crowdingLoss = 0.5;
    Bench b(k);
    for (PartTicket t = 1; t <= 4; ++t) b.offer(0, t);
    EXPECT_NEAR(b.host.rate(), 0.5, 1e-9);
    k.crowdingLoss = 0;
    k.connectionTax = 0.2;
    k.connectionCap = 1;
    Bench table(k);
    table.host.connect(0, table.out);
    table.offer(0, 1);
    EXPECT_NEAR(table.host.rate(), 0.8, 1e-9);
}

}  // namespace
}  // namespace beechpoint::emulator
