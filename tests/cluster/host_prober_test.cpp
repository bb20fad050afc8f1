// Looks at a dead host, one holder's in place of everybody's: how many there are, and what a holder that is gone or lies costs.
#include "health_check/host_prober.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>

namespace beechpoint::health_check {
namespace {

// Members that all avoid one host and want a look at it every half second, each at times of its own.
struct Fleet {
    explicit Fleet(int size, bool withDuty = true)
        : withDuty(withDuty), looks(static_cast<std::size_t>(size)) {
        for (int i = 0; i < size; ++i) {
            members.push_back(std::make_unique<HostProber>(HostProberOptions{}, name(i)));
            due.push_back({500 * unit(), i, nullptr});
        }
        std::make_heap(due.begin(), due.end(), later);
    }
    static std::string name(int i) { return "g" + std::to_string(i); }
    struct Event {
        Millis at;
        int member;
        std::shared_ptr<Message> message;
    };
    static bool later(const Event& a, const Event& b) { return a.at > b.at; }
    double unit() { return std::uniform_real_distribution<double>(0, 1)(random); }
    void push(Event e) {
        due.push_back(std::move(e));
        std::push_heap(due.begin(), due.end(), later);
    }
    void send(std::vector<Message>& out) {
        for (Message& m : out) {
            ++datagrams;
            if (unit() < loss) continue;
            const int to = std::stoi(m.to.substr(1));
            if (!gone || (to != holder && std::stoi(m.from.substr(1)) != holder))
                push({now + 1.6 + 25 * unit(), to, std::make_shared<Message>(std::move(m))});
        }
        out.clear();
    }
    void until(Millis t) {
        while (due.front().at <= t) {
            std::pop_heap(due.begin(), due.end(), later);
            const Event e = due.back();
            due.pop_back();
            now = e.at;
            HostProber& l = *members[static_cast<std::size_t>(e.member)];
            std::vector<Message> out;
            if (e.message) {
                Message m = *e.message;
                if (liar)
                    if (auto* w = std::get_if<HealthReport>(&m.body)) w->reachable = false, w->ageMs = 0;
                l.receive(now, m, e.member == holder, out);
            } else {
                push({now + 500 + 20 * unit(), e.member, nullptr});
                if (!(gone && e.member == holder)) {
                    if (l.probeWanted(now, "host", withDuty ? name(holder) : "", out) == Advice::probe) {
                        ++looks[static_cast<std::size_t>(e.member)];
                        l.recordProbe(now, "host", there);
                        if (there && foundAt[e.member] == 0) foundAt[e.member] = now;
                    }
                }
            }
            send(out);
        }
        now = t;
    }
    double looksPerS(Millis over) {
        std::uint64_t sum = 0;
        for (auto& n : looks) sum += std::exchange(n, 0);
        return static_cast<double>(sum) / (over / 1000);
    }
    bool withDuty, gone = false, liar = false, there = false;
    double loss = 0;
    int holder = 0;
    Millis now = 0;
    std::mt19937_64 random{5};
    std::vector<std::unique_ptr<HostProber>> members;
    std::vector<std::uint64_t> looks;
    std::vector<Event> due;
    std::map<int, Millis> foundAt;
    std::uint64_t datagrams = 0;
};

TEST(HostProber, ProbesOfADeadHostFallToATenthWhenOneMemberHoldsTheRole) {
    for (const int size : {50, 300}) {
        Fleet each(size, false), one(size);
        for (Fleet* f : {&each, &one}) f->until(10'000), f->looksPerS(1), f->datagrams = 0, f->until(40'000);
        const double before = each.looksPerS(30'000), after = one.looksPerS(30'000);
        RecordProperty("before" + std::to_string(size), std::to_string(before));
        RecordProperty("after" + std::to_string(size), std::to_string(after));
        EXPECT_GT(before, 1.9 * size);
        EXPECT_LT(after, before / 8);
        EXPECT_EQ(each.datagrams, 0u);
        EXPECT_LT(static_cast<double>(one.datagrams) / 30 / size,
                  2.5);  // a second and member, words and askings
    }
}
// Killed, stopped or cut off: its last word ends, and all look themselves as without it.
TEST(HostProber, ProbesItselfOnceTheReportOfAStoppedLeaseHolderExpires) {
    Fleet fleet(50);
    fleet.until(10'000);
    fleet.gone = true;
    fleet.until(12'100);
    fleet.looksPerS(1);
    fleet.until(22'100);
    EXPECT_GT(fleet.looksPerS(10'000), 1.85 * 49);
}
// The host is back and the holder goes on saying that it is away: each sees it by its own look within `own`.
TEST(HostProber, FalseReportDelaysOwnProbeByAtMostItsInterval) {
    for (const bool liar : {false, true}) {
        Fleet fleet(50);
        fleet.until(10'000);
        fleet.liar = liar;
        fleet.there = true;
        fleet.until(30'000);
        ASSERT_EQ(fleet.foundAt.size(), 50u);
        for (const auto& [member, at] : fleet.foundAt) EXPECT_LE(at, 10'000 + 5'600) << member;
    }
}
TEST(HostProber, MessageLossCausesMoreOwnProbesAndNoWrongResult) {
    Fleet fleet(50);
    fleet.loss = 0.3;
    fleet.until(10'000);
    fleet.looksPerS(1);
    fleet.until(40'000);
    EXPECT_LT(fleet.looksPerS(30'000), 2.0 * 50 / 2);
}
TEST(HostProber, AcceptsReportsOnlyWhenQueriedAndCountsTheirAge) {
    HostProber l({}, "a");
    std::vector<Message> out;
    EXPECT_EQ(l.probeWanted(0, "h", "b", out), Advice::probe);
    l.recordProbe(0, "h", false);
    const auto number = std::get<HealthQuery>(out.at(0).body).number;
    const auto says = [&](const char* from, std::uint64_t n, std::uint32_t age) {
        l.receive(10, {from, "a", HealthReport{"h", n, false, age}}, false, out);
        return l.probeWanted(20, "h", "b", out);
    };
    EXPECT_EQ(says("c", number, 0), Advice::probe);      // not whom it asked
    EXPECT_EQ(says("b", number + 7, 0), Advice::probe);  // not what it asked
    EXPECT_EQ(says("b", number, 2500), Advice::probe);   // too old
    EXPECT_EQ(says("b", number, 0), Advice::probe);      // said once
    out.clear();
    EXPECT_EQ(l.probeWanted(500, "h", "b", out), Advice::probe);
    l.recordProbe(500, "h", false);
    l.receive(510, {"b", "a", HealthReport{"h", std::get<HealthQuery>(out.at(0).body).number, false, 100}},
              false, out);
    EXPECT_EQ(l.probeWanted(600, "h", "b", out), Advice::treatAsUnreachable);
    EXPECT_EQ(l.probeWanted(600, "h", "", out), Advice::probe);   // nobody has the duty
    EXPECT_EQ(l.probeWanted(600, "h", "a", out), Advice::probe);  // it has it itself
    EXPECT_EQ(l.probeWanted(2401, "h", "b", out), Advice::probe);
    EXPECT_EQ(l.avoidedProbes(), 1u);
}
TEST(HostProber, EvictsTheLeastRecentlyWantedHostAtTheLimit) {
    HostProber l({}, "a");
    std::vector<Message> out;
    for (int i = 0; i < 2000; ++i) l.probeWanted(i, "h" + std::to_string(i), "b", out);
    EXPECT_EQ(l.hosts(), kMaxHosts);
    EXPECT_EQ(l.evicted(), 2000 - kMaxHosts);
    EXPECT_EQ(l.probeWanted(9000, std::string(65, 'x'), "b", out), Advice::probe);
    EXPECT_EQ(l.hosts(), kMaxHosts);
}

}  // namespace
}  // namespace beechpoint::health_check
