// A query's parts together: its answer, its second step, its end. Guards: E9, E10.
#pragma once

#include "coordinator/sending.hpp"

namespace beechpoint::coordinator {

constexpr int kKills = 2;      // E9: servers lost under a query of which no part was served: it is to blame
constexpr double kLeft = 0.5;  // E10: clients seen to leave of late, from which on it acts
constexpr double kPatience = 0.9;      // E10: share of the time at which they left
constexpr double kFirstReserve = 0.2;  // second step's share of the aim until one has been timed

struct CoordinatorGather : CoordinatorSending {
    using CoordinatorSending::CoordinatorSending;
    double weightIn(const Query& q) const {
        double sum = 0;
        for (const Part& p : q.parts) sum += p.in ? p.weight : 0;
        return sum;
    }
    bool allIn(const Query& q) const {
        return static_cast<int>(q.parts.size()) >= q.expected && std::ranges::all_of(q.parts, &Part::in);
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
        for (Part& p : q.parts) cancel(p), partOf.erase(p.id);
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
    bool lostUnder(Query& q, int server) {  // true: q was given up
        if (std::exchange(q.lastLost, server) == server) return false;
        q.careful = q.step == 1 && std::ranges::none_of(q.parts, &Part::in);
        if (!q.careful || ++q.lost < kKills) return false;
        say("blamed", "a query of class " + classOf(q).name + " under which servers were lost");
        if (!q.key.empty()) blamed.emplace_back(now, q.key);
        act(Fail{q.id});
        end(q);
        return true;
    }
    void answer(Query& q, bool whole) {
        act(Answer{q.id, whole});
        if (opens(q)) {
            const auto in = std::ranges::count_if(q.parts, &Part::in);
            q.expected = std::min(classOf(q).secondStep, static_cast<int>(in));
            q.firstWhole = whole, q.step = 2, q.stepAt = now;
            return dropParts(q);
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
        if (mayAnswer && in > 0 && (allIn(q) || whole)) return answer(q, q.step == 1 || q.firstWhole);
        const bool enough = mayAnswer && partial(q) && in >= c.leastShare - 1e-6 && in > 0;
        const auto live = [](auto& p) { return !p.in && (p.waiting || p.outCount() > 0); };
        const bool stuck = std::ranges::none_of(q.parts, live);
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
};

}  // namespace beechpoint::coordinator
