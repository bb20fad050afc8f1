// The decision module of firkeel; its interface is include/firkeel/coordinator.hpp.
// Ordinary path, after Zheng and Lyu, "A Distributed Replication Strategy Evaluation and Selection Framework
// for Fault Tolerant Web Services", section 4: score s = t/t_user + f/f_user for each class and server; a
// part goes to one of its shard's replicas, drawn with odds that fall as s rises; width v by T(x-1) - T(x) >=
// t_user; failover by the tree on |W|, b and c. Exceptions are marked E1, E2, ... here and in docs/design.md.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "firkeel/coordinator.hpp"

namespace firkeel {

namespace {

// The paper's figures (section 6.3) and the design's.
constexpr double kDropAbove = 20;    // a, score units: a replica scoring above leaves W
constexpr double kDegrade = 5;       // b, score units: retry the first where the second is worse by so much
constexpr double kErroneous = 0.05;  // c, failure share: copies fail over alone from here on
constexpr double kGainShare = 0.1;   // t_user as a share of the class's aim
constexpr double kFailTarget =
    0.4;  // f_user, failure share: a smaller one crowds a half-broken shard's sound ones
constexpr double kOddsPower = 6;  // odds = (best s / s)^this: scale free, so that all slow alike stay even
constexpr double kWindowS = 10;   // failures and budgets are counted over this, seconds, as the design has it
constexpr double kFailMemoryS = kWindowS / 2;  // f's outcomes are as old on average as in such a window
constexpr double kTimeMemoryS = 3;     // t's window, seconds: queues build within this; older times mislead
constexpr double kMemoryQueries = 3;   // but t and f remember so many own queries at least
constexpr double kAheadWeight = 0.35;  // growth of t for each attempt ahead: servers work on a few at a time
constexpr int kPairs = 16;             // outcomes kept for T(x): a few seconds' worth
constexpr int kLeastPairs = 8;         // fewer say nothing about T(x)

// Exceptions and guards.
constexpr double kQueueMemory = 2;     // E11: a reported queue is remembered for so many times its wait
constexpr double kReportWeight = 2;    // E11: in own answers of late
constexpr double kQueueLeast = 2;      // E11: a shorter queue is chance
constexpr double kMostReported = 1e6;  // E11: a figure beyond this is no report
constexpr double kOverdue = 2;   // E1: no copy before this many mean times: half of all work ends sooner
constexpr double kLastCall = 3;  // E1: nor while so many times the other replica's t are left: it may come
constexpr double kCalmShare = 0.25;    // E1: mean time over aim above which everything is slow: no copies
constexpr double kFurtherShare = 0.2;  // further sends per part at most: below the design's 3 in 10
constexpr double kFurtherFree = 3;  // and these on top in a window, so that a quiet coordinator can fail over
constexpr double kCopyPart = 0.5;   // share of that allowance for copies; the rest is kept for failures
constexpr int kRedialDials = 2;     // E8: time-outs of a dial between looks at a server that was cut off
constexpr int kKills = 2;  // E9: servers lost under a query of which no part was served: it is to blame
constexpr double kColdMargin = 1.5;     // E4: capacity of a warm server over what it is sent, at least
constexpr double kSpread = 1.5;         // slowest of a query's parts against the slowest expected one
constexpr double kPartTolerance = 0.4;  // E7: even the lightest part is asked within this share of the time
constexpr double kPartMargin = 0.2;     // E7: weight kept beyond the least share, for parts that do not come
constexpr double kCheap = 0.35;   // of the time left: what is worth least for its work may take so long
constexpr double kOverShare = 1.5;      // a tenant is over its share from this multiple on: traffic is uneven
constexpr double kSure = 2;             // standard deviations by which chance must be ruled out there
constexpr double kLeft = 0.5;           // E10: clients seen to leave of late, from which on it acts
constexpr double kPatience = 0.9;       // E10: share of the time at which they left
constexpr double kLateWorthLeast = 0.2;      // late answers worth less than this are not waited for
constexpr double kFirstReserve = 0.2;        // second step's share of the aim until one has been timed
constexpr Nanos kAnswerMargin = 10'000'000;  // for the answer's way to the client, beside the sweep's grain
constexpr double kLongest = 1e6;             // seconds, some 12 days: beyond any wait or time-out
constexpr Nanos kLogEvery = 5'000'000'000;   // each kind of log line at most so often

double seconds(Nanos n) { return static_cast<double>(n) * 1e-9; }
// Bounded, so that an estimate without bound (or none at all) is a long time, not whatever the cast makes of
// it.
Nanos nanos(double s) {
    return s < kLongest ? static_cast<Nanos>(std::max(s, -kLongest) * 1e9)
                        : static_cast<Nanos>(kLongest * 1e9);
}

// A mean that forgets: weights fall by e in every memoryS.
struct Mean {
    double memoryS = kTimeMemoryS;
    double weight = 0, sum = 0;
    Nanos at = 0;
    double kept(Nanos now) const { return std::exp(-seconds(now - at) / memoryS); }
    double count(Nanos now) const { return weight * kept(now); }
    void add(Nanos now, double value) {
        const double keep = kept(now);
        weight = weight * keep + 1, sum = sum * keep + value, at = now;
    }
    double value(Nanos now, double prior, double priorWeight = 1) const {
        return (sum * kept(now) + priorWeight * prior) / (count(now) + priorWeight);
    }
};

struct Record {  // of one class at one server
    Mean t;
    Mean f{kFailMemoryS};
    std::deque<double> recent;  // seconds, newest last
    std::multiset<Nanos> out;   // when the attempts still out were sent
    Nanos lastServed = 0;
};

struct Server {
    ServerEntry entry;
    bool usable = false;  // listed and up
    std::vector<Record> classes;
    Mean ratio;               // times over the fleet's, all classes
    Mean f{kFailMemoryS};     // failures, all classes
    std::size_t out = 0;      // attempts still out, all classes
    Nanos coldAt = 0;         // E4: not before
    std::deque<Nanos> sends;  // within the rule's overload time
    Nanos fullUntil = 0;
    bool cut = false,
         down = false;  // E8: a connection broke; could not be connected to; no probe passed since
    Nanos backAt = 0;   // when it was found up again
    Nanos goneAt = 0;   // since when it is not usable
    Nanos redialAt = 0;
    double wait = 0;  // E11: seconds that its last report's queue takes it
    Nanos toldAt = 0;
};

struct Attempt {
    int server = 0;
    Nanos sentAt = 0;
    bool out = true, mayHaveRun = true, cancelled = false;
};

struct Part {
    RequestId id = 0;
    int shard = 0;
    double weight = 0;
    bool in = false, over = false, waiting = false;
    std::vector<Attempt> attempts;
    int width = 1;
    bool copiesAlone = false;
    double tookS = 0, expectedS = 0;
    bool triedAt(int server, bool stillOut) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](auto& a) { return a.server == server && (a.out || !stillOut); });
    }
    int outCount() const {
        return static_cast<int>(
            std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }));
    }
};

