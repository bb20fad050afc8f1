#include "layout/planner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace beechpoint::layout {

namespace {

constexpr std::size_t kMaxSlicesPerHost = 30;    // candidates: the heaviest slices of an overloaded host
constexpr std::size_t kMaxTargetsPerSlice = 12;  // candidates: the hosts with the most headroom

// Load of each host, updated by moves.
class HostLoads {
public:
    HostLoads(const Fleet& fleet, double margin)
        : fleet_(fleet), margin_(margin), load_(fleet.hosts.size(), 0) {
        for (const FleetSlice& s : fleet.slices)
            for (const std::size_t h : s.holders) load_[h] += loadPerHolder(s);
    }
    static double loadPerHolder(const FleetSlice& s) {
        return s.load / static_cast<double>(std::max<std::size_t>(1, s.holders.size()));
    }
    double utilization(std::size_t h) const { return load_[h] / fleet_.hosts[h].capacity; }
    double headroom(std::size_t h) const { return fleet_.hosts[h].capacity * (1 - margin_) - load_[h]; }
    double maxUtilization() const {
        double highest = 0;
        for (std::size_t h = 0; h < load_.size(); ++h) highest = std::max(highest, utilization(h));
        return highest;
    }
    double excess() const {
        double sum = 0;
        for (std::size_t h = 0; h < load_.size(); ++h) sum += std::max(0.0, -headroom(h));
        return sum;
    }
    void move(const FleetSlice& s, std::size_t from, std::size_t to) {
        load_[from] -= loadPerHolder(s);
        load_[to] += loadPerHolder(s);
    }

private:
    const Fleet& fleet_;
    double margin_;
    std::vector<double> load_;
};

void validateFleet(const Fleet& fleet) {
    for (const FleetSlice& s : fleet.slices) {
        std::set<std::size_t> seen;
        for (const std::size_t h : s.holders) {
            if (h >= fleet.hosts.size())
                throw InvalidLayout(fmt::format("slice {}: host index {} is out of range", s.id, h));
            if (!seen.insert(h).second)
                throw InvalidLayout(
                    fmt::format("slice {}: host {} is listed twice", s.id, fleet.hosts[h].name));
        }
        if (s.holders.empty()) throw InvalidLayout(fmt::format("slice {}: no holders", s.id));
    }
}

bool hasSharedSite(const Fleet& fleet, const FleetSlice& s) {
    for (std::size_t i = 0; i < s.holders.size(); ++i)
        for (std::size_t j = i + 1; j < s.holders.size(); ++j)
            if (fleet.hosts[s.holders[i]].site == fleet.hosts[s.holders[j]].site) return true;
    return false;
}

std::size_t countSharedSites(const Fleet& fleet) {
    return static_cast<std::size_t>(
        std::count_if(fleet.slices.begin(), fleet.slices.end(),
                      [&](const FleetSlice& s) { return hasSharedSite(fleet, s); }));
}

// Whether replacing holder `from` by `to` leaves all holders of the slice in different sites.
bool keepsSitesDistinct(const Fleet& fleet, const FleetSlice& s, std::size_t from, std::size_t to) {
    for (const std::size_t h : s.holders)
        if (h == to || (h != from && fleet.hosts[h].site == fleet.hosts[to].site)) return false;
    return true;
}

std::string moveReason(const Fleet& fleet, const HostLoads& before, const Candidate& c,
                       bool resolvesSharedSite) {
    const std::string &from = fleet.hosts[c.from].name, &to = fleet.hosts[c.to].name;
    if (resolvesSharedSite)
        return fmt::format("slice {} has two holders in site {}; {} is in {}", fleet.slices[c.slice].id,
                           fleet.hosts[c.from].site, to, fleet.hosts[c.to].site);
    return fmt::format("{} is at {:.0f}% of its capacity, {} at {:.0f}%", from,
                       before.utilization(c.from) * 100, to, before.utilization(c.to) * 100);
}

// Builds the plan for these moves, with its reasons and statistics.
MovePlan buildPlan(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& moves) {
    MovePlan plan;
    HostLoads loads(fleet, limits.margin);
    const HostLoads before = loads;
    plan.maxUtilizationBefore = loads.maxUtilization();
    plan.excessBefore = loads.excess();
    plan.sameSiteBefore = countSharedSites(fleet);
    Fleet after = fleet;
    for (const Candidate& c : moves) {
        const FleetSlice& s = fleet.slices[c.slice];
        const bool isSiteMove = hasSharedSite(fleet, s);
        plan.moves.push_back({{s.id, fleet.hosts[c.from].name, fleet.hosts[c.to].name},
                              s.bytes,
                              moveReason(fleet, before, c, isSiteMove)});
        plan.bytes += s.bytes;
        loads.move(s, c.from, c.to);
        std::replace(after.slices[c.slice].holders.begin(), after.slices[c.slice].holders.end(), c.from,
                     c.to);
    }
    plan.maxUtilizationAfter = loads.maxUtilization();
    plan.excessAfter = loads.excess();
    plan.sameSiteAfter = countSharedSites(after);
    return plan;
}

std::vector<std::size_t> hostsByHeadroom(const Fleet& fleet, const HostLoads& loads) {
    std::vector<std::size_t> order(fleet.hosts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return loads.headroom(a) > loads.headroom(b); });
    return order;
}

