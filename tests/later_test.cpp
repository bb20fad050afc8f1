// At both ends of the scale, and under the troubles of the grown deployments.
#include <gtest/gtest.h>

#include <random>

#include "bed.hpp"

namespace firkeel::test {
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
void placeRing(Bed& bed, int servers) {
    ServerList list;
    for (int i = 0; i < servers; ++i) {
        ServerEntry e = Bed::up("s" + std::to_string(i));
        e.cell = i;
        list.entries.push_back(e);
    }
    bed.give(list);
}
QueryArrived keyed(RequestId id, int parts, const std::string& key, Nanos now) {
    QueryArrived q;
    q.id = id, q.number = id, q.klass = "get", q.key = key, q.parts = parts, q.expires = now + 3 * kS;
    return q;
}

}  // namespace

TEST(Size, HundredPartsOnACalmFleetAreAdmittedAndSpread) {
    for (const int coordinators : {2, 80}) {
        Bed bed(ring(100, coordinators), names(100));
        placeRing(bed, 100);
        bed.query(1, 100);
        EXPECT_EQ(bed.finals(1), 0);
        ASSERT_EQ(bed.sent.size(), 100u) << coordinators;
        std::map<std::string, int> at;
        for (const Sent& s : bed.sent) EXPECT_LE(++at[s.server], 4) << coordinators;
    }
}

TEST(Size, OneBadOutcomeDoesNotMakeAQuietCoordinatorRefuse) {
    Bed bed(ring(8, 80), names(8));
    placeRing(bed, 8);
    bed.query(1);
    bed.end(0, Outcome::error);
    bed.pass(10 * kS);
    bed.query(10, 8);
    EXPECT_EQ(bed.finals(10), 0);
}

