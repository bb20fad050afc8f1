// A whole installation in virtual time, seen from the layout: a controller with its state machine, hosts that
// hold known data by key, copy, take writes, die and return, gatherers that hear late and plan queries on
// what they know. Every answer is checked against the data. All chance comes from one seed.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "layout/changes.hpp"
#include "layout/epochs.hpp"

namespace beechpoint::layout::test {

struct SimFaults {                 // what is broken on purpose
    bool asksTooEarly = false;     // a target is called caught up while writes are missing
    bool forgetsTooEarly = false;  // gatherers are said to have released what they still hold
    bool mergesStale = false;      // answers are taken whatever their epoch
};

struct SimTally {
    std::uint64_t queries = 0, answered = 0, replanned = 0, refused = 0, wrong = 0, changesDone = 0,
                  changesUndone = 0, epochs = 0;
    std::string firstWrong;
};

class ShardsSim {
public:
    static constexpr Millis kQueryTime = 2000;
    static constexpr int kKeys = 60, kHosts = 6, kGatherers = 3;

    ShardsSim(std::uint64_t seed, SimFaults faults)
        : random_(seed), faults_(faults), changes_(first(), limits()) {
        for (int k = 0; k < kKeys; ++k) {
            keys_.push_back("c" + std::to_string(k));
            versions_[k] = 1;
        }
        for (int h = 0; h < kHosts; ++h) {
            Host& host = hosts_[name(h)];
            host.layout = changes_.layout();
            for (int k = 0; k < kKeys; ++k)
                if (holds(*changes_.layout(), name(h), k)) host.data[k] = 1;
        }
        for (int g = 0; g < kGatherers; ++g) books_.emplace_back().tell(changes_.layout());
    }

    // Load, changes and failures for so long; then failures stop, and all must come to an end.
    SimTally run(Millis length) {
        every(40, 1, [this] { write(); });
        every(25, 2, [this, end = length + 20'000] {
            if (now_ < end) query();  // what is out at the end must come to its own
        });
        every(700, 3, [this] { change(); });
        every(1500, 4, [this] { kill(); });
        every(100, 5, [this] { report(); });
        failing_ = true;
        until(length);
        failing_ = false;
        for (int h = 0; h < kHosts; ++h)
            if (!hosts_[name(h)].alive) revive(name(h));
        until(length + 120'000);
        return tally_;
    }
    bool allEnded() const { return changes_.underWay() == 0; }

private:
    struct Host {
        bool alive = true;
        LayoutPtr layout;  // as it was told
        std::map<int, int> data;
        Millis retiredSince = -1;
        std::map<SliceId, Millis> retired;  // slices it is retired for, and since when it knows
        std::uint64_t life = 0;
    };
    struct Copy {
        std::string from, to;
        SliceId slice;
        std::uint64_t run;
    };
    struct Answer {
        bool ok = false;
        Epoch epoch = 0, since = 0;
        std::map<int, int> data;
    };

    static std::string name(int h) { return "h" + std::to_string(h); }
    static ChangeLimits limits() {
        ChangeLimits l;
        l.longestQuery = kQueryTime;
        l.copyWithin = 10'000;
        l.catchUpWithin = 5'000;
        l.confirmWithin = 3'000;
        return l;
    }
    static LayoutPtr first() {
        std::vector<std::pair<std::string, int>> hosts;
        for (int h = 0; h < kHosts; ++h) hosts.emplace_back(name(h), h);
        return Layout::ring(6, 6, 2, hosts);
    }
    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }
    bool holds(const Layout& l, const std::string& host, int key) const {
        return l.sliceOf(hashKey(keys_[static_cast<std::size_t>(key)])).find(host) != nullptr;
    }

    // ---- time
    void at(Millis when, std::function<void()> what) {
        agenda_.emplace(std::pair{when, seq_++}, std::move(what));
    }
    void every(Millis gap, int, const std::function<void()>& what) {
        at(now_ + gap * (0.5 + draw(1000) / 1000.0), [this, gap, what] {
            what();
            every(gap, 0, what);
        });
    }
    void until(Millis end) {
        while (now_ < end) {
            const Millis next = std::min({end, agenda_.begin()->first.first, changes_.next()});
            now_ = std::max(now_, next);
            LayoutActions out;
            changes_.advance(now_, out);
            carry(out);
            while (!agenda_.empty() && agenda_.begin()->first.first <= now_) {
                const auto what = std::move(agenda_.begin()->second);
                agenda_.erase(agenda_.begin());
                what();
            }
        }
    }

