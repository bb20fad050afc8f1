// Simulates a complete installation in virtual time: a controller with its state machine; hosts that hold
// known data by key, copy it, accept writes, die and return; and gatherers that receive layouts late and plan
// queries on the layout they have. Every answer is checked against the data. All randomness comes from one
// seed.
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

struct SimFaults {                     // deliberately broken variants of the protocol
    bool servesTooEarly = false;       // catch-up is reported while writes are missing
    bool releasesTooEarly = false;     // epochs are reported as released while queries still use them
    bool acceptsStaleAnswers = false;  // answers are accepted regardless of their epoch
};

struct SimCounts {
    std::uint64_t queries = 0, answered = 0, replanned = 0, rejected = 0, wrongAnswers = 0, changesDone = 0,
                  changesUndone = 0, epochs = 0;
    std::string firstWrongAnswer;
};

class ShardsSim {
public:
    static constexpr Millis kMaxQueryDuration = 2000;
    static constexpr int kKeys = 60, kHosts = 6, kGatherers = 3;

    ShardsSim(std::uint64_t seed, SimFaults faults)
        : random_(seed), faults_(faults), changes_(initialLayout(), limits()) {
        for (int k = 0; k < kKeys; ++k) {
            keys_.push_back("c" + std::to_string(k));
            versions_[k] = 1;
        }
        for (int h = 0; h < kHosts; ++h) {
            Host& host = hosts_[hostName(h)];
            host.layout = changes_.layout();
            for (int k = 0; k < kKeys; ++k)
                if (holds(*changes_.layout(), hostName(h), k)) host.data[k] = 1;
        }
        for (int g = 0; g < kGatherers; ++g) trackers_.emplace_back().update(changes_.layout());
    }

