// What is refused at its arrival, and which parts are left out. Guard: E7.
#pragma once

#include "coordinator/gather.hpp"

namespace beechpoint::coordinator {

constexpr double kSpread = 1.5;         // slowest of a query's parts against the slowest expected one
constexpr double kPartTolerance = 0.4;  // E7: even the lightest part is asked within this share of the time
constexpr double kPartMargin = 0.2;     // E7: weight kept beyond the least share, for parts that do not come
constexpr double kCheap = 0.35;         // of the time left: what is worth least for its work may take so long
constexpr double kOverShare = 1.5;      // a tenant is over its share from this multiple on: traffic is uneven
constexpr double kSure = 2;             // standard deviations by which chance must be ruled out there

struct CoordinatorAdmission : CoordinatorGather {
    using CoordinatorGather::CoordinatorGather;
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
        std::ranges::sort(times);
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
            std::ranges::stable_sort(q.parts, std::greater{}, &Part::weight);
        const double expect = expectedTime(q);
        const double left = seconds(std::min(q.aimAt, q.expires) - now);
        const bool full = set.openCap > 0 && held > 0.85 * set.openCap && tolerance < 1;
        if (full || expect > tolerance * left) {
            say("refusing",
                "work would take " + std::to_string(expect) + " s of " + std::to_string(left) + " s left");
            return giveUp(q, std::max(0.1, expect - left / 2));
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
};

}  // namespace beechpoint::coordinator
