#include "explorer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::replica::exploration {

namespace {

std::string describe(const Plan& plan, const std::vector<Point>& points) {
    std::string all;
    for (const auto& [point, deviation] : plan) {
        const char* step = point < points.size() ? nameOf(points[point].step) : "?";
        all += fmt::format("{}{} {} at point {}", all.empty() ? "" : ", ", step, nameOf(deviation), point);
    }
    return all.empty() ? "no deviation" : all;
}

// The system must become available again if no more disks are lost than is tolerated. With more lost disks the state must remain
// correct but need not be available.
bool mustEndWhole(const Scenario& scenario, const Plan& plan) {
    const auto wiped = std::ranges::count(plan, Deviation::wiped, &Plan::value_type::second);
    return scenario.disksLost + static_cast<std::size_t>(wiped) <= 1;
}

}  // namespace

std::string Findings::report() const {
    std::string text = fmt::format(
        "{} runs, {} distinct states, {} writes acknowledged, {} reads, {} runs that did not end complete\n",
        runs, states.size(), acknowledged, reads, unfinished);
    text += "deviations by kind:";
    for (std::size_t kind = 0; kind < kDeviations; ++kind)
        text += fmt::format(" {} {},", nameOf(static_cast<Deviation>(kind)), byDeviation[kind]);
    text += "\ndeviations by what they met:";
    for (std::size_t step = 0; step < kSteps; ++step)
        text += fmt::format(" {} {},", nameOf(static_cast<Step>(step)), byStep[step]);
    text += "\n";
    for (const std::string& plan : unfinishedPlans) text += "did not end complete: " + plan + "\n";
    for (const Fault& fault : faults)
        text += fmt::format("FAULT in run {}: {}: {}: {}\n", fault.run, fault.scenario, fault.plan,
                            fault.failure);
    return text;
}

Outcome Explorer::run(const Scenario& scenario, const Plan& plan, const std::vector<Point>& known) {
    Outcome outcome = World(scenario, plan, findings_.states).run();
    ++findings_.runs;
    findings_.acknowledged += outcome.acknowledged;
    findings_.reads += outcome.reads;
    for (const auto& [point, deviation] : plan) {
        ++findings_.byDeviation[static_cast<std::size_t>(deviation)];
        if (point < known.size()) ++findings_.byStep[static_cast<std::size_t>(known[point].step)];
    }
    if (!outcome.failure.empty()) {
        findings_.faults.push_back({scenario.name, describe(plan, known), outcome.failure, findings_.runs});
    } else if (!outcome.complete) {
        ++findings_.unfinished;
        if (mustEndWhole(scenario, plan))
            findings_.unfinishedPlans.push_back(scenario.name + ": " + describe(plan, known));
    }
    return outcome;
}

bool Explorer::open(const Point& point) const {
    if (!point.open) return false;
    if (strides_.steps.empty()) return point.step != Step::heartbeat;
    return std::ranges::find(strides_.steps, point.step) != strides_.steps.end();
}

// Adds one deviation at each of the points from `from` on.
void Explorer::extend(const Scenario& scenario, const Plan& plan, const std::vector<Point>& points,
                      std::size_t from) {
    const std::size_t stride = plan.empty() ? strides_.single : strides_.pairSecond;
    for (std::size_t point = from; point < points.size(); ++point) {
        if (!open(points[point])) continue;
        for (std::size_t kind = 0; kind < kDeviations; ++kind) {
            const auto deviation = static_cast<Deviation>(kind);
            if (ofMessage(deviation) != points[point].message) continue;
            if (done()) return;
            if ((strides_.offset + visit_++) % stride != 0) continue;
            Plan longer = plan;
            longer[point] = deviation;
            const Outcome outcome = run(scenario, longer, points);
            const bool goOn = plan.empty() && strides_.pairFirst > 0 && first_++ % strides_.pairFirst == 0;
            if (goOn) extend(scenario, longer, outcome.points, point + 1);
        }
    }
}

void Explorer::explore(const Scenario& scenario) {
    if (done()) return;
    const Outcome base = run(scenario, {}, {});
    if (strides_.single > 0) extend(scenario, {}, base.points, 0);
}

}  // namespace beechpoint::replica::exploration
