// A small bed for driving a Coordinator directly: builds settings and events, keeps the actions.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordinator/coordinator.hpp"

namespace beechpoint::coordinator::test {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kS = 1000 * kMs;

// One class "get", three servers a, b, c that hold the one shard.
inline Settings basic() {
    Settings s;
    ClassSettings c;
    c.name = "get";
    c.aim = 1 * kS;
    c.deadline = 3 * kS;
    s.classes.push_back(c);
    s.shards = 4;
    s.tick = 5 * kMs;
    s.answerSlack = 20 * kMs;
    s.maxAttempts = 4;
    s.parallelTries = true;
    s.cancelling = true;
    s.retryAfter = true;
    s.maxRetryAfter = 1 * kS;
    s.coldTime = 10 * kS;
    s.coldFrom = 0.25;
    s.overloadFactor = 3;
    s.overloadTime = 2 * kS;
    return s;
}

struct Sent {
    Nanos at;
    RequestId part;
    int attempt;
    std::string server;
    Nanos within;
    bool ended = false;
};

class CoordinatorFixture {
public:
    explicit CoordinatorFixture(Settings s = basic(), std::vector<std::string> ids = {"a", "b", "c"},
                                std::uint64_t seed = 1)
        : settings(s), unit(s, seed, 0) {
        ServerList list;
        list.kind = ListKind::remembered;
        for (const std::string& id : ids) list.entries.push_back(up(id));
        give(list);
    }
    static ServerEntry up(const std::string& id, Nanos startedAt = 0, ServerState state = ServerState::up) {
        ServerEntry e;
        e.id = id;
        e.state = state;
        e.startedAt = startedAt;
        return e;
    }
    void change(const ServerEntry& e) { give(ServerList{ListKind::changes, {e}}); }

    void give(const Event& event) {
        std::vector<Action> out;
        unit.handle(now, event, out);
        for (Action& a : out) {
            if (auto* send = std::get_if<Send>(&a)) {
                sent.push_back({now, send->id, tries[send->id]++, send->server, send->within});
            } else if (auto* timer = std::get_if<SetTimer>(&a)) {
                timers.emplace(timer->at, timer->mark);
            }
            actions.push_back(a);
        }
    }
    // Lets time pass, bringing the timers that fall due.
    void until(Nanos t) {
        while (!timers.empty() && timers.begin()->first <= t) {
            now = std::max(now, timers.begin()->first);
            const auto mark = timers.begin()->second;
            timers.erase(timers.begin());
            give(TimerDue{mark});
        }
        now = t;
    }
    void pass(Nanos d) { until(now + d); }

    // A query of `parts` parts, ids id+1, id+2, ...; equal weights unless given.
    void query(RequestId id, int parts = 1, const std::string& klass = "get", Nanos lasts = 3 * kS,
               std::vector<double> weights = {}, const std::string& tenant = "") {
        QueryArrived q;
        q.id = id;
        q.number = id;
        q.klass = klass;
        q.tenant = tenant;
        q.expires = now + lasts;
        q.parts = parts;
        give(q);
        this->parts(id, id + 1, parts, weights);
    }
    void parts(RequestId query, RequestId from, int count, std::vector<double> weights = {}) {
        for (int i = 0; i < count; ++i) {
            PartArrived p;
            p.id = from + static_cast<RequestId>(i);
            p.number = query;
            p.shard = i % settings.shards;
            p.weight = weights.empty() ? 1.0 / count : weights[static_cast<std::size_t>(i)];
            give(p);
        }
    }
    void end(std::size_t send, Outcome outcome = Outcome::served) {
        Sent& s = sent[send];
        s.ended = true;
        give(AttemptEnded{s.part, s.attempt, s.server, outcome, now - s.at, outcome == Outcome::served, {}});
    }
    // `count` single-part queries one after another, each served by whoever got it after took(server).
    template <class F>
    void warm(int count, F took, RequestId from = 100000) {
        for (int i = 0; i < count; ++i) {
            const std::size_t first = sent.size();
            query(from + static_cast<RequestId>(2 * i));
            if (sent.size() == first) continue;  // refused
            pass(took(sent[first].server));
            end(first);
            for (std::size_t k = first + 1; k < sent.size(); ++k)
                if (!sent[k].ended) end(k, Outcome::cancelled);
        }
    }
    template <class T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const Action& a : actions)
            if (auto* x = std::get_if<T>(&a)) found.push_back(*x);
        return found;
    }
    int finals(RequestId id) const {
        int n = 0;
        for (const Action& a : actions) {
            if (auto* x = std::get_if<Answer>(&a)) n += x->id == id;
            if (auto* y = std::get_if<Refuse>(&a)) n += y->id == id;
            if (auto* z = std::get_if<Fail>(&a)) n += z->id == id;
        }
        return n;
    }

    Settings settings;
    Coordinator unit;
    Nanos now = 1 * kS;
    std::vector<Action> actions;
    std::vector<Sent> sent;
    std::map<RequestId, int> tries;
    std::multimap<Nanos, std::int64_t> timers;
};

}  // namespace beechpoint::coordinator::test
