// Legal but odd sequences of events, from fixed seeds, against the rules as one coordinator can break them:
// several events in one batch, sweeps beside outcomes and lists, stalled servers, short time, late or double
// outcomes, ids no longer held. A batch's events share its time; a second step opens with the next batch.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "coordinator_fixture.hpp"

using namespace beechpoint::coordinator;
using namespace beechpoint::coordinator::test;

namespace {

struct Shape {
    const char* name;
    Nanos tick, slack;
    int servers, parts;
    Nanos patience;  // longest time a client gives
    Effect effect;
    bool budget;
};

class Contract {
public:
    Contract(const Shape& shape, std::uint64_t seed)
        : shape_(shape), random_(seed), unit_(make(), seed, now_) {
        for (int i = 0; i < shape_.servers; ++i) state_["s" + std::to_string(i)] = ServerState::up;
        give(list(ListKind::remembered));
    }
    void run(int batches) {
        for (int i = 0; i < batches && !testing::Test::HasFailure(); ++i) batch(i < batches / 2);
        // Whatever is still held ends by itself.
        for (int i = 0; i < 4 * kS / shape_.tick && !testing::Test::HasFailure(); ++i) {
            now_ += shape_.tick;
            events_ = opened();
            wake();
            deliver();
        }
        for (const auto& [id, q] : queries_) EXPECT_TRUE(q.over) << "query " << id << " has no final answer";
    }
    int answers = 0, ends = 0;

private:
    struct Try {
        std::string server;
        Nanos at, until;
        bool out = true, mayHaveRun = true;
    };
    struct PartState {
        RequestId query;
        int shard;
        double weight;
        int step;
        bool in = false;
        std::vector<Try> tries;
    };
    struct QueryState {
        std::size_t klass;
        std::int64_t number;
        Nanos expires;
        int step = 1;
        bool open = true, over = false, whole = false;  // open: the parts of its step are known
        std::vector<RequestId> parts;
    };

    Settings make() const {
        Settings s = basic();
        s.tick = shape_.tick, s.answerSlack = shape_.slack;
        s.classes[0].aim = 2 * shape_.patience / 3, s.classes[0].deadline = 2 * shape_.patience;
        s.shards = 6, s.cells = 3, s.span = 2;
        s.probing = true;
        s.classes[0].effect = shape_.effect;
        s.classes[0].repeatWindow = 200 * kMs;
        s.classes.push_back(s.classes[0]);
        s.classes[1].name = "search";
        s.classes[1].leastShare = 0.4;
        s.classes[1].secondStep = 3;
        s.classes.push_back(s.classes[0]);
        s.classes[2].name = "report";
        s.classes[2].completeFrom = 0.7;
        s.classes[2].leastShare = 0.7;
        s.classes[2].secondStep = 1;
        s.hasResendBudget = shape_.budget;
        s.freeResends = 3, s.resendRatio = 0.05, s.lookBack = 1 * kS;
        return s;
    }
    std::uint64_t below(std::uint64_t n) { return random_() % n; }
    bool chance(std::uint64_t percent) { return below(100) < percent; }
    static int cellOf(const std::string& server) { return std::stoi(server.substr(1)) % 3; }
    ServerList list(ListKind kind) {
        ServerList l{kind, {}};
        for (const auto& [id, state] : state_) {
            ServerEntry e = CoordinatorFixture::up(id, started_[id], state);
            e.cell = cellOf(id);
            l.entries.push_back(e);
        }
        return l;
    }

