// Systematic exploration of the replicas by deviations from deterministic runs: every single deviation at every point of a run,
// and pairs in which the second follows the first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "explore_world.hpp"

namespace beechpoint::replica::exploration {

// Strides over the points of a run; 1: all points, 0: none.
struct Strides {
    std::size_t single = 1;
    std::size_t pairFirst = 0;   // stride of first deviations that get a second one
    std::size_t pairSecond = 1;  // stride of the second deviations of each
    std::vector<Step> steps{};   // steps at which deviations are tried; empty: all except heartbeats
    std::size_t offset = 0;      // first visited point
};

struct Fault {
    std::string scenario;
    std::string plan;
    std::string failure;
    std::size_t run = 0;  // number of the run that found it
};

struct Findings {
    std::size_t runs = 0;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t unfinished = 0;  // runs that ended incomplete
    std::unordered_set<std::uint64_t> states;
    std::array<std::size_t, kDeviations> byDeviation{};
    std::array<std::size_t, kSteps> byStep{};
    std::vector<Fault> faults;
    std::vector<std::string> unfinishedPlans;  // no more disks were lost than is tolerated

    std::string report() const;
};

class Explorer {
public:
    // Stops at the first fault or after this many runs.
    Explorer(Strides strides, std::size_t limit) : strides_(std::move(strides)), limit_(limit) {}

    void explore(const Scenario& scenario);
    const Findings& findings() const { return findings_; }
    bool done() const { return !findings_.faults.empty() || findings_.runs >= limit_; }

private:
    Outcome run(const Scenario& scenario, const Plan& plan, const std::vector<Point>& known);
    void extend(const Scenario& scenario, const Plan& plan, const std::vector<Point>& points,
                std::size_t from);
    bool open(const Point& point) const;

    Strides strides_;
    std::size_t limit_;
    std::size_t visit_ = 0;
    std::size_t first_ = 0;
    Findings findings_;
};

}  // namespace beechpoint::replica::exploration