    // ---- the controller
    void carry(const LayoutActions& out) {
        for (const LayoutAction& a : out) {
            if (const auto* p = std::get_if<Publish>(&a)) publish(p->layout);
            if (const auto* c = std::get_if<StartCopy>(&a)) startCopy(*c);
            if (const auto* s = std::get_if<StopCopy>(&a)) copies_.erase(s->change);
            if (const auto* d = std::get_if<DropData>(&a)) {
                Host& h = hosts_[d->host];
                std::erase_if(h.data, [&](const auto& entry) {
                    const KeyHash hash = hashKey(keys_[static_cast<std::size_t>(entry.first)]);
                    return hash >= d->first && hash <= d->last;
                });
            }
            if (const auto* e = std::get_if<Ended>(&a)) {
                copies_.erase(e->change);
                ++(e->done ? tally_.changesDone : tally_.changesUndone);
            }
        }
    }
    template <class F>
    void tellChanges(F f) {
        LayoutActions out;
        f(out);
        carry(out);
    }
    void publish(const LayoutPtr& layout) {
        ++tally_.epochs;
        for (std::size_t g = 0; g < books_.size(); ++g)
            if (draw(20) > 0)  // now and then never told of this one
                at(now_ + draw(400), [this, g, layout] { books_[g].tell(layout); });
        for (int h = 0; h < kHosts; ++h)
            if (draw(20) > 0) at(now_ + draw(300), [this, h, layout] { hear(name(h), layout); });
    }
    void hear(const std::string& host, const LayoutPtr& layout) {
        Host& h = hosts_[host];
        if (!h.alive || layout->epoch() <= h.layout->epoch()) return;
        h.layout = layout;
        for (const Slice& s : layout->slices()) {
            const Holder* me = s.find(host);
            if (me && me->state == HolderState::retired)
                h.retired.emplace(s.id, now_);
            else
                h.retired.erase(s.id);
        }
        const Epoch epoch = layout->epoch();
        at(now_ + draw(100), [this, host, epoch, life = h.life] {
            if (hosts_[host].alive && hosts_[host].life == life)
                tellChanges([&](LayoutActions& out) { changes_.standsAt(now_, host, epoch, out); });
        });
    }
    // Hosts and gatherers that missed an epoch hear of the newest in the end.
    void report() {
        for (int h = 0; h < kHosts; ++h)
            if (draw(10) == 0) hear(name(h), changes_.layout());
        Epoch oldest = changes_.layout()->epoch();
        for (EpochBook& book : books_) {
            if (draw(10) == 0) book.tell(changes_.layout());
            book.advance(now_);
            oldest = std::min(oldest, book.oldestHeld());
        }
        if (faults_.forgetsTooEarly) oldest = changes_.layout()->epoch();
        tellChanges([&](LayoutActions& out) { changes_.released(now_, oldest, out); });
    }
    void change() {
        if (!failing_) return;
        const std::vector<Slice>& slices = changes_.layout()->slices();
        const std::size_t pick = static_cast<std::size_t>(draw(static_cast<int>(slices.size())));
        const Slice& s = slices[pick];
        ChangeSpec spec = Split{s.id, s.first + (s.last - s.first) / 2 + 1};
        const int what = draw(6);
        if (what < 4)
            spec =
                Move{s.id, s.holders[static_cast<std::size_t>(draw(static_cast<int>(s.holders.size())))].host,
                     name(draw(kHosts))};
        else if (what == 4 && pick + 1 < slices.size())
            spec = Merge{s.id, slices[pick + 1].id};
        else if (slices.size() > 12)
            return;
        tellChanges([&](LayoutActions& out) {
            std::string why;
            const ChangeId id = changes_.begin(now_, spec, out, why);
            if (id != 0 && draw(10) == 0)
                at(now_ + draw(2000),
                   [this, id] { tellChanges([&](LayoutActions& o) { changes_.abort(now_, id, o); }); });
        });
    }

