// Cost of planning a query with 2,000 slices compared with the fixed ring, and of move plans, greedy compared
// with the solver.
#include <benchmark/benchmark.h>

#include "fleets.hpp"
#include "layout/layout.hpp"

namespace {

using namespace beechpoint::layout;

LayoutPtr ringLayout(int count) {
    std::vector<std::pair<std::string, int>> hosts;
    for (int h = 0; h < 200; ++h) hosts.emplace_back("host-" + std::to_string(h), h);
    return Layout::ring(count, 200, 2, hosts);
}

std::vector<std::string> keyNames(std::size_t count) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i) all.push_back("consignment-" + std::to_string(i * 7919));
    return all;
}

// A query over `range(1)` keys, usually each in a different slice. Reports the time per part.
void planByKeys(benchmark::State& state) {
    const LayoutPtr layout = ringLayout(static_cast<int>(state.range(0)));
    const auto keys = keyNames(20'000);
    const auto parts = static_cast<std::size_t>(state.range(1));
    std::size_t at = 0, planned = 0;
    for (auto _ : state) {
        std::vector<std::string_view> wanted;
        for (std::size_t i = 0; i < parts; ++i) wanted.push_back(keys[at++ % keys.size()]);
        const QueryPlan plan = planKeys(layout, wanted);
        planned += plan.parts.size();
        benchmark::DoNotOptimize(plan.parts.data());
    }
    state.counters["s_per_part"] = benchmark::Counter(
        static_cast<double>(planned), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(planByKeys)->Args({30, 6})->Args({2000, 6})->Args({2000, 400});

// The platform's fixed ring: the client names consecutive slices, and their cells are computed.
void planByRing(benchmark::State& state) {
    const int shards = 2000, cells = 200;
    int first = 0;
    std::size_t planned = 0;
    for (auto _ : state) {
        std::vector<std::pair<int, int>> parts;
        for (int i = 0; i < 6; ++i) {
            const int shard = (first + i) % shards;
            parts.emplace_back(shard % cells, (shard + 1) % cells);
        }
        first = (first + 13) % shards;
        planned += parts.size();
        benchmark::DoNotOptimize(parts.data());
    }
    state.counters["s_per_part"] = benchmark::Counter(
        static_cast<double>(planned), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(planByRing);

void planAllSlices(benchmark::State& state) {
    const LayoutPtr layout = ringLayout(2000);
    for (auto _ : state) benchmark::DoNotOptimize(planAll(layout).parts.data());
    state.counters["s_per_part"] =
        benchmark::Counter(2000, benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(planAllSlices);

// Complete move plans over five random fleets: range(0) hosts, range(1) slices, range(2) = 1 enables the
// solver.
void planMoves(benchmark::State& state) {
    const PlanLimits limits{24, 0.2, state.range(2) ? 5'000 : 0};
    double bytes = 0, excess = 0, before = 0, maxUtilization = 0, timedOut = 0, sites = 0;
    std::uint64_t seed = 0;
    for (auto _ : state) {
        const Fleet fleet = test::randomFleet(1 + seed++ % 5, static_cast<std::size_t>(state.range(0)),
                                              static_cast<std::size_t>(state.range(1)));
        const MovePlan p = plan(fleet, limits);
        bytes += p.bytes / 1e9;
        excess += p.excessAfter;
        before += p.excessBefore;
        maxUtilization += p.maxUtilizationAfter;
        sites += static_cast<double>(p.sameSiteAfter);
        timedOut += p.solverTimedOut ? 1 : 0;
    }
    const auto mean = benchmark::Counter::kAvgIterations;
    state.counters["GB"] = benchmark::Counter(bytes, mean);
    state.counters["excess_before"] = benchmark::Counter(before, mean);
    state.counters["excess_after"] = benchmark::Counter(excess, mean);
    state.counters["worst_after"] = benchmark::Counter(maxUtilization, mean);
    state.counters["same_site_after"] = benchmark::Counter(sites, mean);
    state.counters["ran_out"] = benchmark::Counter(timedOut, mean);
}
BENCHMARK(planMoves)
    ->Args({12, 80, 0})
    ->Args({12, 80, 1})
    ->Args({60, 600, 0})
    ->Args({60, 600, 1})
    ->Args({200, 2000, 0})
    ->Args({200, 2000, 1})
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
