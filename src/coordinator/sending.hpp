// First sends, copies and fail-over, within the budgets. Guards: E1, E9.
#pragma once

#include "coordinator/failure_tree.hpp"
#include "coordinator/ranking.hpp"

namespace beechpoint::coordinator {

constexpr double kOverdue = 2;   // E1: no copy before this many mean times: half of all work ends sooner
constexpr double kLastCall = 3;  // E1: nor while so many times the other replica's t are left: it may come
constexpr double kCalmShare = 0.25;    // E1: mean time over aim above which everything is slow: no copies
constexpr double kFurtherShare = 0.2;  // further sends per part at most: below the design's 3 in 10
constexpr double kFurtherFree = 3;  // and these on top in a window, so that a quiet coordinator can fail over
constexpr double kCopyPart = 0.5;   // share of that allowance for copies; the rest is kept for failures
constexpr double kLateWorthLeast = 0.2;      // late answers worth less than this are not waited for
constexpr Nanos kAnswerMargin = 10'000'000;  // for the answer's way to the client, beside the sweep's grain

struct CoordinatorSending : CoordinatorRanking {
    using CoordinatorRanking::CoordinatorRanking;
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
    // - A query is held until an action ends it, or its client has gone. While one is held a timer is out,
    //   and any event makes the sweep that is due: sweeps are at most a grain and a tick apart.
    // - A sweep past endOf ends the query, so its end comes by endOf + grain + tick <= expires. What slack
    //   and margin leave over is for batches that come late.
    // - A first answer ends nothing: its second step opens with the next batch, a tick later, and an end
    //   before that may not count, with no other to follow. So the first step ends a grain, two ticks, before
    //   the second, and nothing is answered past its end: in the same batch, a step opens first.
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
        return q.careful && std::ranges::any_of(q.parts, [](auto& p) { return p.outCount() > 0; });
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
        out[{p.id, static_cast<int>(p.attempts.size())}] = Out{server, q.klass, now, s.out};
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
        p.width = copiesAllowed(q) && calm(q.klass) && !q.careful ? widthOf(w, q.klass) : 1;
        if (p.width == 1) return void(send(q, p, weightedDraw(w, draw()), false));
        double f = 0;
        for (int i = 0; i < p.width; ++i) {
            send(q, p, w[static_cast<std::size_t>(i)].server, true);
            f += w[static_cast<std::size_t>(i)].f / p.width;
        }
        p.copiesAlone = f >= kErroneous;
    }

    // The tree, after an attempt at `failed` ended without an answer.
    void failover(Query& q, Part& p, int failed) {
        if (holdBack(q)) return void(p.waiting = p.outCount() == 0);
        if (!failsOver(p.outCount(), p.width, p.copiesAlone)) return;
        const std::vector<Scored> all = ranked(q, p);
        const std::vector<Scored> w = passing(all);
        if (w.empty()) return void(p.waiting = mayTryAgain(q, p));
        const auto tried = [&](int server) { return p.triedAt(server, false); };
        const int target = nextTarget(all, w, failed, tried);
        if (now + nanos(timeOf(target, q.klass) / 2) > endOf(q)) return;  // hopeless
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
        const auto a = std::ranges::find_if(p.attempts, &Attempt::out);
        const double mean = fleetTime(q.klass);
        double siblings = 0, count = 0;  // how heavy the query is, told by its parts that are in
        for (const Part& other : q.parts)
            if (other.in) siblings += other.tookS / mean, ++count;
        const double heavy = count > 1 ? std::max(1.0, siblings / count) : 1.0;
        const double age = seconds(now - a->sentAt) / heavy;
        if (age < kOverdue * mean) return;
        const double quiet = at(a->server).classes[q.klass].silence(now);
        if (!calm(q.klass) && quiet < 3 * mean) return;
        const double rest = std::max(age, quiet);
        const std::vector<Scored> w = passing(ranked(q, p));
        if (w.empty() || rest - w.front().t < gainTarget(q.klass)) return;
        if (now + nanos(w.front().t / 2) > endOf(q) || now + nanos(kLastCall * w.front().t) < endOf(q))
            return;
        send(q, p, w.front().server, true);
    }
};

}  // namespace beechpoint::coordinator