struct Query {
    RequestId id = 0;
    std::int64_t number = 0;
    std::size_t klass = 0;
    int tenant = -1;
    Nanos arrived = 0, expires = 0, aimAt = 0, stepAt = 0;
    int expected = 0, step = 1;  // parts expected of the present step
    int lost = 0;                // servers whose connection broke (E9)
    int lastLost = -1;           // the last of them: its other parts break with it
    bool firstWhole = false;
    bool careful = false;  // one attempt out at a time, until a part has been served (E9)
    std::string key;
    std::vector<Part> parts;  // of the present step
};

struct Out {  // an attempt still out; outlives its query
    int server = 0;
    std::size_t klass = 0;
    Nanos sentAt = 0;
    double ahead = 0;
};

struct Scored {
    int server = 0;
    double t = 0, f = 0, s = 0;
};

}  // namespace

struct Coordinator::Impl {
    Settings set;
    std::uint64_t random;
    std::map<std::string, int> index;
    std::vector<Server> servers;
    std::vector<int> spare;  // places of servers that are gone for good, to be used again
    std::map<RequestId, Query> queries;
    std::map<std::int64_t, RequestId> byNumber;
    std::map<RequestId, RequestId> partOf;
    std::map<std::pair<RequestId, int>, Out> out;
    std::vector<Mean> fleet, secondStep,
        left;                               // per class, seconds: normalised time; second step; clients left
    std::map<std::string, Mean> zoneRatio;  // times over the fleet's, all servers of a zone
    std::vector<Nanos> tryLength;           // per class: longest time a client gave a first try
    std::vector<Mean> tenantSeen;
    Mean firstSends{kWindowS}, copies{kWindowS}, further{kWindowS}, arrivals{3 * kWindowS};
    std::deque<Nanos> taken, resent;  // the stated budget's window
    Mean density;                     // worth per part of the queries that came
    Nanos lore = 0;                   // clock of what is learned about servers; slower where queries are rare
    double usualOut = 0;              // own attempts out per usable server, over kWindowS
    int held = 0, usable = 0;         // queries and parts; servers
    std::vector<std::vector<int>> byCell;  // usable servers
    Nanos now = 0, wakeAt = 0;
    std::deque<std::pair<Nanos, std::string>> blamed;  // keys of queries given up on by E9, for kWindowS
    std::map<std::string, Nanos> logged;
    std::vector<Action>* actions = nullptr;

    Impl(Settings s, std::uint64_t seed, Nanos start) : set(std::move(s)), random(seed), now(start) {
        const auto need = [](bool ok, const char* key) {
            if (!ok)
                throw std::invalid_argument(std::string("firkeel settings: senseless or missing ") + key);
        };
        need(!set.classes.empty(), "classes"), need(set.shards > 0, "shards"), need(set.cells > 0, "cells");
        need(set.span > 0, "span"), need(set.coordinators > 0, "coordinators"), need(set.tick > 0, "tick");
        need(set.maxAttempts > 0, "maxAttempts"), need(!set.hasResendBudget || set.lookBack > 0, "lookBack");
        for (const ClassSettings& c : set.classes) {
            need(c.aim > 0, "classes.aim"), need(c.deadline >= c.aim, "classes.deadline");
            need(c.leastShare >= 0 && c.leastShare <= 1, "classes.leastShare");
            need(c.completeFrom > 0 && c.completeFrom <= 1, "classes.completeFrom");
            need(c.secondStep >= 0, "classes.secondStep");
        }
        for (auto* perClass : {&fleet, &secondStep, &left}) perClass->resize(set.classes.size());
        tryLength.resize(set.classes.size());
        tenantSeen.resize(set.tenants.size(), Mean{kFailMemoryS});
        byCell.resize(static_cast<std::size_t>(set.cells));
    }

