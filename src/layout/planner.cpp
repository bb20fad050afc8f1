#include "layout/planner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace beechpoint::layout {

namespace {

constexpr std::size_t kSlicesOfAHost = 30;  // candidates: a hot host's heaviest slices
constexpr std::size_t kTargets = 12;        // to the hosts with the most room

// What each host carries, and what a move changes.
class Loads {
public:
    Loads(const Fleet& fleet, double margin) : fleet_(fleet), margin_(margin), load_(fleet.hosts.size(), 0) {
        for (const FleetSlice& s : fleet.slices)
            for (const std::size_t h : s.holders) load_[h] += part(s);
    }
    static double part(const FleetSlice& s) {
        return s.load / static_cast<double>(std::max<std::size_t>(1, s.holders.size()));
    }
    double use(std::size_t h) const { return load_[h] / fleet_.hosts[h].capacity; }
    double room(std::size_t h) const { return fleet_.hosts[h].capacity * (1 - margin_) - load_[h]; }
    double worst() const {
        double most = 0;
        for (std::size_t h = 0; h < load_.size(); ++h) most = std::max(most, use(h));
        return most;
    }
    double excess() const {
        double sum = 0;
        for (std::size_t h = 0; h < load_.size(); ++h) sum += std::max(0.0, -room(h));
        return sum;
    }
    void move(const FleetSlice& s, std::size_t from, std::size_t to) {
        load_[from] -= part(s);
        load_[to] += part(s);
    }

private:
    const Fleet& fleet_;
    double margin_;
    std::vector<double> load_;
};

void check(const Fleet& fleet) {
    for (const FleetSlice& s : fleet.slices) {
        std::set<std::size_t> seen;
        for (const std::size_t h : s.holders) {
            if (h >= fleet.hosts.size())
                throw BadLayout(fmt::format("slice {}: there is no host number {}", s.id, h));
            if (!seen.insert(h).second)
                throw BadLayout(fmt::format("slice {}: host {} holds it twice", s.id, fleet.hosts[h].name));
        }
        if (s.holders.empty()) throw BadLayout(fmt::format("slice {}: no host holds it", s.id));
    }
}

bool sameSite(const Fleet& fleet, const FleetSlice& s) {
    for (std::size_t i = 0; i < s.holders.size(); ++i)
        for (std::size_t j = i + 1; j < s.holders.size(); ++j)
            if (fleet.hosts[s.holders[i]].site == fleet.hosts[s.holders[j]].site) return true;
    return false;
}

std::size_t sameSites(const Fleet& fleet) {
    return static_cast<std::size_t>(std::count_if(fleet.slices.begin(), fleet.slices.end(),
                                                  [&](const FleetSlice& s) { return sameSite(fleet, s); }));
}

// Whether the slice's holders would stand in different sites with one of them replaced.
bool fits(const Fleet& fleet, const FleetSlice& s, std::size_t from, std::size_t to) {
    for (const std::size_t h : s.holders)
        if (h == to || (h != from && fleet.hosts[h].site == fleet.hosts[to].site)) return false;
    return true;
}

std::string reason(const Fleet& fleet, const Loads& before, const Candidate& c, bool site) {
    const std::string &from = fleet.hosts[c.from].name, &to = fleet.hosts[c.to].name;
    if (site)
        return fmt::format("slice {} has two holders in site {}; {} stands in {}", fleet.slices[c.slice].id,
                           fleet.hosts[c.from].site, to, fleet.hosts[c.to].site);
    return fmt::format("{} carries {:.0f}% of its capacity, {} only {:.0f}%", from, before.use(c.from) * 100,
                       to, before.use(c.to) * 100);
}

// The plan that these moves make, told and measured.
MovePlan made(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& moves) {
    MovePlan plan;
    Loads loads(fleet, limits.margin);
    const Loads before = loads;
    plan.worstBefore = loads.worst();
    plan.excessBefore = loads.excess();
    plan.sameSiteBefore = sameSites(fleet);
    Fleet after = fleet;
    for (const Candidate& c : moves) {
        const FleetSlice& s = fleet.slices[c.slice];
        const bool site = sameSite(fleet, s);
        plan.moves.push_back({{s.id, fleet.hosts[c.from].name, fleet.hosts[c.to].name},
                              s.bytes,
                              reason(fleet, before, c, site)});
        plan.bytes += s.bytes;
        loads.move(s, c.from, c.to);
        std::replace(after.slices[c.slice].holders.begin(), after.slices[c.slice].holders.end(), c.from,
                     c.to);
    }
    plan.worstAfter = loads.worst();
    plan.excessAfter = loads.excess();
    plan.sameSiteAfter = sameSites(after);
    return plan;
}

std::vector<std::size_t> byRoom(const Fleet& fleet, const Loads& loads) {
    std::vector<std::size_t> order(fleet.hosts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return loads.room(a) > loads.room(b); });
    return order;
}