    // ---- data
    void write() {
        const int key = draw(kKeys);
        const int version = ++versions_[key];
        const Slice& s = changes_.layout()->sliceOf(hashKey(keys_[static_cast<std::size_t>(key)]));
        for (const Holder& h : s.holders)
            // A copying host takes no writes yet: what it misses it gets as it catches up.
            if (hosts_[h.host].alive && h.state != HolderState::copying) hosts_[h.host].data[key] = version;
    }
    void startCopy(const StartCopy& c) {
        copies_[c.change] = {c.from, c.to, c.slice, ++copyRun_};
        at(now_ + 200 + draw(1500), [this, id = c.change, run = copyRun_] { copyDone(id, run, false); });
    }
    void copyDone(ChangeId id, std::uint64_t run, bool caughtUp) {
        const auto found = copies_.find(id);
        if (found == copies_.end() || found->second.run != run) return;
        const Copy copy = found->second;
        if (!hosts_[copy.from].alive || !hosts_[copy.to].alive) return;
        const Slice* slice = changes_.layout()->find(copy.slice);
        if (!slice) return;
        // What the source holds now; between this and catching up, writes may have been missed.
        if (!caughtUp || !faults_.asksTooEarly)
            for (const auto& [key, version] : hosts_[copy.from].data)
                if (slice->covers(hashKey(keys_[static_cast<std::size_t>(key)]))) {
                    int& mine = hosts_[copy.to].data[key];
                    mine = std::max(mine, version);
                }
        if (caughtUp) return tellChanges([&](LayoutActions& out) { changes_.caughtUp(now_, id, out); });
        const Millis lag = 50 + draw(500);  // writes of this time reach it late
        at(now_ + lag, [this, id, run] {
            tellChanges([&](LayoutActions& out) { changes_.copied(now_, id, out); });
            at(now_ + 100 + draw(400), [this, id, run] { copyDone(id, run, true); });
        });
    }
    void kill() {
        if (!failing_) return;
        const std::string host = name(draw(kHosts));
        Host& h = hosts_[host];
        if (!h.alive) return;
        for (int other = 0; other < kHosts; ++other)  // one at a time: two holders are all there are
            if (!hosts_[name(other)].alive) return;
        h.alive = false;
        ++h.life;
        tellChanges([&](LayoutActions& out) { changes_.died(now_, host, out); });
        at(now_ + 300 + draw(3000), [this, host] {
            if (!hosts_[host].alive) revive(host);
        });
    }
    // It comes back with what it had, and fetches what it missed from others before it answers.
    void revive(const std::string& host) {
        Host& h = hosts_[host];
        h.alive = true;
        h.retired.clear();
        std::map<int, int> fresh;
        for (const Slice& s : changes_.layout()->slices()) {
            const Holder* me = s.find(host);
            if (!me || !me->complete()) continue;
            for (int key = 0; key < kKeys; ++key) {
                if (!s.covers(hashKey(keys_[static_cast<std::size_t>(key)]))) continue;
                int version = h.data.contains(key) ? h.data[key] : 0;
                for (const Holder& other : s.holders)
                    if (other.host != host && other.complete() && hosts_[other.host].alive)
                        version = std::max(version, hosts_[other.host].data[key]);
                fresh[key] = version;
            }
        }
        h.data = std::move(fresh);
        tellChanges([&](LayoutActions& out) { changes_.returned(now_, host, out); });
        if (changes_.layout()->epoch() > h.layout->epoch()) hear(host, changes_.layout());
    }

    // ---- queries
    struct Query {
        std::size_t gatherer;
        std::vector<int> wanted;
        std::map<int, int> least;  // versions at its start
        Millis deadline;
        int attempts = 0;
        QueryPlan plan;
        EpochBook::Hold hold = 0;
        std::map<int, int> got;
        std::size_t out = 0;
        bool stale = false;
    };
    using QueryPtr = std::shared_ptr<Query>;

