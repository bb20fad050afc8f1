// Who is there: many of them in virtual time, with a network that loses, cuts one way and both, and members that stand still.
#include "gossip/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <queue>
#include <random>
#include <set>

namespace beechpoint::gossip {
namespace {

class Town {
public:
    Town(int size, std::uint64_t seed, MembershipOptions options = {}) : random_(seed), options_(options) {
        for (int i = 0; i < size; ++i) names_.push_back(name(i));
        here_.resize(static_cast<std::size_t>(size));
        stopped_.resize(static_cast<std::size_t>(size));
        epoch_.resize(static_cast<std::size_t>(size));
        sent_.resize(static_cast<std::size_t>(size));
    }
    static std::string name(int i) { return "g" + std::to_string(i); }
    Membership& at(int i) { return *here_[static_cast<std::size_t>(i)]; }
    void start(int i) {
        here_[static_cast<std::size_t>(i)] =
            std::make_unique<Membership>(options_, name(i), names_, random_(), now_);
        schedule(i);
    }
    void kill(int i) { here_[static_cast<std::size_t>(i)].reset(); }
    void stop(int i) { stopped_[static_cast<std::size_t>(i)] = true; }
    void proceed(int i) {  // what came meanwhile waits in the socket; the timer fires late
        stopped_[static_cast<std::size_t>(i)] = false;
        step(i, [](Membership& m, Millis t, std::vector<Message>& out) { m.advance(t, out); });
        for (auto& m : std::exchange(waiting_[i], {}))
            step(i, [&](Membership& s, Millis t, std::vector<Message>& out) { s.receive(t, m, out); });
    }
    void leave(int i) {
        step(i, [](Membership& m, Millis t, std::vector<Message>& out) { m.leave(t, out); });
        kill(i);
    }
    void cut(int from, int to) { cuts_.insert({from, to}); }
    void heal() { cuts_.clear(), loss = 0; }
    void until(Millis t) {
        while (!events_.empty() && events_.top().at <= t) {
            const Event e = events_.top();
            events_.pop();
            now_ = std::max(now_, e.at);
            const auto i = static_cast<std::size_t>(e.member);
            if (!here_[i]) continue;
            if (!e.message) {
                if (e.epoch == epoch_[i] && !stopped_[i])
                    step(e.member,
                         [](Membership& m, Millis at, std::vector<Message>& out) { m.advance(at, out); });
            } else if (stopped_[i]) {
                if (waiting_[e.member].size() < 200) waiting_[e.member].push_back(*e.message);
            } else {
                step(e.member, [&](Membership& m, Millis at, std::vector<Message>& out) {
                    m.receive(at, *e.message, out);
                });
            }
        }
        now_ = t;
    }
    Millis now() const { return now_; }
    // How many of the living see it so.
    int see(int whom, Presence p) {
        int n = 0;
        for (std::size_t i = 0; i < here_.size(); ++i)
            n += here_[i] && static_cast<int>(i) != whom && here_[i]->presenceOf(name(whom)) == p ? 1 : 0;
        return n;
    }
    bool allAlive() {
        for (std::size_t i = 0; i < here_.size(); ++i)
            if (here_[i] && here_[i]->count(Presence::alive) + 1 != here_.size()) return false;
        return true;
    }
    std::uint64_t mostSent() const { return *std::max_element(sent_.begin(), sent_.end()); }
    void forgetSent() { std::fill(sent_.begin(), sent_.end(), 0); }
    double loss = 0;

private:
    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;
        int member = 0;
        std::uint64_t epoch = 0;
        std::shared_ptr<Message> message;
        bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    template <class F>
    void step(int i, F&& call) {
        std::vector<Message> out;
        call(at(i), now_, out);
        at(i).takeChanges();
        for (Message& m : out) {
            ++sent_[static_cast<std::size_t>(i)];
            const int to = std::stoi(m.to.substr(1));
            if (cuts_.contains({i, to}) || unit() < loss) continue;
            events_.push(
                {now_ + 1.6 + 25 * unit(), ++order_, to, 0, std::make_shared<Message>(std::move(m))});
        }
        schedule(i);
    }
    void schedule(int i) {
        const auto n = static_cast<std::size_t>(i);
        events_.push({std::max(now_ + 0.05, here_[n]->nextDeadline()), ++order_, i, ++epoch_[n], nullptr});
    }
    std::mt19937_64 random_;
    MembershipOptions options_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<Membership>> here_;
    std::vector<bool> stopped_;
    std::vector<std::uint64_t> epoch_, sent_;
    std::map<int, std::vector<Message>> waiting_;
    std::set<std::pair<int, int>> cuts_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    Millis now_ = 0;
};
struct Settled : Town {
    explicit Settled(int size, std::uint64_t seed = 1, MembershipOptions options = {})
        : Town(size, seed, options) {
        for (int i = 0; i < size; ++i) start(i);
        until(20'000);
        EXPECT_TRUE(allAlive());
    }
};

TEST(Membership, StoppedMemberIsSuspectedThenDeadAtAllMembers) {
    Settled town(7);
    town.kill(3);
    const Millis killed = town.now();
    while (town.see(3, Presence::suspect) == 0) town.until(town.now() + 50);
    EXPECT_LT(town.now() - killed, 8000);
    town.until(town.now() + 4500);
    EXPECT_EQ(town.see(3, Presence::dead), 0);  // not before its time to answer is over
    town.until(town.now() + 30'000);
    EXPECT_EQ(town.see(3, Presence::dead), 6);
    town.start(3);  // with nothing: its first incarnation is below what is said of it
    town.until(town.now() + 15'000);
    EXPECT_TRUE(town.allAlive());
    EXPECT_GT(town.at(3).incarnation(), 1u);
}
TEST(Membership, MemberThatLeavesInOrderIsNotSuspected) {
    Settled town(7);
    town.leave(2);
    town.until(town.now() + 12'000);
    EXPECT_EQ(town.see(2, Presence::left), 6);
}
// Two that can't hear each other, but are heard by all others: asked by way of these, neither is suspected.
TEST(Membership, PartitionBetweenTwoMembersMakesNobodyDead) {
    Settled town(7);
    town.cut(1, 2), town.cut(2, 1);
    for (int s = 0; s < 60; ++s) {
        town.until(town.now() + 1000);
        ASSERT_EQ(town.see(1, Presence::dead) + town.see(2, Presence::dead), 0) << s;
    }
}
// It is heard but hears nothing: it doubts itself, and the others, who hear its suspicions, refute them.
TEST(Membership, MemberThatReceivesNothingMakesNobodyDead) {
    for (const bool doubts : {true, false}) {
        MembershipOptions options;
        options.localHealthAware = doubts;
        Settled town(7, 1, options);
        for (int i = 0; i < 7; ++i) town.cut(i, 4);
        int most = 0;
        for (int s = 0; s < 80; ++s) {
            town.until(town.now() + 500);
            for (int i = 0; i < 7; ++i)
                if (i != 4)
                    most = std::max(most, town.at(4).presenceOf(Town::name(i)) == Presence::dead ? 1 : 0);
        }
        // Without doubt in itself it declares others dead within that time.
        EXPECT_EQ(most > 0, !doubts) << most;
        town.heal();
        town.until(town.now() + 60'000);
        EXPECT_TRUE(town.allAlive());
    }
}
// It stood still for ten seconds and believes that nothing happened: nobody else is dead for that.
TEST(Membership, MemberThatWasPausedSuspectsNobody) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Settled town(7, seed);
        town.stop(5);
        town.until(town.now() + 10'000);
        town.proceed(5);
        for (int s = 0; s < 20; ++s) {
            town.until(town.now() + 500);
            for (int i = 0; i < 7; ++i)
                if (i != 5) {
                    ASSERT_NE(town.at(5).presenceOf(Town::name(i)), Presence::dead) << seed << " " << i;
                }
        }
        town.until(town.now() + 30'000);
        EXPECT_TRUE(town.allAlive()) << seed;
    }
}
TEST(Membership, RecoversAfterAPartitionInTwoHalves) {
    Settled town(9);
    for (int a = 0; a < 4; ++a)
        for (int b = 4; b < 9; ++b) town.cut(a, b), town.cut(b, a);
    town.until(town.now() + 60'000);
    EXPECT_EQ(town.see(0, Presence::dead), 5);
    town.heal();
    town.until(town.now() + 60'000);
    EXPECT_TRUE(town.allAlive());
}
TEST(Membership, LossOfThreeDatagramsInTenMakesNobodyDead) {
    Settled town(12);
    town.loss = 0.3;
    for (int s = 0; s < 60; ++s) {
        town.until(town.now() + 1000);
        for (int i = 0; i < 12; ++i) ASSERT_EQ(town.see(i, Presence::dead), 0) << s;
    }
}
// What one sends is bounded by a constant: at 300, with 50 that come in at once, and a third killed at one moment.
TEST(Membership, DatagramRatePerMemberIsBoundedForAnyGroupSize) {
    Town town(300, 3);
    for (int i = 0; i < 250; ++i) town.start(i);
    town.until(30'000);
    town.forgetSent();
    for (int i = 250; i < 300; ++i) town.start(i);
    town.until(50'000);
    // Each of the newcomers is known to nearly all by then.
    std::size_t known = 0;
    for (int i = 250; i < 300; ++i) known += static_cast<std::size_t>(town.see(i, Presence::alive));
    EXPECT_GE(known, 50u * 299 * 95 / 100) << known;
    EXPECT_LE(town.mostSent(), 20u * 8);
    town.until(90'000);
    town.forgetSent();
    for (int i = 0; i < 100; ++i) town.kill(i);
    town.until(120'000);
    EXPECT_LE(town.mostSent(), 30u * 12);
    EXPECT_GE(town.see(50, Presence::dead) + town.see(50, Presence::suspect), 190);
}

// Words about one member in any order, any number of times: what is believed in the end is the same.
RC_GTEST_PROP(MembershipProperties, RumoursConvergeInAnyOrder, ()) {
    const auto words = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 5)));
    auto other = words;
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::shuffle(other.begin(), other.end(), std::mt19937(seed));
    if (!other.empty()) other.push_back(other.front());
    const auto believed = [](const std::vector<std::pair<int, int>>& told) {
        Membership m({}, "a", {"a", "b", "c"}, 1, 0);
        std::vector<Message> out;
        for (const auto& [presence, incarnation] : told)
            m.receive(
                1,
                {"b", "a",
                 Ping{1,
                      {{"c", static_cast<Presence>(presence), static_cast<std::uint64_t>(incarnation), 0}}}},
                out);
        return m.presenceOf("c");
    };
    RC_ASSERT(believed(words) == believed(other));
}
// Whatever is said of a member itself, it is alive in its own eyes and above every word against it.
RC_GTEST_PROP(MembershipProperties, MemberRefutesEveryRumourThatItIsNotAlive, ()) {
    Membership m({}, "a", {"a", "b"}, 1, 0);
    std::vector<Message> out;
    const auto words = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 1000)));
    for (const auto& [presence, incarnation] : words) {
        const bool against = static_cast<Presence>(presence) != Presence::alive;
        m.receive(
            1,
            {"b", "a",
             Ping{1, {{"a", static_cast<Presence>(presence), static_cast<std::uint64_t>(incarnation), 0}}}},
            out);
        if (against) {
            RC_ASSERT(m.incarnation() > static_cast<std::uint64_t>(incarnation));
        }
    }
    RC_ASSERT(m.presenceOf("a") == Presence::alive);
}

}  // namespace
}  // namespace beechpoint::gossip
