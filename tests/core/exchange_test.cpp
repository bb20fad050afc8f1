// The exchange by itself, with a clock that the test sets and hosts that only record what they are sent.
#include <gtest/gtest.h>

#include <algorithm>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// Hosts that record what they are sent.
struct RecordingHosts : TrackHosts {
    void update(const HostList&) override {}
    void send(Attempt attempt) override { sent.push_back(std::move(attempt)); }
    void flush() override {}
    void abandon(AttemptId id) override { abandoned.push_back(id); }
    void probe(const std::string&) override {}
    std::vector<Attempt> sent;
    std::vector<AttemptId> abandoned;
};

// An exchange over one host "a", whose time passes as the test says.
struct ExchangeFixture {
    explicit ExchangeFixture(const coordinator::Settings& s = settings())
        : exchange(s, 1, clock, counters, log, [this](Millis at) { next = at; }) {
        clock.set(Clock::kOrigin);
        exchange.attach(hosts);
        list("a", coordinator::ServerState::up, coordinator::ListKind::remembered);
    }
    void list(const std::string& id, coordinator::ServerState state,
              coordinator::ListKind kind = coordinator::ListKind::changes) {
        exchange.list({kind, {hostEntry(id, "127.0.0.1:1", 0, state)}});
    }
    Ticket take(const std::string& id, int parts = 2, Millis lasts = 3000) {
        Request request;
        request.id = id;
        request.klass = "pallet-lookup";
        request.expires = clock.now() + lasts;
        for (int i = 0; i < parts; ++i) request.parts.push_back({i, 1.0 / parts});
        request.text = "q";
        return exchange.take(std::move(request), [this](const Final& final) {
            finals.push_back(final);
            values.clear();
            for (const PartAnswer& part : final.parts) values += part.value;
            finals.back().parts.clear();
        });
    }
    void pass(Millis ms) {
        for (const Millis end = clock.now() + ms; clock.now() < end;) {
            clock.set(std::min(end, std::max(next, clock.now() + 0.1)));
            exchange.tick();
        }
    }
    Clock clock;
    Counters counters;
    Logger log{clock};
    Millis next = 1e300;
    RecordingHosts hosts;
    Exchange exchange;
    std::vector<Final> finals;
    std::string values;
};

TEST(Exchange, AnswersOnceWhenAllPartsAreServed) {
    ExchangeFixture fixture;
    fixture.take("t");
    ASSERT_EQ(fixture.hosts.sent.size(), 2);
    EXPECT_EQ(fixture.exchange.open(), 3);
    for (const Attempt& a : fixture.hosts.sent) EXPECT_TRUE(fixture.exchange.claim(a.id));
    fixture.clock.set(fixture.clock.now() + 10);
    fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::served, "x");
    ASSERT_TRUE(fixture.finals.empty());
    fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::served,
                           "late");  // an attempt has one outcome: dropped
    ASSERT_TRUE(fixture.finals.empty());
    fixture.exchange.ended(fixture.hosts.sent[1].id, Outcome::served, "y");
    ASSERT_EQ(fixture.finals.size(), 1);
    EXPECT_TRUE(fixture.finals[0].whole);
    EXPECT_EQ(fixture.values, "xy");
    EXPECT_EQ(fixture.exchange.live(), 0);
    EXPECT_EQ(fixture.exchange.open(), 0);
    fixture.pass(5000);
    ASSERT_EQ(fixture.finals.size(), 1);
    EXPECT_EQ(fixture.counters.get(Counter::answeredWhole), 1);
}

TEST(Exchange, RefusesAtTheDeadlineWhenAPartIsMissing) {
    ExchangeFixture fixture;
    fixture.take("t");
    fixture.exchange.claim(fixture.hosts.sent[0].id);
    fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::served, "x");
    fixture.pass(3000);
    ASSERT_EQ(fixture.finals.size(), 1);
    EXPECT_NE(fixture.finals[0].kind, Final::Kind::answered);
    ASSERT_TRUE(fixture.values.empty());
    EXPECT_EQ(fixture.finals[0].why, Final::Why::deadline);
    EXPECT_GT(fixture.finals[0].retryAfter, 0);  // the client is told when to come again
}

TEST(Exchange, EndsEachRequestByItsExpiry) {
    for (const Millis lasts : {0.0, 1.0, 25.0, 300.0, 3000.0}) {
        ExchangeFixture fixture;
        fixture.take("t", 2, lasts);
        const Millis taken = fixture.clock.now();
        while (fixture.finals.empty()) fixture.pass(0.1);
        EXPECT_LE(fixture.clock.now(), taken + std::min(lasts, 1200.0) + 0.2);
    }
}

TEST(Exchange, RefusesOverTheOpenCapAndOnIdsInUse) {
    coordinator::Settings capped = settings();
    capped.openCap = 7;
    ExchangeFixture fixture(capped);
    fixture.take("a");
    fixture.take("b");
    fixture.take("c");
    ASSERT_EQ(fixture.finals.size(), 1);
    EXPECT_EQ(fixture.finals[0].why, Final::Why::openCap);
    EXPECT_EQ(fixture.finals[0].kind, Final::Kind::refused);
    EXPECT_EQ(fixture.finals[0].retryAfter, 500);
    fixture.take("a", 0);  // its id is in use
    ASSERT_EQ(fixture.finals.size(), 2);
    EXPECT_EQ(fixture.finals[1].why, Final::Why::duplicateId);
    fixture.pass(2000);  // both have ended: their ids are still in use for a while
    ASSERT_EQ(fixture.finals.size(), 4);
    EXPECT_EQ(fixture.exchange.live(), 0);
    fixture.take("a", 1);
    ASSERT_EQ(fixture.finals.size(), 5);
    EXPECT_EQ(fixture.finals[4].why, Final::Why::duplicateId);
    fixture.pass(5000);  // ids are not kept for good
    fixture.take("d", 1);
    EXPECT_EQ(fixture.exchange.live(), 1);
    EXPECT_EQ(fixture.exchange.idsHeld(), 1);
}