// Moves worth a look: out of hosts over their margin, and of slices whose holders share a site.
std::vector<Candidate> candidates(const Fleet& fleet, const PlanLimits& limits) {
    const Loads loads(fleet, limits.margin);
    const std::vector<std::size_t> roomy = byRoom(fleet, loads);
    std::vector<Candidate> out;
    const auto add = [&](std::size_t slice, std::size_t from) {
        std::size_t taken = 0;
        for (const std::size_t to : roomy) {
            if (taken == kTargets || loads.room(to) <= 0) break;
            if (!fits(fleet, fleet.slices[slice], from, to)) continue;
            out.push_back({slice, from, to});
            ++taken;
        }
    };
    std::vector<std::vector<std::size_t>> of(fleet.hosts.size());
    for (std::size_t s = 0; s < fleet.slices.size(); ++s) {
        if (sameSite(fleet, fleet.slices[s])) {
            for (const std::size_t h : fleet.slices[s].holders) add(s, h);
            continue;
        }
        for (const std::size_t h : fleet.slices[s].holders)
            if (loads.room(h) < 0) of[h].push_back(s);
    }
    for (std::size_t h = 0; h < of.size(); ++h) {
        std::stable_sort(of[h].begin(), of[h].end(), [&](std::size_t a, std::size_t b) {
            return fleet.slices[a].load > fleet.slices[b].load;
        });
        for (std::size_t i = 0; i < std::min(of[h].size(), kSlicesOfAHost); ++i) add(of[h][i], h);
    }
    return out;
}

// Sites first, then work over the margin, then bytes.
bool better(const MovePlan& a, const MovePlan& b) {
    if (a.sameSiteAfter != b.sameSiteAfter) return a.sameSiteAfter < b.sameSiteAfter;
    const double slack = 1e-6 * std::max(1.0, a.excessBefore);
    if (std::abs(a.excessAfter - b.excessAfter) > slack) return a.excessAfter < b.excessAfter;
    return a.bytes < b.bytes;
}

}  // namespace

MovePlan greedyPlan(const Fleet& fleet, const PlanLimits& limits) {
    check(fleet);
    Loads loads(fleet, limits.margin);
    std::vector<Candidate> moves;
    std::set<std::size_t> moved;
    const auto roomiest = [&](std::size_t slice, std::size_t from) {
        for (const std::size_t to : byRoom(fleet, loads))
            if (fits(fleet, fleet.slices[slice], from, to)) return to;
        return fleet.hosts.size();
    };
    const auto take = [&](const Candidate& c) {
        loads.move(fleet.slices[c.slice], c.from, c.to);
        moved.insert(c.slice);
        moves.push_back(c);
    };
    for (std::size_t s = 0; s < fleet.slices.size() && moves.size() < limits.moves; ++s) {
        if (!sameSite(fleet, fleet.slices[s])) continue;
        // Of the two, the fuller host is relieved.
        std::size_t from = fleet.slices[s].holders.front();
        for (const std::size_t h : fleet.slices[s].holders)
            if (loads.room(h) < loads.room(from)) from = h;
        if (const std::size_t to = roomiest(s, from); to < fleet.hosts.size()) take({s, from, to});
    }
    while (moves.size() < limits.moves) {
        std::size_t hot = 0;
        for (std::size_t h = 1; h < fleet.hosts.size(); ++h)
            if (loads.room(h) < loads.room(hot)) hot = h;
        if (fleet.hosts.empty() || loads.room(hot) >= 0) break;
        // The slice that relieves it most for its bytes, and does not only carry the trouble elsewhere.
        Candidate best{fleet.slices.size(), hot, 0};
        double most = 0;
        for (std::size_t s = 0; s < fleet.slices.size(); ++s) {
            const FleetSlice& slice = fleet.slices[s];
            if (moved.contains(s) ||
                std::find(slice.holders.begin(), slice.holders.end(), hot) == slice.holders.end())
                continue;
            const std::size_t to = roomiest(s, hot);
            if (to == fleet.hosts.size()) continue;
            const double part = Loads::part(slice);
            const double gain =
                std::min(-loads.room(hot), part) - std::max(0.0, part - std::max(0.0, loads.room(to)));
            if (gain <= 0) continue;
            const double worth = gain / std::max(slice.bytes, 1e-9);
            if (worth > most) {
                most = worth;
                best = {s, hot, to};
            }
        }
        if (best.slice == fleet.slices.size()) break;
        take(best);
    }
    return made(fleet, limits, moves);
}

MovePlan plan(const Fleet& fleet, const PlanLimits& limits) {
    const MovePlan greedy = greedyPlan(fleet, limits);
    if (limits.solverMs <= 0 || (greedy.excessBefore <= 0 && greedy.sameSiteBefore == 0)) return greedy;
    const std::vector<Candidate> all = candidates(fleet, limits);
    std::vector<std::size_t> chosen;
    bool ranOut = false;
    const bool found = solve(fleet, limits, all, chosen, ranOut);
    std::vector<Candidate> moves;
    if (found)
        for (const std::size_t i : chosen) moves.push_back(all[i]);
    MovePlan solved = made(fleet, limits, moves);
    solved.bySolver = true;
    MovePlan best = found && better(solved, greedy) ? std::move(solved) : greedy;
    best.solverRanOut = ranOut;
    return best;
}

}  // namespace beechpoint::layout
