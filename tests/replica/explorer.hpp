// Systematic exploration of the replicas by deviations from deterministic runs: every single one at every point of a run, and
// pairs of which the second follows the first.
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

// Points of a run are visited each so many; 1: all, 0: none.
struct Strides {
    std::size_t single = 1;
    std::size_t pairFirst = 0;   // first deviations that get a second one
    std::size_t pairSecond = 1;  // second deviations of each
    std::vector<Step> steps{};   // where deviations are tried; empty: everywhere but at heartbeats
    std::size_t offset = 0;      // where the visits begin
};

struct Fault {
    std::string scenario;
    std::string plan;
    std::string failure;
    std::size_t run = 0;  // in how many runs it was found
};

struct Findings {
    std::size_t runs = 0;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t unfinished = 0;  // runs that did not end complete
    std::unordered_set<std::uint64_t> states;
    std::array<std::size_t, kDeviations> byDeviation{};
    std::array<std::size_t, kSteps> byStep{};
    std::vector<Fault> faults;
    std::vector<std::string> unfinishedPlans;  // though no more disks were lost than is tolerated

    std::string report() const;
};

class Explorer {
public:
    // Stops at the first fault, or after so many runs.
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
