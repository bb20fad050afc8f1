// The coordinator, the decision module of the gatherer; its interface is coordinator/coordinator.hpp.
// Ordinary path, after Zheng and Lyu, "A Distributed Replication Strategy Evaluation and Selection
// Framework for Fault Tolerant Web Services", section 4: score s = t/t_user + f/f_user for each class
// and server; a part goes to one of
// its shard's replicas, drawn with odds that fall as s rises; width v by T(x-1) - T(x) >= t_user; failover by
// the tree on |W|, b and c. Exceptions are marked E1, E2, ... here and in docs/design.md.
#include <algorithm>

#include "coordinator/admission.hpp"

namespace beechpoint::coordinator {

constexpr double kMemoryQueries = 3;  // but t and f remember so many own queries at least

struct Coordinator::Impl : CoordinatorAdmission {
    using CoordinatorAdmission::CoordinatorAdmission;
    void on(const ServerList& list) {
        const bool failed = list.kind == ListKind::failed;
        if (set.mustSubscribe && (failed || list.kind == ListKind::remembered)) act(Subscribe{});
        if (failed) return;
        if (list.kind != ListKind::changes)
            for (Server& s : servers) s.usable = false;
        for (const ServerEntry& e : list.entries) {
            const auto [it, fresh] = index.try_emplace(e.id, 0);
            if (fresh) it->second = place();
            Server& s = at(it->second);
            const bool started = fresh || e.startedAt > s.entry.startedAt;
            s.entry = e;
            s.usable = e.state == ServerState::up;
            if (started) {  // what was known is void
                s.classes.assign(set.classes.size(), Record{});
                s.ratio = Mean{}, s.f = Mean{kFailMemoryS};
                s.cut = s.down = false, s.wait = 0;
                s.coldAt = now + nanos(draw() * seconds(coldGap(s)));
            }
        }
        usable = 0;
        for (std::vector<int>& members : byCell) members.clear();
        for (int i = 0; i < static_cast<int>(servers.size()); ++i)
            if (at(i).usable)
                ++usable, at(i).goneAt = 0, cell(at(i).entry.cell).push_back(i);
            else
                forget(i);
        sweep();
    }
    // Servers come under new ids for as long as the coordinator runs, so what is known of one ends a while
    // after the list dropped it. Not while an attempt is out there: its outcome looks the server up.
    int place() {
        if (spare.empty()) return servers.emplace_back(), static_cast<int>(servers.size()) - 1;
        const int i = spare.back();
        return spare.pop_back(), i;
    }
    void forget(int i) {
        Server& s = at(i);
        if (s.goneAt == 0) s.goneAt = now;
        if (s.entry.id.empty() || s.out > 0 || now < s.goneAt + nanos(kWindowS)) return;
        index.erase(s.entry.id);
        s = Server{}, s.goneAt = now;
        spare.push_back(i);
    }
    void on(const QueryArrived& e) {
        taken.push_back(now), keepLookBack();
        if (queries.contains(e.id)) return;  // twice: one end is owed, and the first is held
        const auto klass = std::ranges::find(set.classes, e.klass, &ClassSettings::name);
        if (klass == set.classes.end() || e.expires <= now || e.parts <= 0) return act(Refuse{e.id, 0});
        arrivals.add(now, 1);
        Query q;
        q.id = e.id, q.number = e.number, q.key = e.key;
        while (!blamed.empty() && blamed.front().first <= now - nanos(kWindowS)) blamed.pop_front();
        q.careful = std::ranges::any_of(blamed, [&](auto& b) { return b.second == q.key; });
        q.klass = static_cast<std::size_t>(klass - set.classes.begin());
        q.arrived = now, q.expires = e.expires, q.expected = e.parts;
        // A repeat's aim counts from the first try, whose time is known where the whole deadline cuts this
        // one.
        Nanos& tryLength = this->tryLength[q.klass];
        if (!e.repeat) tryLength = std::max(tryLength, e.expires - now);
        const bool cut = e.repeat && e.expires - now < tryLength - 2 * set.tick;
        q.aimAt = (cut ? e.expires - klass->deadline : now) + klass->aim;
        for (std::size_t i = 0; i < set.tenants.size(); ++i)
            if (set.tenants[i].name == e.tenant) q.tenant = static_cast<int>(i), tenantSeen[i].add(now, 1);
        ++held;
        byNumber[q.number] = q.id;
        Query& kept = queries[q.id] = std::move(q);
        if (endOf(kept) <= now) giveUp(kept, seconds(set.maxRetryAfter));
    }
    void on(const PartArrived& e) {
        taken.push_back(now), keepLookBack();
        const auto number = byNumber.find(e.number);
        if (number == byNumber.end() || partOf.contains(e.id)) return;
        Query& q = queries.at(number->second);
        if (q.step == 1 && static_cast<int>(q.parts.size()) >= q.expected) return;
        Part p;
        p.id = e.id, p.shard = e.shard, p.weight = e.weight;
        q.parts.push_back(std::move(p));
        partOf[e.id] = q.id;
        ++held;
        if (q.step == 2)
            firstSend(q, q.parts.back());
        else if (static_cast<int>(q.parts.size()) == q.expected)
            admit(q);
    }
    void on(const AttemptEnded& e) {
        const auto found = out.find({e.id, e.attempt});
        if (found == out.end()) return;
        const Out o = found->second;
        out.erase(found);
        Server& s = at(o.server);
        std::multiset<Nanos>& sent = s.classes[o.klass].out;
        if (const auto one = sent.find(o.sentAt); one != sent.end()) sent.erase(one);  // not after a restart
        --s.out;
        hear(s, e.load);
        learn(o, e.outcome, e.took);
        const auto query = partOf.find(e.id);
        if (query == partOf.end()) return;
        Query& q = queries.at(query->second);
        Part& p = *std::ranges::find(q.parts, e.id, &Part::id);
        Attempt& a = p.attempts[static_cast<std::size_t>(e.attempt)];
        a.out = false;
        a.mayHaveRun = e.outcome != Outcome::turnedAway && e.outcome != Outcome::noConnection &&
                       e.outcome != Outcome::notSent;
        if (e.outcome == Outcome::connectionLost && lostUnder(q, o.server)) return;
        if (e.outcome == Outcome::served) {
            p.in = true;
            p.tookS = seconds(e.took);
            cancel(p);  // the twin
            if (std::exchange(q.careful, false)) trySending(q);
        } else if (!p.in && !e.partOver) {
            failover(q, p, o.server);
        } else if (e.partOver && !p.in) {
            p.over = true;
        }
        decide(q);
    }
    void on(const ProbeEnded& e) {
        const auto found = index.find(e.server);
        if (found == index.end()) return;
        Server& s = at(found->second);
        hear(s, e.load);
        if (e.outcome == Outcome::served || e.outcome == Outcome::turnedAway) return reached(s);
        if (!s.cut) return;
        s.down = true;
        for (Record& r : s.classes) r.f = Mean{kFailMemoryS};
        s.f = Mean{kFailMemoryS};  // it died: what broke on it says nothing about how it serves once back
    }
    void on(const QueryGone& e) {
        const auto found = queries.find(e.id);
        if (found == queries.end()) return;
        left[found->second.klass].add(lore, seconds(now - found->second.arrived));
        end(found->second);
    }
    void on(const TimerDue&) {}  // handle() looks at the time, whatever the event
    // Looks over all that is held: waiting and overdue parts, answers and ends that are due.
    void sweep() {
        std::vector<RequestId> ids;
        for (const auto& [id, q] : queries) ids.push_back(id);
        for (const RequestId id : ids) {
            Query& q = queries.at(id);
            trySending(q);
            decide(q);
        }
    }
    void trySending(Query& q) {
        for (Part& p : q.parts) {
            if (p.in || p.over) continue;
            if (p.waiting && p.attempts.empty())
                firstSend(q, p);
            else if (p.waiting && p.outCount() == 0)
                failover(q, p, -1);
            else
                copyIfOverdue(q, p);
        }
    }
    void handle(Nanos at, const Event& event, std::vector<Action>& list) {
        const double passed = seconds(std::max<Nanos>(at - now, 0)), keep = std::exp(-passed / kWindowS);
        usualOut = keep * usualOut + (1 - keep) * static_cast<double>(out.size()) / std::max(1, usable);
        const double gap = 3 * kWindowS / std::max(1.0, arrivals.count(now));  // between own queries, seconds
        lore += nanos(passed / std::max(1.0, kMemoryQueries * gap / kTimeMemoryS));
        now = std::max(now, at);
        actions = &list;
        std::visit([this](const auto& e) { on(e); }, event);
        // What is due is seen to at any event: a timer that comes late, or behind others, delays nothing.
        if (wakeAt != 0 && now >= wakeAt) {
            wakeAt = 0;
            sweep();
        }
        if (!queries.empty() && wakeAt == 0) {
            wakeAt = now + grain();
            act(SetTimer{0, wakeAt});
        }
        actions = nullptr;
    }
};

Coordinator::Coordinator(Settings settings, std::uint64_t seed, Nanos now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator& Coordinator::operator=(Coordinator&&) noexcept = default;
bool Coordinator::avoids(const std::string& server) const {
    const auto found = impl_->index.find(server);
    return found == impl_->index.end() || !impl_->at(found->second).usable || impl_->at(found->second).cut;
}
void Coordinator::handle(Nanos now, const Event& event, std::vector<Action>& out) {
    impl_->handle(now, event, out);
}

}  // namespace beechpoint::coordinator