    template <class T>
    void act(T action) {
        actions->emplace_back(std::move(action));
    }
    void say(const std::string& kind, const std::string& text) {
        const auto [it, first] = logged.try_emplace(kind, now);
        if (!first && now - it->second < kLogEvery) return;
        it->second = now;
        act(Log{kind + ": " + text});
    }
    Server& at(int i) { return servers[static_cast<std::size_t>(i)]; }
    const Server& at(int i) const { return servers[static_cast<std::size_t>(i)]; }
    double draw() {  // splitmix64, in [0, 1)
        std::uint64_t z = (random += 0x9E3779B97F4A7C15ULL);
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
    const ClassSettings& classOf(const Query& q) const { return set.classes[q.klass]; }
    double gainTarget(std::size_t klass) const { return kGainShare * seconds(set.classes[klass].aim); }
    // An own attempt ahead is one, and a sign that the others have more out than usual too, as far as own
    // numbers can tell. Bounded by what all have out as a rule, however many they are.
    double aheadWeight() const {
        return kAheadWeight * (1 + (set.coordinators - 1) * usualOut / (usualOut + 1));
    }
    Nanos grain() const { return 2 * set.tick; }  // between sweeps over what is held

    // ---- replica records

    double fleetTime(std::size_t klass) const { return fleet[klass].value(lore, gainTarget(klass)); }

    // Share of its capacity that a server surely has: it warms about evenly, no slower than stated.
    double warmth(const Server& s) const {
        const Nanos start = std::max(s.entry.startedAt, s.backAt);
        if (start <= 0 || set.coldTime <= 0 || now >= start + set.coldTime) return 1;
        const double age = std::max(0.0, seconds(now - start)) / seconds(set.coldTime);
        return set.coldFrom + (1 - set.coldFrom) * age;
    }

    // t for the next attempt, seconds; without own evidence, as its zone is against the best zone. E2: where
    // nothing of the class has come from a server for longer than t, with something out there, t is that
    // long. Answers a hang, a stall, a slow server, a cut link and one class's silence; could hurt heavy
    // queries.
    double timeOf(int server, std::size_t klass, double planned = 0) {
        const Server& s = at(server);
        double zone = zoneRatio[s.entry.zone].value(lore, 1), best = zone;
        for (const auto& [name, ratio] : zoneRatio) best = std::min(best, ratio.value(lore, 1));
        const double prior = fleetTime(klass) * s.ratio.value(lore, zone / best / warmth(s));
        const double mean = s.classes[klass].t.value(lore, prior);
        const double t = mean * (1 + aheadWeight() * (static_cast<double>(s.out) + planned));
        const double full = std::max(0.0, seconds(s.fullUntil - now));
        return std::max(t, silence(s.classes[klass])) + waitAt(s) + full;
    }
    // E11, the others' load. Where many coordinators share the servers, own records tell of a queue long
    // after it is there; a report tells what all of them have put there. What stands in line takes queue /
    // qps and is gone that much later. The fewer own answers came of late, the more that counts. Could hurt
    // where rates are not those of a server at work.
    double waitAt(const Server& s) const {
        const double age = seconds(now - s.toldAt) / kQueueMemory;
        return std::max(0.0, s.wait - age) * kReportWeight / (kReportWeight + s.ratio.count(lore));
    }
    void hear(Server& s, const std::vector<LoadValue>& load) {
        double queue = -1, rate = -1;
        for (const LoadValue& v : load) {
            if (v.name == "queue") queue = v.value;
            if (v.name == "qps") rate = v.value;
        }
        if (!(queue >= 0 && queue < kMostReported && rate >= 0 && rate < kMostReported)) return;
        s.wait = queue < kQueueLeast ? 0 : std::min(queue / std::max(rate, 1.0), kWindowS);
        s.toldAt = now;
    }
    double silence(const Record& r) const {
        return r.out.empty() ? 0 : seconds(now - std::max(*r.out.begin(), r.lastServed));
    }
    double failuresOf(int server, std::size_t klass) const {
        const Server& s = at(server);
        return s.classes[klass].f.value(lore, s.f.value(lore, 0, 2), 2);
    }
    Scored score(int server, std::size_t klass) {
        Scored r{server, timeOf(server, klass), failuresOf(server, klass), 0};
        r.s = r.t / gainTarget(klass) + r.f / kFailTarget;
        // E6. A score of a is as bad as losing the part: a crossing that costs some share of the worth costs
        // that share of a. Could hurt where a zone is crowded.
        if (at(server).entry.zone != set.zone) r.s += kDropAbove * set.crossZoneCost;
        return r;
    }

    void learn(const Out& o, Outcome outcome, Nanos took) {
        Server& s = at(o.server);
        Record& r = s.classes[o.klass];
        const double normal = seconds(took) / (1 + aheadWeight() * o.ahead);
        const bool served = outcome == Outcome::served;
        if (outcome == Outcome::notSent) return;
        const bool calledOff = outcome == Outcome::cancelled || outcome == Outcome::timedOut;
        if (served || (calledOff && normal > fleetTime(o.klass))) {
            // It took at least so long (E2); failing fast teaches nothing about t.
            s.ratio.add(lore, normal / fleetTime(o.klass));
            zoneRatio[s.entry.zone].add(lore, normal / fleetTime(o.klass));
            r.t.add(lore, normal);
        }
        if (outcome == Outcome::cancelled) return;
        // E5. Overload is not a fault: a server that turns work away is full for about one mean time, and one
        // that served the class after a timed-out attempt was sent is slow, which t tells. In f they would
        // drive work from loaded sound servers to broken ones. Could hurt where a broken one says it is full.
        if (outcome == Outcome::turnedAway) {
            s.fullUntil = now + nanos(s.classes[o.klass].t.value(lore, fleetTime(o.klass)));
            return;
        }
        // E8, cut off. A server that cannot be connected to, or whose connection broke, may be dead long
        // before the list says so; sends there fail at once and use up tries. It gets nothing until a probe
        // passes; where all holders are cut off, a part goes with the probe. Answers crashes, killed servers,
        // full connection tables, refusing links. Could hurt where probes fail and parts would not.
        if (outcome == Outcome::noConnection || outcome == Outcome::connectionLost) {
            if (!s.cut) s.redialAt = now;
            s.cut = true;
            s.down = s.down || outcome == Outcome::noConnection;
            if (outcome == Outcome::noConnection) return;
        }
        if (outcome == Outcome::timedOut && r.lastServed > o.sentAt) return;
        r.f.add(lore, !served);
        s.f.add(lore, !served);
        if (!served) {
            say("server fails", s.entry.id + ", failure share " + std::to_string(s.f.value(lore, 0)));
            return;
        }
        r.lastServed = now;
        reached(s);
        fleet[o.klass].add(lore, normal);
        r.recent.push_back(seconds(took));
        if (r.recent.size() > kPairs) r.recent.pop_front();
    }

    // ---- ranking, draw, width

    std::vector<int>& cell(int i) {
        return byCell[static_cast<std::size_t>((i % set.cells + set.cells) % set.cells)];
    }
    template <class F>
    void eachHolder(int shard, F call) {  // calls back with each usable server that holds the shard
        for (int j = 0; j < std::min(set.span, set.cells); ++j)
            for (const int i : cell(shard + j)) call(i, at(i));
    }

    // E4, slow start. A cold server gets at most what its surely present capacity allows against what this
    // coordinator sends to the others (whose sum over all coordinators they carry). Where that is less than
    // one send in the stated time, sends are that far apart, the first at a random moment.
    Nanos coldGap(const Server& s) const {  // between sends on average; 0: warm
        const double warm = warmth(s);
        if (warm >= 1 || set.overloadFactor <= 0) return 0;
        const double typicalPerS = std::max(firstSends.count(now), 1.0) / kWindowS / std::max(1, usable);
        return nanos(1 / (kColdMargin * set.overloadFactor * warm * typicalPerS));
    }
    bool coldFull(Server& s) const {
        while (!s.sends.empty() && s.sends.front() <= now - set.overloadTime) s.sends.pop_front();
        const Nanos gap = coldGap(s);
        const auto more = static_cast<Nanos>(std::max(s.sends.size(), s.out));
        return gap > set.overloadTime ? now < s.coldAt || more > 0 : (more + 1) * gap > set.overloadTime;
    }
    // Whether a look at a cut-off server is due; asks for the probe.
    bool redial(Server& s) {
        if (!s.cut || now < s.redialAt) return false;
        s.redialAt = now + std::max(kRedialDials * set.dialTimeout, 2 * grain());
        if (set.probing) act(Probe{s.entry.id});
        return true;
    }

    // A part's replicas that may be sent to now, best first.
    std::vector<Scored> ranked(const Query& q, const Part& p) {
        std::vector<Scored> all, sound;
        eachHolder(p.shard, [&](int i, Server& s) {
            if (now < s.fullUntil || coldFull(s)) return;
            if (p.triedAt(i, true) || (!redial(s) && s.cut)) return;
            all.push_back(score(i, q.klass));
            if (!s.cut) sound.push_back(all.back());
        });
        std::vector<Scored>& list = sound.empty() ? all : sound;
        std::sort(list.begin(), list.end(),
                  [](auto& a, auto& b) { return std::tie(a.s, a.server) < std::tie(b.s, b.server); });
        return list;
    }
    // W: those at or below a; if none passes, the best.
    static std::vector<Scored> passing(std::vector<Scored> list) {
        const auto end = std::find_if(list.begin(), list.end(), [](auto& r) { return r.s > kDropAbove; });
        list.erase(list.empty() ? end : std::max(end, list.begin() + 1), list.end());
        return list;
    }
    int drawFrom(const std::vector<Scored>& w) {
        const auto odds = [&](const Scored& r) {
            return std::pow(std::max(w.front().s, 1e-9) / std::max(r.s, 1e-9), kOddsPower);
        };
        double left = 0;
        for (const Scored& r : w) left += odds(r);
        left *= draw();
        for (const Scored& r : w)
            if ((left -= odds(r)) < 0) return r.server;
        return w.front().server;
    }
    // v: the largest x for which the x-th replica at once still cuts the mean time by t_user.
    int width(const std::vector<Scored>& w, std::size_t klass) const {
        std::size_t pairs = kPairs;
        double before = 0;
        int v = 1;
        const auto times = [&](std::size_t j) -> auto& { return at(w[j].server).classes[klass].recent; };
        for (std::size_t x = 1; x <= w.size(); ++x) {
            pairs = std::min(pairs, times(x - 1).size());
            if (pairs < kLeastPairs) break;
            double mean = 0;
            for (std::size_t i = 1; i <= pairs; ++i) {
                double least = 1e30;
                for (std::size_t j = 0; j < x; ++j) least = std::min(least, times(j)[times(j).size() - i]);
                mean += least / static_cast<double>(pairs);
            }
            if (x > 1 && before - mean >= gainTarget(klass)) v = static_cast<int>(x);
            before = mean;
        }
        return v;
    }

    // ---- sending and failover

    bool safe(const Query& q) const { return classOf(q).effect == Effect::safe; }
    bool copiesAllowed(const Query& q) const { return safe(q) && set.parallelTries; }
    bool mayTryAgain(const Query& q, const Part& p) const {
        return mayRepeat(q, p) && static_cast<int>(p.attempts.size()) < set.maxAttempts;
    }
    // All slow alike is no reason for copies: they would feed the overload.
    bool calm(std::size_t klass) const {
        return fleetTime(klass) <= kCalmShare * seconds(set.classes[klass].aim);
    }

    void keepLookBack() {
        while (!taken.empty() && taken.front() <= now - set.lookBack) taken.pop_front();
        while (!resent.empty() && resent.front() < now - set.lookBack) resent.pop_front();
    }
    bool budget(bool copy) {
        const double own = kFurtherFree + kFurtherShare * firstSends.count(now);
        if (further.count(now) + 1 > own || (copy && copies.count(now) + 1 > kCopyPart * own)) return false;
        if (!set.hasResendBudget) return true;
        keepLookBack();
        return static_cast<double>(resent.size()) + 1 <=
               set.freeResends + set.resendRatio * static_cast<double>(taken.size());
    }
    // Rule 2: whether the part may be sent (again) without an effect happening twice.
    bool mayRepeat(const Query& q, const Part& p) const {
        const Effect effect = classOf(q).effect;
        if (effect == Effect::safe) return p.outCount() == 0 || set.parallelTries;
        if (p.outCount() > 0) return false;
        for (const Attempt& a : p.attempts)
            if (a.mayHaveRun)
                return effect == Effect::keyed && now + set.tick <= a.sentAt + classOf(q).repeatWindow;
        return true;
    }
    bool opens(const Query& q) const { return q.step == 1 && classOf(q).secondStep > 0; }
    // When to give up. Rule 1 holds by this, whatever the stall, burst, stale list or short time:
    // - A query is held in `queries` until an action ends it, or its client has gone. While one is held a
    // timer
    //   is out, and any event makes the sweep that is due: sweeps are at most a grain and a tick apart.
    // - A sweep past endOf ends the query, so its end comes by endOf + grain + tick <= expires. What
    // answerSlack
    //   and the margin leave over is for batches that come late.
    // - A first answer ends nothing: its second step opens with the next batch, a tick later, and an end
    // before
    //   that may not count, with no other to follow. So the first step ends a grain, two ticks, earlier than
    //   the second, and nothing is answered past its end: whatever comes in the same batch, a step opens
    //   first.
    // - A second step whose parts never come ends here like any other, and nothing is sent for the first's.
    Nanos endOf(const Query& q) const {
        const Nanos time = classOf(q).lateWorth < kLateWorthLeast ? std::min(q.aimAt, q.expires) : q.expires;
        return time - std::max(kAnswerMargin, set.tick) - (opens(q) ? 2 : 1) * grain();
    }

    // E9, a query that kills servers. If connections break under a query before any of its parts was served,
    // it may be at fault, not the servers: from the first on it goes one attempt at a time, at the second it
    // is failed, and when it comes again it starts so. Answers queries that crash what takes them, and keeps
    // retries from chasing crashes. Could hurt a query whose first two servers were killed by others.
    bool holdBack(const Query& q) const {
        return q.careful &&
               std::any_of(q.parts.begin(), q.parts.end(), [](auto& p) { return p.outCount() > 0; });
    }
    bool lostUnder(Query& q, int server) {  // true: q was given up
        if (std::exchange(q.lastLost, server) == server) return false;
        q.careful = q.step == 1 && std::none_of(q.parts.begin(), q.parts.end(), [](auto& p) { return p.in; });
        if (!q.careful || ++q.lost < kKills) return false;
        say("blamed", "a query of class " + classOf(q).name + " under which servers were lost");
        if (!q.key.empty()) blamed.emplace_back(now, q.key);
        act(Fail{q.id});
        end(q);
        return true;
    }

    bool send(Query& q, Part& p, int server, bool copy) {
        const Nanos end = endOf(q);
        if (end <= now || !mayTryAgain(q, p)) return false;
        if (!p.attempts.empty()) {
            if (!budget(copy)) return false;
            further.add(now, 1);
            if (copy) copies.add(now, 1);
            resent.push_back(now);
        } else {
            firstSends.add(now, 1);
        }
        Nanos within = end - now;
        if (!copiesAllowed(q) &&
            classOf(q).effect != Effect::unsafe)  // no copy possible: leave time to fail over
            within = std::min(within, std::max(nanos(4 * timeOf(server, q.klass)), classOf(q).aim / 4));
        Server& s = at(server);
        out[{p.id, static_cast<int>(p.attempts.size())}] =
            Out{server, q.klass, now, static_cast<double>(s.out)};
        p.attempts.push_back({server, now, true, true});
        p.waiting = false;
        s.classes[q.klass].out.insert(now);
        ++s.out;
        s.sends.push_back(now);
        s.coldAt = std::max(s.coldAt, now - coldGap(s)) + coldGap(s);
        act(Send{p.id, s.entry.id, within});
        return true;
    }

    void firstSend(Query& q, Part& p) {
        p.waiting = true;
        if (holdBack(q)) return;
        const std::vector<Scored> w = passing(ranked(q, p));
        p.waiting = w.empty();
        if (w.empty()) return;
        p.width = copiesAllowed(q) && calm(q.klass) && !q.careful ? width(w, q.klass) : 1;
        if (p.width == 1) {
            send(q, p, drawFrom(w), false);
            return;
        }
        double f = 0;
        for (int i = 0; i < p.width; ++i) {
            send(q, p, w[static_cast<std::size_t>(i)].server, true);
            f += w[static_cast<std::size_t>(i)].f / p.width;
        }
        p.copiesAlone = f >= kErroneous;
    }

    // The tree, after an attempt at `failed` ended without an answer.
    void failover(Query& q, Part& p, int failed) {
        if (holdBack(q)) {
            p.waiting = p.outCount() == 0;
            return;
        }
        if (p.outCount() > 0 && !(p.width > 1 && p.copiesAlone)) return;  // v > 1: wait until all have failed
        const std::vector<Scored> all = ranked(q, p);
        const std::vector<Scored> w = passing(all);
        if (w.empty()) {
            p.waiting = mayTryAgain(q, p);
            return;
        }
        int target = w.front().server;
        const bool firstAgain = w.size() == 1 || (w.size() < all.size() && w[1].s - w[0].s >= kDegrade);
        if (!firstAgain) {  // next in rank that this part has not tried
            const auto next =
                std::find_if(w.begin(), w.end(), [&](auto& r) { return !p.triedAt(r.server, false); });
            if (next != w.end())
                target = next->server;
            else if (target == failed)
                target = w[1].server;
        }
        // No hopeless tries.
        if (now + nanos(timeOf(target, q.klass) / 2) > endOf(q)) return;
        if (!send(q, p, target, false)) p.waiting = mayTryAgain(q, p);
    }

    // E1, the width test at an age. The slowest of k parts sets the query's time, yet before sending no part
    // looks slow enough for v > 1. Once a part is overdue the same test is made with what is left: as long
    // again as it has waited, or as its server is silent, against another replica's t. Answers hangs, stalls,
    // slow and cold servers, lost answers. Parts of a heavy query are held against their siblings, since
    // another copy would be as slow. Only what is in by the aim counts, so a copy goes no sooner than it
    // must, and the budget is left to parts that need it. Could hurt at full load: hence kCalmShare.
    void copyIfOverdue(Query& q, Part& p) {
        if (p.in || p.over || p.outCount() != 1 || !copiesAllowed(q) || q.careful) return;
        const auto a = std::find_if(p.attempts.begin(), p.attempts.end(), [](auto& x) { return x.out; });
        const double mean = fleetTime(q.klass);
        double siblings = 0, count = 0;  // how heavy the query is, told by its parts that are in
        for (const Part& other : q.parts)
            if (other.in) siblings += other.tookS / mean, ++count;
        const double heavy = count > 1 ? std::max(1.0, siblings / count) : 1.0;
        const double age = seconds(now - a->sentAt) / heavy;
        if (age < kOverdue * mean) return;
        const double quiet = silence(at(a->server).classes[q.klass]);
        if (!calm(q.klass) && quiet < 3 * mean) return;
        const double rest = std::max(age, quiet);
        const std::vector<Scored> w = passing(ranked(q, p));
        if (w.empty() || rest - w.front().t < gainTarget(q.klass)) return;
        if (now + nanos(w.front().t / 2) > endOf(q) || now + nanos(kLastCall * w.front().t) < endOf(q))
            return;
        send(q, p, w.front().server, true);
    }

    // ---- gather

    double weightIn(const Query& q) const {
        double sum = 0;
        for (const Part& p : q.parts) sum += p.in ? p.weight : 0;
        return sum;
    }
    bool allIn(const Query& q) const {
        return static_cast<int>(q.parts.size()) >= q.expected &&
               std::all_of(q.parts.begin(), q.parts.end(), [](auto& p) { return p.in; });
    }
    bool partial(const Query& q) const { return classOf(q).leastShare < classOf(q).completeFrom; }
    double reserve(const Query& q) const {  // time to keep for the second step, seconds
        return opens(q) ? secondStep[q.klass].value(now, kFirstReserve * seconds(classOf(q).aim)) : 0;
    }

    void cancel(Part& p) {
        for (std::size_t i = 0; i < p.attempts.size(); ++i) {
            if (!p.attempts[i].out || p.attempts[i].cancelled || !set.cancelling) continue;
            p.attempts[i].cancelled = true;
            act(Cancel{p.id, static_cast<int>(i)});
        }
    }
    void dropParts(Query& q) {
        for (Part& p : q.parts) {
            cancel(p);
            partOf.erase(p.id);
        }
        held -= static_cast<int>(q.parts.size());
        q.parts.clear();
    }
    void end(Query& q) {  // q is gone afterwards
        dropParts(q);
        --held;
        if (const auto n = byNumber.find(q.number); n != byNumber.end() && n->second == q.id)
            byNumber.erase(n);
        queries.erase(RequestId(q.id));
    }
    void answer(Query& q, bool whole) {
        act(Answer{q.id, whole});
        if (opens(q)) {
            const auto in = std::count_if(q.parts.begin(), q.parts.end(), [](auto& p) { return p.in; });
            q.expected = std::min(classOf(q).secondStep, static_cast<int>(in));
            q.firstWhole = whole;
            q.step = 2;
            q.stepAt = now;
            dropParts(q);
            return;
        }
        if (q.step == 2) secondStep[q.klass].add(now, seconds(now - q.stepAt));
        end(q);
    }
    // Ends without an answer: refused where that is known to be harmless, else failed.
    void giveUp(Query& q, double waitS) {
        bool harmless = safe(q) || q.step == 1;
        for (const Part& p : q.parts)
            for (const Attempt& a : p.attempts) harmless = harmless && (safe(q) || !a.mayHaveRun);
        const Nanos wait = set.retryAfter ? std::min(std::max(nanos(waitS), set.tick), set.maxRetryAfter) : 0;
        harmless ? act(Refuse{q.id, wait}) : act(Fail{q.id});
        end(q);
    }

    // Answers, gives up or goes on waiting. May end the query.
    void decide(Query& q) {
        const ClassSettings& c = classOf(q);
        const double in = weightIn(q);
        const bool over = now >= endOf(q);
        if (static_cast<int>(q.parts.size()) < q.expected && !over) return;
        const bool mayAnswer = !over || !opens(q);  // see endOf
        const bool whole = q.step == 1 && in >= c.completeFrom - 1e-6 && c.completeFrom < 1;
        if (mayAnswer && in > 0 && (allIn(q) || whole)) {
            answer(q, q.step == 1 || q.firstWhole);
            return;
        }
        const bool enough = mayAnswer && partial(q) && in >= c.leastShare - 1e-6 && in > 0;
        const bool stuck = std::none_of(q.parts.begin(), q.parts.end(),
                                        [](auto& p) { return !p.in && (p.waiting || p.outCount() > 0); });
        // E10. Where clients of the class were seen to leave early, what may be answered in part is answered
        // before others would leave. Answers short patience and cut tries; could hurt the patient ones.
        const double patience =
            left[q.klass].count(lore) < kLeft ? 1e6 : kPatience * left[q.klass].value(lore, 0, 0);
        const Nanos last = std::min({q.aimAt, q.expires, q.arrived + nanos(patience)});
        const Nanos partialAt = last - nanos(reserve(q)) - kAnswerMargin - grain();
        if (enough && (stuck || now >= partialAt)) {
            answer(q, false);
        } else if (over || stuck) {
            say("gave up",
                "a query of class " + c.name + " with " + std::to_string(in) + " of its weight in");
            giveUp(q, seconds(set.maxRetryAfter));
        }
    }

    // ---- admission

    // Whether a tenant surely sends beyond its share, by its rate here, taken for an even part of the whole,
    // and by its odds against the others here: traffic may be uneven.
    bool overShare(const Query& q) const {
        if (q.tenant < 0) return false;
        double all = 0;
        for (const Mean& seen : tenantSeen) all += seen.count(now);
        const TenantSettings& tenant = set.tenants[static_cast<std::size_t>(q.tenant)];
        const double seen = tenantSeen[static_cast<std::size_t>(q.tenant)].count(now);
        const double own = seen - kSure * std::sqrt(seen);
        const double rate = own / kFailMemoryS * set.coordinators;
        return tenant.allowancePerS > 0 && rate > kOverShare * tenant.allowancePerS &&
               own * (1 - tenant.share) > kOverShare * (all - seen) * tenant.share;
    }
    // When the needed parts are expected to be in, seconds from now.
    double expectedTime(Query& q) {
        std::map<int, double> planned;
        std::vector<std::pair<double, double>> times;
        for (Part& p : q.parts) {
            int best = -1;
            double least = seconds(classOf(q).deadline);
            eachHolder(p.shard, [&](int i, Server& s) {
                redial(s);
                if (s.cut) return;
                const double t = timeOf(i, q.klass, planned[i]);
                if (best < 0 || t < least) best = i, least = t;
            });
            if (best >= 0) planned[best] += 1;
            p.expectedS = least;
            times.emplace_back(least, p.weight);
        }
        std::sort(times.begin(), times.end());
        const double need =
            partial(q) ? (classOf(q).leastShare + classOf(q).completeFrom) / 2 : classOf(q).completeFrom;
        double in = 0;
        for (const auto& [t, weight] : times)
            if ((in += weight) >= need - 1e-6) return t * kSpread + reserve(q);
        return times.empty() ? 0 : times.back().first * kSpread + reserve(q);
    }
    // Refuses early what would be late. Where time is short, what is worth less for its work goes first.
    void admit(Query& q) {
        const bool over = overShare(q);
        const double worth = classOf(q).worth * (over ? set.overShareWorth : 1) /
                             (static_cast<double>(q.parts.size()) + 0.5 * classOf(q).secondStep);
        density.add(now, worth);
        const double tolerance = std::clamp(worth / density.value(now, worth), over ? 0.3 : kCheap, 1.0);
        if (partial(q))  // the heaviest parts get the shortest queues
            std::stable_sort(q.parts.begin(), q.parts.end(),
                             [](auto& a, auto& b) { return a.weight > b.weight; });
        const double expect = expectedTime(q);
        const double left = seconds(std::min(q.aimAt, q.expires) - now);
        const bool full = set.openCap > 0 && held > 0.85 * set.openCap && tolerance < 1;
        if (full || expect > tolerance * left) {
            say("refusing",
                "work would take " + std::to_string(expect) + " s of " + std::to_string(left) + " s left");
            giveUp(q, std::max(0.1, expect - left / 2));
            return;
        }
        // E7, not worth asking. Where an answer may be given from less, a part that is light for its work is
        // left out once its replicas are slow, so that the rest, and others, come in time. Answers overload,
        // cut links and a shard without a sound replica. Could hurt where t is overrated.
        double kept = 1;
        for (auto p = q.parts.rbegin(); partial(q) && p != q.parts.rend(); ++p) {
            const double value =
                classOf(q).worth * classOf(q).shortWorth * p->weight / density.value(now, worth);
            const double allowed = std::clamp(value, kPartTolerance, 1.0) * (left - reserve(q));
            if (p->expectedS * kSpread <= allowed || kept - p->weight < classOf(q).leastShare + kPartMargin)
                continue;
            kept -= p->weight;
            p->over = true;
        }
        for (Part& p : q.parts)
            if (!p.over) firstSend(q, p);
    }

    // ---- events

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
                s.ratio = Mean{};
                s.f = Mean{kFailMemoryS};
                s.cut = s.down = false;
                s.wait = 0;
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
        s = Server{};
        s.goneAt = now;
        spare.push_back(i);
    }
    void on(const QueryArrived& e) {
        taken.push_back(now), keepLookBack();
        if (queries.contains(e.id)) return;  // twice: one end is owed, and the first is held
        const auto& cs = set.classes;
        const auto klass = std::find_if(cs.begin(), cs.end(), [&](auto& c) { return c.name == e.klass; });
        if (klass == cs.end() || e.expires <= now || e.parts <= 0) return act(Refuse{e.id, 0});
        arrivals.add(now, 1);
        Query q;
        q.id = e.id, q.number = e.number, q.key = e.key;
        while (!blamed.empty() && blamed.front().first <= now - nanos(kWindowS)) blamed.pop_front();
        q.careful = std::any_of(blamed.begin(), blamed.end(), [&](auto& b) { return b.second == q.key; });
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
        Part& p = *std::find_if(q.parts.begin(), q.parts.end(), [&](auto& x) { return x.id == e.id; });
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
        if (e.outcome == Outcome::served || e.outcome == Outcome::turnedAway) {
            reached(s);
        } else if (s.cut) {
            s.down = true;
            for (Record& r : s.classes) r.f = Mean{kFailMemoryS};
            s.f = Mean{kFailMemoryS};  // it died: what broke on it says nothing about how it serves once back
        }
    }
    // Who was down and is back has started anew and is cold, whatever the list says so far.
    void reached(Server& s) {
        if (s.cut && s.down) s.backAt = now, s.coldAt = now + nanos(draw() * seconds(coldGap(s)));
        s.cut = s.down = false;
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

}  // namespace firkeel
