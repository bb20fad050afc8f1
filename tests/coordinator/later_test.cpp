// At both ends of the scale, and under the troubles of the grown deployments.
#include <gtest/gtest.h>

#include <random>

#include "coordinator_fixture.hpp"

namespace beechpoint::coordinator::test {
namespace {

Settings ring(int servers, int coordinators) {
    Settings s = basic();
    s.coordinators = coordinators;
    s.shards = s.cells = servers;
    s.span = 3;
    s.probing = true;
    s.dialTimeout = 250 * kMs;
    return s;
}
std::vector<std::string> names(int n) {
    std::vector<std::string> ids;
    for (int i = 0; i < n; ++i) ids.push_back("s" + std::to_string(i));
    return ids;
}
void placeRing(CoordinatorFixture& fixture, int servers) {
    ServerList list;
    for (int i = 0; i < servers; ++i) {
        ServerEntry e = CoordinatorFixture::up("s" + std::to_string(i));
        e.cell = i;
        list.entries.push_back(e);
    }
    fixture.give(list);
}
QueryArrived keyed(RequestId id, int parts, const std::string& key, Nanos now) {
    QueryArrived q;
    q.id = id, q.number = id, q.klass = "get", q.key = key, q.parts = parts, q.expires = now + 3 * kS;
    return q;
}

}  // namespace

TEST(Size, HundredPartsOnACalmFleetAreAdmittedAndSpread) {
    for (const int coordinators : {2, 80}) {
        CoordinatorFixture fixture(ring(100, coordinators), names(100));
        placeRing(fixture, 100);
        fixture.query(1, 100);
        EXPECT_EQ(fixture.finals(1), 0);
        ASSERT_EQ(fixture.sent.size(), 100u) << coordinators;
        std::map<std::string, int> at;
        for (const Sent& s : fixture.sent) EXPECT_LE(++at[s.server], 4) << coordinators;
    }
}

TEST(Size, OneBadOutcomeDoesNotMakeAQuietCoordinatorRefuse) {
    CoordinatorFixture fixture(ring(8, 80), names(8));
    placeRing(fixture, 8);
    fixture.query(1);
    fixture.end(0, Outcome::error);
    fixture.pass(10 * kS);
    fixture.query(10, 8);
    EXPECT_EQ(fixture.finals(10), 0);
}

// What 40 coordinators send a cold server together stays inside the stated budget.
TEST(Size, ColdServersBudgetHoldsOverAllCoordinators) {
    constexpr int kUnits = 40;
    Settings s = ring(3, kUnits);
    s.coldFrom = 0.15;
    s.coldTime = 18 * kS;
    s.overloadTime = 3 * kS;
    std::vector<CoordinatorFixture> beds;
    for (int i = 0; i < kUnits; ++i) beds.emplace_back(s, names(3), static_cast<std::uint64_t>(i + 1));
    for (CoordinatorFixture& fixture : beds) placeRing(fixture, 3);
    int cold = 0, warm = 0;
    for (int round = 0; round < 8; ++round) {
        for (std::size_t b = 0; b < beds.size(); ++b) {
            CoordinatorFixture& fixture = beds[b];
            fixture.until((2 + round) * kS + static_cast<Nanos>(b) * 20 * kMs);
            if (round == 5) fixture.change(CoordinatorFixture::up("s0", fixture.now));
            const std::size_t from = fixture.sent.size();
            fixture.query(static_cast<RequestId>(10 + 10 * round), 3);
            fixture.pass(100 * kMs);
            for (std::size_t i = from; i < fixture.sent.size(); ++i) {
                if (round >= 5) ++(fixture.sent[i].server == "s0" ? cold : warm);
                const bool full =
                    round >= 5 && fixture.sent[i].server != "s0";  // so that all want the cold one
                fixture.end(i, full ? Outcome::turnedAway : Outcome::served);
            }
        }
    }
    EXPECT_GT(warm, 200);
    // Three times 0.15 to 0.3 of a typical server's share (40 a second of 120), half as much again, over 3 s.
    EXPECT_LE(cold, 120);
    EXPECT_GT(cold, 0);
}

TEST(Tenants, FewQueriesProveNothing) {
    for (const int coordinators : {1, 80}) {
        Settings s = basic();
        s.coordinators = coordinators;
        s.tenants = {{"x", 0.1, 1}, {"y", 0.9, 9}};
        s.overShareWorth = 0.1;
        CoordinatorFixture fixture(s);
        fixture.warm(20, [](const std::string&) { return 280 * kMs; });
        fixture.query(10, 1, "get", 3 * kS, {}, "x");
        EXPECT_EQ(fixture.finals(10), 0) << coordinators;
    }
}

TEST(Tenants, WhoIsSurelyOverItsShareIsRefusedFirst) {
    Settings s = basic();
    s.tenants = {{"x", 0.1, 1}, {"y", 0.9, 9}};
    s.overShareWorth = 0.1;
    CoordinatorFixture fixture(s);
    fixture.warm(20, [](const std::string&) { return 280 * kMs; });
    for (int i = 0; i < 40; ++i) fixture.query(static_cast<RequestId>(10 + 2 * i), 1, "get", 3 * kS, {}, "x");
    EXPECT_EQ(fixture.finals(88), 1);
}

TEST(Blame, QueryUnderWhichTwoServersDieIsFailedAndComesBackCarefully) {
    CoordinatorFixture fixture(ring(12, 2), names(12));
    placeRing(fixture, 12);
    fixture.give(keyed(1, 4, "k", fixture.now));
    fixture.parts(1, 2, 4);
    ASSERT_EQ(fixture.sent.size(), 4u);
    fixture.end(0, Outcome::connectionLost);
    EXPECT_EQ(fixture.sent.size(), 4u);  // not carried to the next replica
    fixture.end(1, Outcome::connectionLost);
    EXPECT_EQ(fixture.all<Fail>().size(), 1u);
    fixture.pass(kS);
    EXPECT_EQ(fixture.sent.size(), 4u);
    for (const std::size_t i : {0, 1})
        fixture.give(ProbeEnded{fixture.sent[i].server, Outcome::served, kMs, {}});
    for (const std::size_t i : {2, 3}) fixture.end(i, Outcome::cancelled);
    fixture.pass(10 * kS - 1100 * kMs);
    fixture.give(keyed(101, 4, "k", fixture.now));
    fixture.parts(101, 102, 4);
    ASSERT_EQ(fixture.sent.size(), 5u);  // one part first
    fixture.end(4);
    EXPECT_EQ(fixture.sent.size(), 8u);  // it does no harm: the rest follows
}

// One server that dies breaks all its connections: that is one loss, however many parts were out there.
TEST(Blame, PartsThatBreakWithOneServerAreOneLoss) {
    CoordinatorFixture b(basic(), {"a"});
    b.query(1, 3);
    ASSERT_EQ(b.sent.size(), 3u);
    b.change(CoordinatorFixture::up("b"));
    for (std::size_t i = 0; i < 3; ++i) b.end(i, Outcome::connectionLost);
    EXPECT_EQ(b.finals(1), 0);
    for (std::size_t i = 3; i < b.sent.size(); ++i) {
        EXPECT_EQ(b.sent[i].server, "b");
        b.end(i);
    }
    EXPECT_EQ(b.all<Answer>().size(), 1u);
}

TEST(Blame, PartServedClearsTheQueryAndLossesFailOver) {
    CoordinatorFixture fixture(ring(12, 2), names(12));
    placeRing(fixture, 12);
    fixture.query(1, 4);
    fixture.end(0);
    fixture.end(1, Outcome::connectionLost);
    EXPECT_EQ(fixture.sent.size(), 5u);
    EXPECT_EQ(fixture.finals(1), 0);
}

TEST(Down, NothingIsSentUntilAProbePassesAndThenAsToAColdServer) {
    Settings s = basic();
    s.probing = true;
    s.dialTimeout = 250 * kMs;
    CoordinatorFixture fixture(s, {"a", "b"});
    const auto probes = [&](const std::string& id) {
        int n = 0;
        for (const Probe& p : fixture.all<Probe>()) n += p.server == id;
        return n;
    };
    RequestId id = 1;
    for (int i = 0; i < 50 && (fixture.sent.empty() || fixture.sent.back().server != "a"); ++i)
        fixture.query(id += 10);
    ASSERT_EQ(fixture.sent.back().server, "a");
    fixture.end(fixture.sent.size() - 1, Outcome::noConnection);
    const std::size_t from = fixture.sent.size();
    for (int i = 0; i < 10; ++i) {
        fixture.query(id += 10);
        fixture.pass(20 * kMs);
        for (std::size_t k = 0; k < fixture.sent.size(); ++k)
            if (!fixture.sent[k].ended) fixture.end(k);
    }
    EXPECT_EQ(probes("a"), 1);
    for (std::size_t k = from; k < fixture.sent.size(); ++k) EXPECT_EQ(fixture.sent[k].server, "b");
    fixture.give(ProbeEnded{"a", Outcome::served, kMs, {}});
    const std::size_t back = fixture.sent.size();
    for (int i = 0; i < 30; ++i) fixture.query(id += 10);
    int toA = 0;
    for (std::size_t k = back; k < fixture.sent.size(); ++k) toA += fixture.sent[k].server == "a";
    EXPECT_LE(toA, 4);  // cold, whatever the list says
}

TEST(Silence, OfOneClassIsSeenThoughTheServerServesTheOther) {
    Settings s = basic();
    s.classes.push_back(s.classes[0]);
    s.classes[1].name = "put";
    s.parallelTries = false;  // no copies, so that E2 alone decides
    CoordinatorFixture fixture(s, {"a", "b"});
    fixture.warm(40, [](const std::string&) { return 50 * kMs; });
    RequestId id = 10;
    std::size_t silent = 0;
    do {
        fixture.query(id += 10, 1, "put");
        silent = fixture.sent.size() - 1;
        if (fixture.sent[silent].server != "a") fixture.end(silent);
    } while (fixture.sent[silent].server != "a" && id < 1000);
    fixture.pass(200 * kMs);
    int toA = 0, put = 0;
    for (int i = 0; i < 20; ++i) {
        std::size_t k = fixture.sent.size();
        fixture.query(id += 10);  // the other class is served at both
        fixture.pass(kMs);
        for (; k < fixture.sent.size(); ++k)
            if (!fixture.sent[k].ended) fixture.end(k);
        k = fixture.sent.size();
        fixture.query(id += 10, 1, "put");
        for (; k < fixture.sent.size(); ++k) {
            if (fixture.sent[k].ended) continue;
            ++put;
            toA += fixture.sent[k].server == "a";
            fixture.end(k);
            if (fixture.sent[k].server == "a") return;  // its silence is over
        }
    }
    EXPECT_GT(put, 15);
    EXPECT_EQ(toA, 0);
}

TEST(Patience, PartialAnswersGoBeforeOthersWouldLeave) {
    Settings s = basic();
    s.classes[0].leastShare = 0.4;
    for (const bool leaving : {false, true}) {
        CoordinatorFixture fixture(s);
        for (RequestId i = 0; leaving && i < 3; ++i) {
            const std::size_t sent = fixture.sent.size();
            fixture.query(10 + 10 * i, 2);
            fixture.pass(100 * kMs);
            fixture.end(sent);
            fixture.pass(400 * kMs);
            fixture.give(QueryGone{10 + 10 * i});
            for (std::size_t k = sent + 1; k < fixture.sent.size(); ++k) fixture.end(k, Outcome::cancelled);
        }
        const std::size_t first = fixture.sent.size();
        fixture.query(100, 2);
        ASSERT_GT(fixture.sent.size(), first);
        fixture.end(first);
        fixture.pass(480 * kMs);
        EXPECT_EQ(fixture.finals(100), leaving ? 1 : 0);
    }
}

// Legal but odd events, small and at size: one final answer each at most, and none left; nothing to servers
// that are not listed as up; no more attempts than allowed.
TEST(Odd, RulesHoldAfterEachStepOfRandomEvents) {
    for (const int size : {3, 110})
        for (std::uint32_t seed = 1; seed <= 4; ++seed) {
            std::mt19937 random(seed);
            const auto pick = [&](std::uint32_t n) { return static_cast<int>(random() % n); };
            Settings s = ring(size, size == 3 ? 2 : 80);
            s.openCap = 150;
            s.classes[0].leastShare = 0.4;
            s.classes[0].secondStep = 2;
            CoordinatorFixture fixture(s, names(size), seed);
            placeRing(fixture, size);
            std::map<std::string, bool> up;
            for (const std::string& id : names(size)) up[id] = true;
            RequestId id = 1;
            std::vector<RequestId> queries;
            for (int step = 0; step < 400; ++step) {
                const std::size_t from = fixture.sent.size();
                const int what = pick(10);
                const std::string server = "s" + std::to_string(pick(static_cast<std::uint32_t>(size) + 1));
                if (what < 2) {
                    queries.push_back(id);
                    fixture.query(id, 1 + pick(100), pick(20) ? "get" : "none", pick(10) ? 3 * kS : -kS);
                    id += 200;
                } else if (what < 3) {
                    ServerEntry e = CoordinatorFixture::up(server, pick(2) ? fixture.now : 0,
                                                           static_cast<ServerState>(pick(3)));
                    e.cell = pick(static_cast<std::uint32_t>(size));
                    up[server] = e.state == ServerState::up;
                    fixture.change(e);
                } else if (what < 4) {
                    if (!queries.empty())
                        fixture.give(QueryGone{queries[static_cast<std::size_t>(
                            pick(static_cast<std::uint32_t>(queries.size())))]});
                } else if (what < 5) {
                    fixture.give(ProbeEnded{server, static_cast<Outcome>(pick(8)), kMs, {}});
                } else if (what < 8 && !fixture.sent.empty()) {
                    for (int k = 0; k < 30; ++k) {  // also twice for one attempt
                        const auto i =
                            static_cast<std::size_t>(pick(static_cast<std::uint32_t>(fixture.sent.size())));
                        fixture.end(i, pick(2) ? Outcome::served : static_cast<Outcome>(pick(8)));
                    }
                } else {
                    fixture.pass(pick(400) * kMs);
                }
                for (std::size_t i = from; i < fixture.sent.size(); ++i) {
                    EXPECT_TRUE(up[fixture.sent[i].server]);
                    EXPECT_LT(fixture.sent[i].attempt, s.maxAttempts);
                }
            }
            fixture.pass(4 * kS);
            const std::size_t quiet = fixture.sent.size();
            fixture.pass(4 * kS);
            EXPECT_EQ(fixture.sent.size(), quiet);
            for (const RequestId q : queries) {
                int last = 0;
                for (const Refuse& r : fixture.all<Refuse>()) last += r.id == q;
                for (const Fail& f : fixture.all<Fail>()) last += f.id == q;
                EXPECT_LE(last, 1) << q;
            }
        }
}

}  // namespace beechpoint::coordinator::test