    // Runs load, changes and failures for `length`; then stops the failures and runs until everything has
    // ended.
    SimCounts run(Millis length) {
        scheduleEvery(40, 1, [this] { writeRandomKey(); });
        scheduleEvery(25, 2, [this, end = length + 20'000] {
            if (now_ < end) startQuery();  // queries in flight at the end must complete
        });
        scheduleEvery(700, 3, [this] { startRandomChange(); });
        scheduleEvery(1500, 4, [this] { killRandomHost(); });
        scheduleEvery(100, 5, [this] { synchronize(); });
        faultsActive_ = true;
        runUntil(length);
        faultsActive_ = false;
        for (int h = 0; h < kHosts; ++h)
            if (!hosts_[hostName(h)].alive) restartHost(hostName(h));
        runUntil(length + 120'000);
        return counts_;
    }
    bool allChangesEnded() const { return changes_.activeCount() == 0; }

private:
    struct Host {
        bool alive = true;
        LayoutPtr layout;  // the newest layout it has received
        std::map<int, int> data;
        Millis retiredSince = -1;
        std::map<SliceId, Millis> retiredSlices;  // slices for which it is retired, and when it learned so
        std::uint64_t incarnation = 0;
    };
    struct Copy {
        std::string from, to;
        SliceId slice;
        std::uint64_t attempt;
    };
    struct Answer {
        bool succeeded = false;
        Epoch epoch = 0, completeSince = 0;
        std::map<int, int> data;
    };

    static std::string hostName(int h) { return "h" + std::to_string(h); }
    static ChangeLimits limits() {
        ChangeLimits l;
        l.maxQueryDuration = kMaxQueryDuration;
        l.copyTimeout = 10'000;
        l.catchUpTimeout = 5'000;
        l.confirmTimeout = 3'000;
        return l;
    }
    static LayoutPtr initialLayout() {
        std::vector<std::pair<std::string, int>> hosts;
        for (int h = 0; h < kHosts; ++h) hosts.emplace_back(hostName(h), h);
        return Layout::ring(6, 6, 2, hosts);
    }
    int randomBelow(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }
    bool holds(const Layout& l, const std::string& host, int key) const {
        return l.sliceOf(hashKey(keys_[static_cast<std::size_t>(key)])).find(host) != nullptr;
    }

    // ---- time
    void schedule(Millis when, std::function<void()> action) {
        events_.emplace(std::pair{when, nextEvent_++}, std::move(action));
    }
    void scheduleEvery(Millis interval, int, const std::function<void()>& action) {
        schedule(now_ + interval * (0.5 + randomBelow(1000) / 1000.0), [this, interval, action] {
            action();
            scheduleEvery(interval, 0, action);
        });
    }
    void runUntil(Millis end) {
        while (now_ < end) {
            const Millis next = std::min({end, events_.begin()->first.first, changes_.nextDeadline()});
            now_ = std::max(now_, next);
            LayoutActions out;
            changes_.advance(now_, out);
            execute(out);
            while (!events_.empty() && events_.begin()->first.first <= now_) {
                const auto action = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                action();
            }
        }
    }

    // ---- the controller
    void execute(const LayoutActions& out) {
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
            if (const auto* e = std::get_if<ChangeEnded>(&a)) {
                copies_.erase(e->change);
                ++(e->done ? counts_.changesDone : counts_.changesUndone);
            }
        }
    }
    template <class F>
    void reportToManager(F f) {
        LayoutActions out;
        f(out);
        execute(out);
    }
    void publish(const LayoutPtr& layout) {
        ++counts_.epochs;
        for (std::size_t g = 0; g < trackers_.size(); ++g)
            if (randomBelow(20) > 0)  // one update in 20 is lost
                schedule(now_ + randomBelow(400), [this, g, layout] { trackers_[g].update(layout); });
        for (int h = 0; h < kHosts; ++h)
            if (randomBelow(20) > 0)
                schedule(now_ + randomBelow(300), [this, h, layout] { receiveLayout(hostName(h), layout); });
    }
    void receiveLayout(const std::string& host, const LayoutPtr& layout) {
        Host& h = hosts_[host];
        if (!h.alive || layout->epoch() <= h.layout->epoch()) return;
        h.layout = layout;
        for (const Slice& s : layout->slices()) {
            const Holder* ownHolder = s.find(host);
            if (ownHolder && ownHolder->state == HolderState::retired)
                h.retiredSlices.emplace(s.id, now_);
            else
                h.retiredSlices.erase(s.id);
        }
        const Epoch epoch = layout->epoch();
        schedule(now_ + randomBelow(100), [this, host, epoch, incarnation = h.incarnation] {
            if (hosts_[host].alive && hosts_[host].incarnation == incarnation)
                reportToManager([&](LayoutActions& out) { changes_.epochConfirmed(now_, host, epoch, out); });
        });
    }
    // Hosts and gatherers that missed an epoch eventually receive the newest; gatherers report released
    // epochs.
    void synchronize() {
        for (int h = 0; h < kHosts; ++h)
            if (randomBelow(10) == 0) receiveLayout(hostName(h), changes_.layout());
        Epoch oldest = changes_.layout()->epoch();
        for (EpochTracker& tracker : trackers_) {
            if (randomBelow(10) == 0) tracker.update(changes_.layout());
            tracker.advance(now_);
            oldest = std::min(oldest, tracker.oldestRetained());
        }
        if (faults_.releasesTooEarly) oldest = changes_.layout()->epoch();
        reportToManager([&](LayoutActions& out) { changes_.epochReleased(now_, oldest, out); });
    }
    void startRandomChange() {
        if (!faultsActive_) return;
        const std::vector<Slice>& slices = changes_.layout()->slices();
        const std::size_t pick = static_cast<std::size_t>(randomBelow(static_cast<int>(slices.size())));
        const Slice& s = slices[pick];
        ChangeSpec spec = Split{s.id, s.first + (s.last - s.first) / 2 + 1};
        const int kind = randomBelow(6);
        if (kind < 4)
            spec = Move{
                s.id,
                s.holders[static_cast<std::size_t>(randomBelow(static_cast<int>(s.holders.size())))].host,
                hostName(randomBelow(kHosts))};
        else if (kind == 4 && pick + 1 < slices.size())
            spec = Merge{s.id, slices[pick + 1].id};
        else if (slices.size() > 12)
            return;
        reportToManager([&](LayoutActions& out) {
            std::string reason;
            const ChangeId id = changes_.begin(now_, spec, out, reason);
            if (id != 0 && randomBelow(10) == 0)
                schedule(now_ + randomBelow(2000), [this, id] {
                    reportToManager([&](LayoutActions& o) { changes_.abort(now_, id, o); });
                });
        });
    }