// What 40 coordinators send a cold server together stays inside the stated budget.
TEST(Size, ColdServersBudgetHoldsOverAllCoordinators) {
    constexpr int kUnits = 40;
    Settings s = ring(3, kUnits);
    s.coldFrom = 0.15;
    s.coldTime = 18 * kS;
    s.overloadTime = 3 * kS;
    std::vector<Bed> beds;
    for (int i = 0; i < kUnits; ++i) beds.emplace_back(s, names(3), static_cast<std::uint64_t>(i + 1));
    for (Bed& bed : beds) placeRing(bed, 3);
    int cold = 0, warm = 0;
    for (int round = 0; round < 8; ++round) {
        for (std::size_t b = 0; b < beds.size(); ++b) {
            Bed& bed = beds[b];
            bed.until((2 + round) * kS + static_cast<Nanos>(b) * 20 * kMs);
            if (round == 5) bed.change(Bed::up("s0", bed.now));
            const std::size_t from = bed.sent.size();
            bed.query(static_cast<RequestId>(10 + 10 * round), 3);
            bed.pass(100 * kMs);
            for (std::size_t i = from; i < bed.sent.size(); ++i) {
                if (round >= 5) ++(bed.sent[i].server == "s0" ? cold : warm);
                const bool full = round >= 5 && bed.sent[i].server != "s0";  // so that all want the cold one
                bed.end(i, full ? Outcome::turnedAway : Outcome::served);
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
        Bed bed(s);
        bed.warm(20, [](const std::string&) { return 280 * kMs; });
        bed.query(10, 1, "get", 3 * kS, {}, "x");
        EXPECT_EQ(bed.finals(10), 0) << coordinators;
    }
}

TEST(Tenants, WhoIsSurelyOverItsShareIsRefusedFirst) {
    Settings s = basic();
    s.tenants = {{"x", 0.1, 1}, {"y", 0.9, 9}};
    s.overShareWorth = 0.1;
    Bed bed(s);
    bed.warm(20, [](const std::string&) { return 280 * kMs; });
    for (int i = 0; i < 40; ++i) bed.query(static_cast<RequestId>(10 + 2 * i), 1, "get", 3 * kS, {}, "x");
    EXPECT_EQ(bed.finals(88), 1);
}

TEST(Blame, QueryUnderWhichTwoServersDieIsFailedAndComesBackCarefully) {
    Bed bed(ring(12, 2), names(12));
    placeRing(bed, 12);
    bed.give(keyed(1, 4, "k", bed.now));
    bed.parts(1, 2, 4);
    ASSERT_EQ(bed.sent.size(), 4u);
    bed.end(0, Outcome::connectionLost);
    EXPECT_EQ(bed.sent.size(), 4u);  // not carried to the next replica
    bed.end(1, Outcome::connectionLost);
    EXPECT_EQ(bed.all<Fail>().size(), 1u);
    bed.pass(kS);
    EXPECT_EQ(bed.sent.size(), 4u);
    for (const std::size_t i : {0, 1}) bed.give(ProbeEnded{bed.sent[i].server, Outcome::served, kMs, {}});
    for (const std::size_t i : {2, 3}) bed.end(i, Outcome::cancelled);
    bed.pass(10 * kS - 1100 * kMs);
    bed.give(keyed(101, 4, "k", bed.now));
    bed.parts(101, 102, 4);
    ASSERT_EQ(bed.sent.size(), 5u);  // one part first
    bed.end(4);
    EXPECT_EQ(bed.sent.size(), 8u);  // it does no harm: the rest follows
}

// One server that dies breaks all its connections: that is one loss, however many parts were out there.
TEST(Blame, PartsThatBreakWithOneServerAreOneLoss) {
    Bed b(basic(), {"a"});
    b.query(1, 3);
    ASSERT_EQ(b.sent.size(), 3u);
    b.change(Bed::up("b"));
    for (std::size_t i = 0; i < 3; ++i) b.end(i, Outcome::connectionLost);
    EXPECT_EQ(b.finals(1), 0);
    for (std::size_t i = 3; i < b.sent.size(); ++i) {
        EXPECT_EQ(b.sent[i].server, "b");
        b.end(i);
    }
    EXPECT_EQ(b.all<Answer>().size(), 1u);
}

TEST(Blame, PartServedClearsTheQueryAndLossesFailOver) {
    Bed bed(ring(12, 2), names(12));
    placeRing(bed, 12);
    bed.query(1, 4);
    bed.end(0);
    bed.end(1, Outcome::connectionLost);
    EXPECT_EQ(bed.sent.size(), 5u);
    EXPECT_EQ(bed.finals(1), 0);
}

TEST(Down, NothingIsSentUntilAProbePassesAndThenAsToAColdServer) {
    Settings s = basic();
    s.probing = true;
    s.dialTimeout = 250 * kMs;
    Bed bed(s, {"a", "b"});
    const auto probes = [&](const std::string& id) {
        int n = 0;
        for (const Probe& p : bed.all<Probe>()) n += p.server == id;
        return n;
    };
    RequestId id = 1;
    for (int i = 0; i < 50 && (bed.sent.empty() || bed.sent.back().server != "a"); ++i) bed.query(id += 10);
    ASSERT_EQ(bed.sent.back().server, "a");
    bed.end(bed.sent.size() - 1, Outcome::noConnection);
    const std::size_t from = bed.sent.size();
    for (int i = 0; i < 10; ++i) {
        bed.query(id += 10);
        bed.pass(20 * kMs);
        for (std::size_t k = 0; k < bed.sent.size(); ++k)
            if (!bed.sent[k].ended) bed.end(k);
    }
    EXPECT_EQ(probes("a"), 1);
    for (std::size_t k = from; k < bed.sent.size(); ++k) EXPECT_EQ(bed.sent[k].server, "b");
    bed.give(ProbeEnded{"a", Outcome::served, kMs, {}});
    const std::size_t back = bed.sent.size();
    for (int i = 0; i < 30; ++i) bed.query(id += 10);
    int toA = 0;
    for (std::size_t k = back; k < bed.sent.size(); ++k) toA += bed.sent[k].server == "a";
    EXPECT_LE(toA, 4);  // cold, whatever the list says
}

TEST(Silence, OfOneClassIsSeenThoughTheServerServesTheOther) {
    Settings s = basic();
    s.classes.push_back(s.classes[0]);
    s.classes[1].name = "put";
    s.parallelTries = false;  // no copies, so that E2 alone decides
    Bed bed(s, {"a", "b"});
    bed.warm(40, [](const std::string&) { return 50 * kMs; });
    RequestId id = 10;
    std::size_t silent = 0;
    do {
        bed.query(id += 10, 1, "put");
        silent = bed.sent.size() - 1;
        if (bed.sent[silent].server != "a") bed.end(silent);
    } while (bed.sent[silent].server != "a" && id < 1000);
    bed.pass(200 * kMs);
    int toA = 0, put = 0;
    for (int i = 0; i < 20; ++i) {
        std::size_t k = bed.sent.size();
        bed.query(id += 10);  // the other class is served at both
        bed.pass(kMs);
        for (; k < bed.sent.size(); ++k)
            if (!bed.sent[k].ended) bed.end(k);
        k = bed.sent.size();
        bed.query(id += 10, 1, "put");
        for (; k < bed.sent.size(); ++k) {
            if (bed.sent[k].ended) continue;
            ++put;
            toA += bed.sent[k].server == "a";
            bed.end(k);
            if (bed.sent[k].server == "a") return;  // its silence is over
        }
    }
    EXPECT_GT(put, 15);
    EXPECT_EQ(toA, 0);
}

TEST(Patience, PartialAnswersGoBeforeOthersWouldLeave) {
    Settings s = basic();
    s.classes[0].leastShare = 0.4;
    for (const bool leaving : {false, true}) {
        Bed bed(s);
        for (RequestId i = 0; leaving && i < 3; ++i) {
            const std::size_t sent = bed.sent.size();
            bed.query(10 + 10 * i, 2);
            bed.pass(100 * kMs);
            bed.end(sent);
            bed.pass(400 * kMs);
            bed.give(QueryGone{10 + 10 * i});
            for (std::size_t k = sent + 1; k < bed.sent.size(); ++k) bed.end(k, Outcome::cancelled);
        }
        const std::size_t first = bed.sent.size();
        bed.query(100, 2);
        ASSERT_GT(bed.sent.size(), first);
        bed.end(first);
        bed.pass(480 * kMs);
        EXPECT_EQ(bed.finals(100), leaving ? 1 : 0);
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
            Bed bed(s, names(size), seed);
            placeRing(bed, size);
            std::map<std::string, bool> up;
            for (const std::string& id : names(size)) up[id] = true;
            RequestId id = 1;
            std::vector<RequestId> queries;
            for (int step = 0; step < 400; ++step) {
                const std::size_t from = bed.sent.size();
                const int what = pick(10);
                const std::string server = "s" + std::to_string(pick(static_cast<std::uint32_t>(size) + 1));
                if (what < 2) {
                    queries.push_back(id);
                    bed.query(id, 1 + pick(100), pick(20) ? "get" : "none", pick(10) ? 3 * kS : -kS);
                    id += 200;
                } else if (what < 3) {
                    ServerEntry e = Bed::up(server, pick(2) ? bed.now : 0, static_cast<ServerState>(pick(3)));
                    e.cell = pick(static_cast<std::uint32_t>(size));
                    up[server] = e.state == ServerState::up;
                    bed.change(e);
                } else if (what < 4) {
                    if (!queries.empty())
                        bed.give(QueryGone{queries[static_cast<std::size_t>(
                            pick(static_cast<std::uint32_t>(queries.size())))]});
                } else if (what < 5) {
                    bed.give(ProbeEnded{server, static_cast<Outcome>(pick(8)), kMs, {}});
                } else if (what < 8 && !bed.sent.empty()) {
                    for (int k = 0; k < 30; ++k) {  // also twice for one attempt
                        const auto i =
                            static_cast<std::size_t>(pick(static_cast<std::uint32_t>(bed.sent.size())));
                        bed.end(i, pick(2) ? Outcome::served : static_cast<Outcome>(pick(8)));
                    }
                } else {
                    bed.pass(pick(400) * kMs);
                }
                for (std::size_t i = from; i < bed.sent.size(); ++i) {
                    EXPECT_TRUE(up[bed.sent[i].server]);
                    EXPECT_LT(bed.sent[i].attempt, s.maxAttempts);
                }
            }
            bed.pass(4 * kS);
            const std::size_t quiet = bed.sent.size();
            bed.pass(4 * kS);
            EXPECT_EQ(bed.sent.size(), quiet);
            for (const RequestId q : queries) {
                int last = 0;
                for (const Refuse& r : bed.all<Refuse>()) last += r.id == q;
                for (const Fail& f : bed.all<Fail>()) last += f.id == q;
                EXPECT_LE(last, 1) << q;
            }
        }
}

}  // namespace firkeel::test
