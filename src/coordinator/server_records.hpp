// t, f and score of a server for a class, and what outcomes and reports teach. Guards: E2, E4, E5, E6, E8,
// E11.
#pragma once

#include "coordinator/state.hpp"

namespace beechpoint::coordinator {

constexpr double kFailTarget = 0.4;    // f_user: a smaller one crowds a half-broken shard's sound ones
constexpr double kQueueMemory = 2;     // E11: a reported queue is remembered for so many times its wait
constexpr double kReportWeight = 2;    // E11: in own answers of late
constexpr double kQueueLeast = 2;      // E11: a shorter queue is chance
constexpr double kMostReported = 1e6;  // E11: a figure beyond this is no report
constexpr double kColdMargin = 1.5;    // E4: capacity of a warm server over what it is sent, at least

struct CoordinatorRecords : CoordinatorState {
    using CoordinatorState::CoordinatorState;
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
        return std::max(t, s.classes[klass].silence(now)) + waitAt(s) + full;
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
    double failuresOf(int server, std::size_t klass) const {
        const Server& s = at(server);
        return s.classes[klass].f.value(lore, s.f.value(lore, 0, 2), 2);
    }
    Scored score(int server, std::size_t klass) {
        Scored r{server, timeOf(server, klass), failuresOf(server, klass), 0};
        r.s = scoreOf(r.t, r.f, gainTarget(klass), kFailTarget);
        // E6. A score of a is as bad as losing the part: a crossing that costs some share of the worth costs
        // that share of a. Could hurt where a zone is crowded.
        if (at(server).entry.zone != set.zone) r.s += kDropAbove * set.crossZoneCost;
        return r;
    }

    void learn(const Out& o, Outcome outcome, Nanos took) {
        Server& s = at(o.server);
        Record& r = s.classes[o.klass];
        const double normal = seconds(took) / (1 + aheadWeight() * static_cast<double>(o.ahead));
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
        if (outcome == Outcome::turnedAway)
            return void(s.fullUntil = now + nanos(r.t.value(lore, fleetTime(o.klass))));
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
        if (!served)
            return say("server fails", s.entry.id + ", failure share " + std::to_string(s.f.value(lore, 0)));
        r.lastServed = now;
        reached(s);
        fleet[o.klass].add(lore, normal);
        r.keepTime(seconds(took));
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
    // Who was down and is back has started anew and is cold, whatever the list says so far.
    void reached(Server& s) {
        if (s.cut && s.down) s.backAt = now, s.coldAt = now + nanos(draw() * seconds(coldGap(s)));
        s.cut = s.down = false;
    }
};

}  // namespace beechpoint::coordinator
