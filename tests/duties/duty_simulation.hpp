/// Deterministic simulation of the singleton duties in virtual time: control members, gateways and the platform. Members run the real
/// DutyServiceState, gateways the real UsageReportState. The replicated table is a model: a list of decided views, and one committed table that
/// changes only through the head of the newest view and that members see with a delay. The seed determines all faults.
///
///   fault                    | effect
///   member killed            | loses its state, restarts with a new session
///   member frozen            | executes nothing; pending events are processed after it resumes
///   member cut from control  | sees no view, commit or confirmation; its proposals are lost
///   member cut from platform | its calls are lost
///   view flaps               | a healthy member is removed and added again
///   platform                 | down, slow (possibly beyond the caller's timeout), loses responses, 429
///   gateway killed           | counts since its last report are lost, restarts with a new session
///   clocks                   | fewer than half of the gateways' and members' clocks are off by hours
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform_book.hpp"

namespace beechpoint::duties {

struct SimulationSettings {
    std::uint64_t seed = 0;
    bool killsGateways = false;
    Millis faultsUntil = 35'000;
    Millis end = 60'000;  ///< no faults from faultsUntil on
};

struct SimulationResult {
    PlatformModel platformModel{0};
    std::vector<std::string>
        countErrors;  ///< reports off by more than the tolerance, where no gateway is killed
    std::size_t committedIntents = 0;
    std::size_t views = 0;
    std::size_t faults = 0;
    std::size_t proposalsLost = 0;
};

[[nodiscard]] SimulationResult simulateDuties(const SimulationSettings& settings);

}  // namespace beechpoint::duties