    void batch(bool busy) {
        now_ += shape_.tick * static_cast<Nanos>(chance(5) ? 2 : 1);
        events_ = opened();
        if (chance(2)) mood_ = static_cast<int>(below(5));  // sound, stalled, failing, mixed, slow
        if (chance(10))
            for (auto& [id, q] : queries_)
                if (!q.over && chance(10)) events_.push_back({QueryGone{id}});
        if (busy && chance(30)) arrive();
        for (auto& [id, p] : parts_)
            for (std::size_t k = 0; k < p.tries.size(); ++k) {
                const Try& t = p.tries[k];
                const bool due = now_ >= t.until;
                if (t.out && (due || (mood_ != 1 && chance(mood_ == 4 ? 1 : 10)))) finish(id, k, due);
            }
        if (chance(3)) {
            auto it = state_.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(below(state_.size())));
            it->second = chance(60) ? ServerState::up : ServerState::draining;
            if (chance(30)) started_[it->first] = now_;
            events_.push_back({list(chance(50) ? ListKind::complete : ListKind::changes)});
        }
        if (chance(1)) events_.push_back({ServerList{ListKind::failed, {}}});
        if (chance(5)) events_.push_back({AttemptEnded{7, 0, "s0", Outcome::served, kMs, false, {}}});
        if (chance(5)) events_.push_back({ProbeEnded{"s1", Outcome::served, kMs, {}}});
        wake();
        for (std::size_t i = events_.size(); i > 1; --i) std::swap(events_[i - 1], events_[below(i)]);
        deliver();
    }
    void arrive() {
        const RequestId id = next_++;
        QueryState q{below(3), static_cast<std::int64_t>(id), 0, 1, true, false, false, {}};
        q.expires = now_ + kMs + static_cast<Nanos>(below(static_cast<std::uint64_t>(shape_.patience)));
        QueryArrived e;
        e.id = id, e.number = q.number, e.expires = q.expires, e.repeat = chance(20);
        e.klass = q.klass == 0 ? "get" : q.klass == 1 ? "search" : "report";
        e.parts = 1 + static_cast<int>(below(static_cast<std::uint64_t>(shape_.parts)));
        e.key = chance(50) ? "k" + std::to_string(below(3)) : "";
        queries_[id] = q;
        std::vector<Event> group{e};
        bring(id, e.parts, group);
        events_.push_back(group);
    }
    void bring(RequestId query, int count, std::vector<Event>& group) {
        QueryState& q = queries_[query];
        for (int i = 0; i < count; ++i) {
            PartArrived p;
            p.id = next_++, p.number = q.number, p.shard = static_cast<int>(below(6)), p.weight = 1.0 / count;
            parts_[p.id] = {query, p.shard, p.weight, q.step, false, {}};
            q.parts.push_back(p.id);
            group.emplace_back(p);
        }
    }
    std::vector<std::vector<Event>> opened() {  // second steps of queries answered in an earlier batch
        std::vector<std::vector<Event>> groups;
        for (auto& [id, q] : queries_) {
            if (q.open || q.over) continue;
            const auto in =
                std::count_if(q.parts.begin(), q.parts.end(), [&](auto p) { return parts_[p].in; });
            q.parts.clear();
            q.open = true, q.step = 2;
            groups.emplace_back();
            bring(id, std::min<int>(q.klass == 1 ? 3 : 1, static_cast<int>(in)), groups.back());
        }
        return groups;
    }
    void finish(RequestId id, std::size_t k, bool due) {
        PartState& p = parts_[id];
        Try& t = p.tries[k];
        constexpr Outcome kBad[] = {Outcome::error, Outcome::turnedAway, Outcome::noConnection,
                                    Outcome::connectionLost};
        Outcome o = mood_ % 4 == 0 || (mood_ == 3 && chance(50)) ? Outcome::served : kBad[below(4)];
        // What was served just before its time-out is told with the next batch, after it.
        if (due && (mood_ == 1 || now_ - t.until >= shape_.tick || chance(50))) o = Outcome::timedOut;
        t.out = false;
        t.mayHaveRun = o != Outcome::turnedAway && o != Outcome::noConnection;
        AttemptEnded e{id, static_cast<int>(k), t.server, o, now_ - t.at, false, {}};
        events_.push_back({e});
        if (chance(3)) events_.push_back({e});  // twice
    }
    void wake() {
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            events_.push_back({TimerDue{timers_.begin()->second}});
            timers_.erase(timers_.begin());
        }
    }
    void deliver() {
        for (const std::vector<Event>& group : events_)
            for (const Event& e : group) give(e);
        for (const auto& [id, q] : queries_)
            EXPECT_TRUE(q.over || now_ <= q.expires + shape_.slack) << "query " << id << " is overdue";
    }
    void give(Event event) {
        if (auto* e = std::get_if<AttemptEnded>(&event)) {
            const auto p = parts_.find(e->id);
            if (p != parts_.end()) {
                const QueryState& q = queries_[p->second.query];
                const bool past = q.over || !q.open || p->second.step != q.step;
                if (e->outcome == Outcome::served && !past) p->second.in = true;
                e->partOver = past || p->second.in;
            }
        } else if (auto* gone = std::get_if<QueryGone>(&event)) {
            queries_[gone->id].over = true;
        } else if (auto* l = std::get_if<ServerList>(&event)) {
            for (const ServerEntry& entry : l->entries) told_[entry.id] = entry.state;
        }
        std::vector<Action> actions;
        unit_.handle(now_, event, actions);
        if (std::holds_alternative<QueryArrived>(event) || std::holds_alternative<PartArrived>(event))
            taken_.push_back(now_);
        for (const Action& a : actions) std::visit([this](const auto& x) { check(x); }, a);
    }

    double weightIn(const QueryState& q) {
        double in = 0;
        for (const RequestId p : q.parts) in += parts_[p].in ? parts_[p].weight : 0;
        return in;
    }
    void check(const Send& s) {
        ASSERT_TRUE(parts_.count(s.id)) << "a send of what is no part";
        PartState& p = parts_[s.id];
        const QueryState& q = queries_[p.query];
        EXPECT_FALSE(q.over || !q.open || p.step != q.step) << "a send for a part that is over";
        EXPECT_EQ(told_.at(s.server), ServerState::up);
        const int j = (cellOf(s.server) - p.shard % 3 + 3) % 3;
        EXPECT_LT(j, 2) << "a send to a server without the shard";
        EXPECT_LT(p.tries.size(), 4u);
        EXPECT_GT(s.within, 0);
        if (!p.tries.empty()) {
            EXPECT_FALSE(p.in);
            again(p);
        }
        p.tries.push_back({s.server, now_, now_ + s.within});
    }
    void again(const PartState& p) {
        for (const Try& t : p.tries) {
            const bool unsafe = shape_.effect == Effect::unsafe, keyed = shape_.effect == Effect::keyed;
            EXPECT_FALSE(unsafe && (t.out || t.mayHaveRun)) << "an effect twice";
            EXPECT_FALSE(keyed && t.out);
        }
        const auto ran = std::find_if(p.tries.begin(), p.tries.end(), [](auto& t) { return t.mayHaveRun; });
        if (shape_.effect == Effect::keyed && ran != p.tries.end()) {
            EXPECT_LE(now_, ran->at + 200 * kMs);
        }
        if (!shape_.budget) return;
        const auto within = [this](auto& times) {
            return std::count_if(times.begin(), times.end(), [this](Nanos t) { return t > now_ - 1 * kS; });
        };
        resent_.push_back(now_);
        EXPECT_LE(static_cast<double>(within(resent_)), 3 + 0.05 * static_cast<double>(within(taken_)));
    }
    void check(const Answer& a) {
        QueryState& q = queries_.at(a.id);
        ASSERT_FALSE(q.over) << "an answer of query " << a.id << " after its end";
        ASSERT_TRUE(q.open) << "an answer of query " << a.id << " before its second step is open";
        const double need = q.klass == 2 ? 0.7 : 1, least = q.klass == 1 ? 0.4 : need, in = weightIn(q);
        EXPECT_GE(in, least - 1e-4);
        EXPECT_TRUE(!a.whole || in >= (q.step == 1 ? need : 1) - 1e-4);
        EXPECT_TRUE(!a.whole || q.step == 1 || q.whole);
        EXPECT_LE(now_, q.expires + shape_.slack) << "query " << a.id << " answered too late";
        ++answers;
        q.whole = a.whole;
        if (q.step == 1 && q.klass > 0)
            q.open = false;
        else
            q.over = true;
    }
    void check(const Refuse& r) {
        finalOf(r.id);
        if (shape_.effect != Effect::unsafe) return;
        for (const auto& [id, p] : parts_)
            for (const Try& t : p.tries)
                EXPECT_FALSE(p.query == r.id && (t.out || t.mayHaveRun)) << "refused what may have run";
    }
    void check(const Fail& f) { finalOf(f.id); }
    void finalOf(RequestId id) {
        QueryState& q = queries_.at(id);
        EXPECT_FALSE(q.over) << "query " << id << " ended twice";
        EXPECT_LE(now_, q.expires + shape_.slack) << "query " << id << " ended too late";
        EXPECT_TRUE(q.open) << "query " << id << " ended before its second step is open";
        q.over = true;
        ++ends;
    }
    void check(const SetTimer& t) {
        EXPECT_GT(t.at, now_);
        timers_.emplace(t.at, t.mark);
    }
    void check(const Cancel& c) {
        EXPECT_LT(static_cast<std::size_t>(c.attempt), parts_.at(c.id).tries.size());
    }
    void check(const Probe& p) { EXPECT_TRUE(told_.count(p.server)); }
    void check(const Subscribe&) {}
    void check(const Log&) {}

    Shape shape_;
    std::mt19937_64 random_;
    Nanos now_ = 7 * kS;
    Coordinator unit_;
    std::map<std::string, ServerState> state_, told_;
    std::map<std::string, Nanos> started_;
    std::map<RequestId, QueryState> queries_;
    std::map<RequestId, PartState> parts_;
    std::multimap<Nanos, std::int64_t> timers_;
    std::vector<std::vector<Event>> events_;
    std::vector<Nanos> taken_, resent_;
    RequestId next_ = 1000;
    int mood_ = 0;
};