    void query() {
        ++tally_.queries;
        const auto q = std::make_shared<Query>();
        q->gatherer = static_cast<std::size_t>(draw(kGatherers));
        q->deadline = now_ + kQueryTime;
        for (int i = 0, n = 1 + draw(6); i < n; ++i) q->wanted.push_back(draw(kKeys));
        for (const int key : q->wanted) q->least[key] = versions_[key];
        plan(q);
    }
    void plan(const QueryPtr& q) {
        EpochBook& book = books_[q->gatherer];
        book.release(q->hold);
        if (++q->attempts > 3 || now_ + 300 > q->deadline) {
            ++tally_.refused;
            return;
        }
        if (q->attempts > 1) {
            ++tally_.replanned;
            if (draw(2) == 0) book.tell(changes_.layout());  // a stale answer makes it ask for the newest
        }
        std::vector<std::string_view> keys;
        for (const int key : q->wanted) keys.push_back(keys_[static_cast<std::size_t>(key)]);
        q->plan = planKeys(book.newest(), keys);
        q->hold = book.hold(q->deadline);
        q->got.clear();
        q->stale = false;
        q->out = q->plan.parts.size();
        for (const PlannedPart& part : q->plan.parts) ask(q, part.slice);
    }
    void ask(const QueryPtr& q, SliceId id) {
        std::vector<std::string> hosts;
        for (const Holder& h : q->plan.layout->find(id)->holders)
            if (h.asked()) hosts.push_back(h.host);
        const std::string host = hosts[static_cast<std::size_t>(draw(static_cast<int>(hosts.size())))];
        const Millis back = now_ + 5 + draw(draw(10) == 0 ? 800 : 60);
        at(back, [this, q, id, host, attempt = q->attempts] {
            if (q->attempts != attempt) return;
            Answer a = answerOf(host, *q->plan.layout->find(id), q->plan.layout->epoch(), q->wanted);
            onAnswer(q, id, host, a);
        });
    }
    // A host answers only for what its own layout says that it holds complete, and says which epoch that is.
    Answer answerOf(const std::string& host, const Slice& asked, Epoch planned,
                    const std::vector<int>& wanted) {
        Host& h = hosts_[host];
        Answer a;
        if (!h.alive) return a;
        a.epoch = h.layout->epoch();
        const Slice* mine = h.layout->find(asked.id);
        if (!faults_.mergesStale) {
            if (!mine) return a;
            const Holder* me = mine->find(host);
            if (!me || !me->complete()) return a;
            a.since = me->since;
            const auto retired = h.retired.find(asked.id);
            if (retired != h.retired.end() &&
                (planned >= h.layout->epoch() || now_ >= retired->second + kQueryTime))
                return a;
        }
        a.ok = true;
        for (const int key : wanted)
            if (asked.covers(hashKey(keys_[static_cast<std::size_t>(key)])))
                a.data[key] = h.data.contains(key) ? h.data[key] : 0;
        return a;
    }
    void onAnswer(const QueryPtr& q, SliceId id, const std::string& host, const Answer& a) {
        const bool takes = faults_.mergesStale ? a.ok : a.ok && q->plan.takes(id, host, a.epoch, a.since);
        if (!takes) q->stale = true;
        for (const auto& [key, version] : a.data) q->got[key] = version;
        if (--q->out > 0) return;
        if (q->stale) return plan(q);  // whole, on the newest layout
        books_[q->gatherer].release(q->hold);
        ++tally_.answered;
        for (const int key : q->wanted) {
            const bool right =
                q->got.contains(key) && q->got[key] >= q->least[key] && q->got[key] <= versions_[key];
            if (right) continue;
            ++tally_.wrong;
            if (tally_.firstWrong.empty())
                tally_.firstWrong = "key c" + std::to_string(key) + ": version " +
                                    std::to_string(q->got.contains(key) ? q->got[key] : -1) +
                                    ", known since the start " + std::to_string(q->least[key]) +
                                    ", plan of epoch " + std::to_string(q->plan.layout->epoch()) + ", at " +
                                    std::to_string(now_);
            break;
        }
    }

    std::mt19937_64 random_;
    SimFaults faults_;
    Millis now_ = 0;
    std::uint64_t seq_ = 0, copyRun_ = 0;
    bool failing_ = false;
    std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> agenda_;
    std::vector<std::string> keys_;
    std::map<int, int> versions_;
    Changes changes_;
    std::map<std::string, Host> hosts_;
    std::vector<EpochBook> books_;
    std::map<ChangeId, Copy> copies_;
    SimTally tally_;
};

}  // namespace beechpoint::layout::test