    // ---- data
    void writeRandomKey() {
        const int key = randomBelow(kKeys);
        const int version = ++versions_[key];
        const Slice& s = changes_.layout()->sliceOf(hashKey(keys_[static_cast<std::size_t>(key)]));
        for (const Holder& h : s.holders)
            // A copying host receives no writes yet; it gets them during catch-up.
            if (hosts_[h.host].alive && h.state != HolderState::copying) hosts_[h.host].data[key] = version;
    }
    void startCopy(const StartCopy& c) {
        copies_[c.change] = {c.from, c.to, c.slice, ++copyAttempt_};
        schedule(now_ + 200 + randomBelow(1500),
                 [this, id = c.change, attempt = copyAttempt_] { finishCopyPhase(id, attempt, false); });
    }
    void finishCopyPhase(ChangeId id, std::uint64_t attempt, bool isCatchUp) {
        const auto found = copies_.find(id);
        if (found == copies_.end() || found->second.attempt != attempt) return;
        const Copy copy = found->second;
        if (!hosts_[copy.from].alive || !hosts_[copy.to].alive) return;
        const Slice* slice = changes_.layout()->find(copy.slice);
        if (!slice) return;
        // Copies the current data of the source; later writes are added during catch-up.
        if (!isCatchUp || !faults_.servesTooEarly)
            for (const auto& [key, version] : hosts_[copy.from].data)
                if (slice->containsHash(hashKey(keys_[static_cast<std::size_t>(key)]))) {
                    int& targetVersion = hosts_[copy.to].data[key];
                    targetVersion = std::max(targetVersion, version);
                }
        if (isCatchUp)
            return reportToManager([&](LayoutActions& out) { changes_.catchUpCompleted(now_, id, out); });
        const Millis lag = 50 + randomBelow(500);  // writes during the lag arrive with catch-up
        schedule(now_ + lag, [this, id, attempt] {
            reportToManager([&](LayoutActions& out) { changes_.copyCompleted(now_, id, out); });
            schedule(now_ + 100 + randomBelow(400),
                     [this, id, attempt] { finishCopyPhase(id, attempt, true); });
        });
    }
    void killRandomHost() {
        if (!faultsActive_) return;
        const std::string host = hostName(randomBelow(kHosts));
        Host& h = hosts_[host];
        if (!h.alive) return;
        // One dead host at a time, since each slice has only two holders.
        for (int other = 0; other < kHosts; ++other)
            if (!hosts_[hostName(other)].alive) return;
        h.alive = false;
        ++h.incarnation;
        reportToManager([&](LayoutActions& out) { changes_.hostDied(now_, host, out); });
        schedule(now_ + 300 + randomBelow(3000), [this, host] {
            if (!hosts_[host].alive) restartHost(host);
        });
    }
    // The host returns with its old data and fetches missed writes from other holders before it answers.
    void restartHost(const std::string& host) {
        Host& h = hosts_[host];
        h.alive = true;
        h.retiredSlices.clear();
        std::map<int, int> restored;
        for (const Slice& s : changes_.layout()->slices()) {
            const Holder* ownHolder = s.find(host);
            if (!ownHolder || !ownHolder->isComplete()) continue;
            for (int key = 0; key < kKeys; ++key) {
                if (!s.containsHash(hashKey(keys_[static_cast<std::size_t>(key)]))) continue;
                int version = h.data.contains(key) ? h.data[key] : 0;
                for (const Holder& other : s.holders)
                    if (other.host != host && other.isComplete() && hosts_[other.host].alive)
                        version = std::max(version, hosts_[other.host].data[key]);
                restored[key] = version;
            }
        }
        h.data = std::move(restored);
        reportToManager([&](LayoutActions& out) { changes_.hostReturned(now_, host, out); });
        if (changes_.layout()->epoch() > h.layout->epoch()) receiveLayout(host, changes_.layout());
    }

    // ---- queries
    struct Query {
        std::size_t gatherer;
        std::vector<int> requestedKeys;
        std::map<int, int> minVersions;  // versions when the query started
        Millis deadline;
        int attempts = 0;
        QueryPlan plan;
        EpochTracker::Pin pin = 0;
        std::map<int, int> received;
        std::size_t pendingParts = 0;
        bool stale = false;
    };
    using QueryPtr = std::shared_ptr<Query>;