// Candidate moves: away from hosts above their margin, and of slices whose holders share a site.
std::vector<Candidate> findCandidates(const Fleet& fleet, const PlanLimits& limits) {
    const HostLoads loads(fleet, limits.margin);
    const std::vector<std::size_t> targets = hostsByHeadroom(fleet, loads);
    std::vector<Candidate> out;
    const auto add = [&](std::size_t slice, std::size_t from) {
        std::size_t taken = 0;
        for (const std::size_t to : targets) {
            if (taken == kMaxTargetsPerSlice || loads.headroom(to) <= 0) break;
            if (!keepsSitesDistinct(fleet, fleet.slices[slice], from, to)) continue;
            out.push_back({slice, from, to});
            ++taken;
        }
    };
    std::vector<std::vector<std::size_t>> slicesOf(fleet.hosts.size());
    for (std::size_t s = 0; s < fleet.slices.size(); ++s) {
        if (hasSharedSite(fleet, fleet.slices[s])) {
            for (const std::size_t h : fleet.slices[s].holders) add(s, h);
            continue;
        }
        for (const std::size_t h : fleet.slices[s].holders)
            if (loads.headroom(h) < 0) slicesOf[h].push_back(s);
    }
    for (std::size_t h = 0; h < slicesOf.size(); ++h) {
        std::stable_sort(slicesOf[h].begin(), slicesOf[h].end(), [&](std::size_t a, std::size_t b) {
            return fleet.slices[a].load > fleet.slices[b].load;
        });
        for (std::size_t i = 0; i < std::min(slicesOf[h].size(), kMaxSlicesPerHost); ++i)
            add(slicesOf[h][i], h);
    }
    return out;
}

// Compares shared sites first, then load above the margin, then bytes.
bool isBetter(const MovePlan& a, const MovePlan& b) {
    if (a.sameSiteAfter != b.sameSiteAfter) return a.sameSiteAfter < b.sameSiteAfter;
    const double tolerance = 1e-6 * std::max(1.0, a.excessBefore);
    if (std::abs(a.excessAfter - b.excessAfter) > tolerance) return a.excessAfter < b.excessAfter;
    return a.bytes < b.bytes;
}

}  // namespace

MovePlan greedyPlan(const Fleet& fleet, const PlanLimits& limits) {
    validateFleet(fleet);
    HostLoads loads(fleet, limits.margin);
    std::vector<Candidate> moves;
    std::set<std::size_t> moved;
    const auto bestTarget = [&](std::size_t slice, std::size_t from) {
        for (const std::size_t to : hostsByHeadroom(fleet, loads))
            if (keepsSitesDistinct(fleet, fleet.slices[slice], from, to)) return to;
        return fleet.hosts.size();
    };
    const auto take = [&](const Candidate& c) {
        loads.move(fleet.slices[c.slice], c.from, c.to);
        moved.insert(c.slice);
        moves.push_back(c);
    };
    for (std::size_t s = 0; s < fleet.slices.size() && moves.size() < limits.maxMoves; ++s) {
        if (!hasSharedSite(fleet, fleet.slices[s])) continue;
        // Move away from the holder with the least headroom.
        std::size_t from = fleet.slices[s].holders.front();
        for (const std::size_t h : fleet.slices[s].holders)
            if (loads.headroom(h) < loads.headroom(from)) from = h;
        if (const std::size_t to = bestTarget(s, from); to < fleet.hosts.size()) take({s, from, to});
    }
    while (moves.size() < limits.maxMoves) {
        std::size_t hot = 0;
        for (std::size_t h = 1; h < fleet.hosts.size(); ++h)
            if (loads.headroom(h) < loads.headroom(hot)) hot = h;
        if (fleet.hosts.empty() || loads.headroom(hot) >= 0) break;
        // Pick the slice with the greatest load reduction per byte, net of the excess it causes on the
        // target.
        Candidate best{fleet.slices.size(), hot, 0};
        double bestGainPerByte = 0;
        for (std::size_t s = 0; s < fleet.slices.size(); ++s) {
            const FleetSlice& slice = fleet.slices[s];
            if (moved.contains(s) ||
                std::find(slice.holders.begin(), slice.holders.end(), hot) == slice.holders.end())
                continue;
            const std::size_t to = bestTarget(s, hot);
            if (to == fleet.hosts.size()) continue;
            const double movedLoad = HostLoads::loadPerHolder(slice);
            const double gain = std::min(-loads.headroom(hot), movedLoad) -
                                std::max(0.0, movedLoad - std::max(0.0, loads.headroom(to)));
            if (gain <= 0) continue;
            const double gainPerByte = gain / std::max(slice.bytes, 1e-9);
            if (gainPerByte > bestGainPerByte) {
                bestGainPerByte = gainPerByte;
                best = {s, hot, to};
            }
        }
        if (best.slice == fleet.slices.size()) break;
        take(best);
    }
    return buildPlan(fleet, limits, moves);
}

MovePlan plan(const Fleet& fleet, const PlanLimits& limits) {
    const MovePlan greedy = greedyPlan(fleet, limits);
    if (limits.solverTimeoutMs <= 0 || (greedy.excessBefore <= 0 && greedy.sameSiteBefore == 0))
        return greedy;
    const std::vector<Candidate> candidates = findCandidates(fleet, limits);
    std::vector<std::size_t> chosen;
    bool timedOut = false;
    const bool found = solve(fleet, limits, candidates, chosen, timedOut);
    std::vector<Candidate> moves;
    if (found)
        for (const std::size_t i : chosen) moves.push_back(candidates[i]);
    MovePlan solved = buildPlan(fleet, limits, moves);
    solved.fromSolver = true;
    MovePlan best = found && isBetter(solved, greedy) ? std::move(solved) : greedy;
    best.solverTimedOut = timedOut;
    return best;
}

}  // namespace beechpoint::layout
