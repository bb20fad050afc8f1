/// Control members, gateways and the platform in virtual time, for the singleton duties. The members run the real DutyServiceState, the gateways the
/// real UsageReportState; the replicated table is modelled: a list of decided views, and one committed table that is changed only through
/// the head of the newest view, which members see late. A seed draws all faults.
///
///   fault                    | effect
///   member killed            | forgets all, comes back under another session
///   member frozen            | runs nothing; what has come for it meanwhile is seen after waking
///   member cut from control  | sees no view, commit or confirmation; its proposals are lost
///   member cut from platform | its calls are lost
///   view flaps               | a healthy member is left out and taken in again
///   platform                 | down, slow (over the caller's timeout too), loses answers, 429
///   gateway killed           | counts of up to its last report are lost, comes back under another session
///   clocks                   | less than half of the gateways' and members' times of day are off by hours
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
    Millis end = 60'000;  ///< healthy from faultsUntil on
};

struct SimulationResult {
    PlatformBook book{0};
    std::vector<std::string>
        countErrors;  ///< reports off by more than the tolerance, where no gateway is killed
    std::size_t committedIntents = 0;
    std::size_t views = 0;
    std::size_t faults = 0;
    std::size_t proposalsLost = 0;
};

[[nodiscard]] SimulationResult simulateDuties(const SimulationSettings& settings);

}  // namespace beechpoint::duties