TEST(Exchange, SendsAPartThreeTimesAtMost) {
    ExchangeFixture fixture;
    fixture.take("t", 1);
    for (std::size_t i = 0; i < fixture.hosts.sent.size(); ++i) {
        ASSERT_LT(i, 3u);
        fixture.exchange.claim(fixture.hosts.sent[i].id);
        fixture.exchange.ended(fixture.hosts.sent[i].id, Outcome::error);
        fixture.pass(50);
    }
    ASSERT_EQ(fixture.finals.size(), 1);
    EXPECT_EQ(fixture.exchange.live(), 0);
}

// What waited for a connection is asked about again before it is written.
TEST(Exchange, ForbidsSendingWhenTheHostDrains) {
    ExchangeFixture fixture;
    fixture.take("t", 1);
    fixture.list("a", coordinator::ServerState::draining);
    EXPECT_FALSE(fixture.exchange.claim(fixture.hosts.sent[0].id));
    EXPECT_EQ(fixture.counters.get(Counter::attemptsNotSent), 1);
}

TEST(Exchange, ForbidsSendingWhenTheClientLeft) {
    ExchangeFixture fixture;
    const Ticket ticket = fixture.take("t", 1);
    fixture.exchange.gone(ticket);
    EXPECT_FALSE(fixture.exchange.claim(fixture.hosts.sent[0].id));
    ASSERT_TRUE(fixture.finals.empty());
    ASSERT_EQ(fixture.hosts.abandoned.size(), 1);
    EXPECT_EQ(fixture.counters.get(Counter::clientsGone), 1);
    fixture.exchange.gone(ticket);
    EXPECT_EQ(fixture.counters.get(Counter::clientsGone), 1);
}

TEST(Exchange, ForbidsSendingWhenTimeIsUp) {
    ExchangeFixture fixture;
    fixture.take("t", 1, 400);
    fixture.clock.set(fixture.clock.now() + 400);
    EXPECT_FALSE(fixture.exchange.claim(fixture.hosts.sent[0].id));
}

TEST(Exchange, DropsLateAnswerWhenAttemptTimedOut) {
    ExchangeFixture fixture;
    fixture.take("t", 1, 500);
    EXPECT_TRUE(fixture.exchange.claim(fixture.hosts.sent[0].id));
    fixture.pass(600);
    ASSERT_EQ(fixture.finals.size(), 1);
    ASSERT_EQ(fixture.hosts.abandoned.size(), 1);
    fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::served, "late");
    ASSERT_EQ(fixture.finals.size(), 1);
}

// Whatever the settings allow, a part whose client has left is neither sent nor sent again; while its
// client is there it is.
TEST(Exchange, SendsNoFurtherAttemptWhenClientLeft) {
    for (const bool cancels : {true, false})
        for (const bool hedges : {true, false})
            for (const bool left : {true, false}) {
                coordinator::Settings s = settings();
                s.cancelling = cancels;
                s.parallelTries = hedges;
                ExchangeFixture fixture(s);
                fixture.list("b", coordinator::ServerState::up);
                const Ticket ticket = fixture.take("t", 1);
                EXPECT_TRUE(fixture.exchange.claim(fixture.hosts.sent[0].id));
                EXPECT_TRUE(fixture.exchange.wanted(fixture.hosts.sent[0].id));
                fixture.exchange.written(fixture.hosts.sent[0].id);
                if (left) fixture.exchange.gone(ticket);
                EXPECT_EQ(fixture.exchange.wanted(fixture.hosts.sent[0].id), !left);
                fixture.pass(1000);
                if (!left && hedges) fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::error);
                ASSERT_EQ((fixture.hosts.sent.size() > 1), !left);
                EXPECT_EQ(fixture.counters.get(Counter::goneAfterSent), left ? 1 : 0);
                EXPECT_EQ(fixture.counters.get(Counter::goneBeforeSent), 0);
            }
}

// A request that may have run and is not idempotent fails; all others are refused.
TEST(Exchange, AnswersEachRequestOnceWhenTheProcessEnds) {
    for (const bool unsafe : {false, true})
        for (const bool sent : {false, true}) {
            coordinator::Settings s = settings();
            if (unsafe) s.classes[0].effect = coordinator::Effect::unsafe;
            ExchangeFixture fixture(s);
            fixture.take("t", 1);
            EXPECT_TRUE(fixture.exchange.claim(fixture.hosts.sent[0].id));
            if (sent) fixture.exchange.written(fixture.hosts.sent[0].id);
            fixture.exchange.endAll();
            ASSERT_EQ(fixture.finals.size(), 1);
            EXPECT_EQ(fixture.exchange.live(), 0);
            EXPECT_EQ(fixture.exchange.open(), 0);
            EXPECT_EQ(fixture.finals[0].kind, unsafe && sent ? Final::Kind::failed : Final::Kind::refused);
            fixture.exchange.ended(fixture.hosts.sent[0].id, Outcome::served, "late");
            ASSERT_EQ(fixture.finals.size(), 1);
        }
}

}  // namespace