class RandomEvents : public testing::TestWithParam<Shape> {};

}  // namespace

TEST_P(RandomEvents, KeepTheRules) {
    int answers = 0, ends = 0;
    for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Contract contract(GetParam(), seed);
        contract.run(600);
        answers += contract.answers, ends += contract.ends;
    }
    EXPECT_GT(answers, 50);
    EXPECT_GT(ends, 20);
}

INSTANTIATE_TEST_SUITE_P(
    All, RandomEvents,
    testing::Values(Shape{"safe", 5 * kMs, 20 * kMs, 6, 6, 1500 * kMs, Effect::safe, true},
                    Shape{"short", 5 * kMs, 20 * kMs, 6, 4, 150 * kMs, Effect::safe, false},
                    Shape{"noSlack", 1 * kMs, 0, 6, 4, 200 * kMs, Effect::safe, true},
                    Shape{"coarse", 40 * kMs, 0, 6, 4, 900 * kMs, Effect::safe, true},
                    Shape{"keyed", 5 * kMs, 20 * kMs, 6, 6, 1500 * kMs, Effect::keyed, true},
                    Shape{"unsafe", 5 * kMs, 20 * kMs, 6, 6, 1500 * kMs, Effect::unsafe, false},
                    Shape{"large", 5 * kMs, 20 * kMs, 60, 40, 800 * kMs, Effect::safe, true}),
    [](const auto& info) { return std::string(info.param.name); });