    void startQuery() {
        ++counts_.queries;
        const auto q = std::make_shared<Query>();
        q->gatherer = static_cast<std::size_t>(randomBelow(kGatherers));
        q->deadline = now_ + kMaxQueryDuration;
        for (int i = 0, n = 1 + randomBelow(6); i < n; ++i) q->requestedKeys.push_back(randomBelow(kKeys));
        for (const int key : q->requestedKeys) q->minVersions[key] = versions_[key];
        plan(q);
    }
    void plan(const QueryPtr& q) {
        EpochTracker& tracker = trackers_[q->gatherer];
        tracker.unpin(q->pin);
        if (++q->attempts > 3 || now_ + 300 > q->deadline) {
            ++counts_.rejected;
            return;
        }
        if (q->attempts > 1) {
            ++counts_.replanned;
            if (randomBelow(2) == 0)
                tracker.update(changes_.layout());  // a stale answer may trigger a layout refresh
        }
        std::vector<std::string_view> keys;
        for (const int key : q->requestedKeys) keys.push_back(keys_[static_cast<std::size_t>(key)]);
        q->plan = planKeys(tracker.newest(), keys);
        q->pin = tracker.pin(q->deadline);
        q->received.clear();
        q->stale = false;
        q->pendingParts = q->plan.parts.size();
        for (const PlannedPart& part : q->plan.parts) sendPart(q, part.slice);
    }
    void sendPart(const QueryPtr& q, SliceId id) {
        std::vector<std::string> hosts;
        for (const Holder& h : q->plan.layout->find(id)->holders)
            if (h.isSelectable()) hosts.push_back(h.host);
        const std::string host = hosts[static_cast<std::size_t>(randomBelow(static_cast<int>(hosts.size())))];
        const Millis answerTime = now_ + 5 + randomBelow(randomBelow(10) == 0 ? 800 : 60);
        schedule(answerTime, [this, q, id, host, attempt = q->attempts] {
            if (q->attempts != attempt) return;
            Answer a = makeAnswer(host, *q->plan.layout->find(id), q->plan.layout->epoch(), q->requestedKeys);
            onAnswer(q, id, host, a);
        });
    }
    // A host answers only for slices that it holds complete in its own layout, and reports that epoch.
    Answer makeAnswer(const std::string& host, const Slice& slice, Epoch planned,
                      const std::vector<int>& requestedKeys) {
        Host& h = hosts_[host];
        Answer a;
        if (!h.alive) return a;
        a.epoch = h.layout->epoch();
        const Slice* ownSlice = h.layout->find(slice.id);
        if (!faults_.acceptsStaleAnswers) {
            if (!ownSlice) return a;
            const Holder* ownHolder = ownSlice->find(host);
            if (!ownHolder || !ownHolder->isComplete()) return a;
            a.completeSince = ownHolder->completeSince;
            const auto retired = h.retiredSlices.find(slice.id);
            if (retired != h.retiredSlices.end() &&
                (planned >= h.layout->epoch() || now_ >= retired->second + kMaxQueryDuration))
                return a;
        }
        a.succeeded = true;
        for (const int key : requestedKeys)
            if (slice.containsHash(hashKey(keys_[static_cast<std::size_t>(key)])))
                a.data[key] = h.data.contains(key) ? h.data[key] : 0;
        return a;
    }
    void onAnswer(const QueryPtr& q, SliceId id, const std::string& host, const Answer& a) {
        const bool isAccepted =
            faults_.acceptsStaleAnswers
                ? a.succeeded
                : a.succeeded && q->plan.acceptsAnswer(id, host, a.epoch, a.completeSince);
        if (!isAccepted) q->stale = true;
        for (const auto& [key, version] : a.data) q->received[key] = version;
        if (--q->pendingParts > 0) return;
        if (q->stale) return plan(q);  // replan the whole query on the newest layout
        trackers_[q->gatherer].unpin(q->pin);
        ++counts_.answered;
        for (const int key : q->requestedKeys) {
            const bool isCorrect = q->received.contains(key) && q->received[key] >= q->minVersions[key] &&
                                   q->received[key] <= versions_[key];
            if (isCorrect) continue;
            ++counts_.wrongAnswers;
            if (counts_.firstWrongAnswer.empty())
                counts_.firstWrongAnswer = "key c" + std::to_string(key) + ": version " +
                                           std::to_string(q->received.contains(key) ? q->received[key] : -1) +
                                           ", minimum " + std::to_string(q->minVersions[key]) +
                                           ", plan of epoch " + std::to_string(q->plan.layout->epoch()) +
                                           ", at " + std::to_string(now_);
            break;
        }
    }

    std::mt19937_64 random_;
    SimFaults faults_;
    Millis now_ = 0;
    std::uint64_t nextEvent_ = 0, copyAttempt_ = 0;
    bool faultsActive_ = false;
    std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> events_;
    std::vector<std::string> keys_;
    std::map<int, int> versions_;
    ChangeManager changes_;
    std::map<std::string, Host> hosts_;
    std::vector<EpochTracker> trackers_;
    std::map<ChangeId, Copy> copies_;
    SimCounts counts_;
};

}  // namespace beechpoint::layout::test
