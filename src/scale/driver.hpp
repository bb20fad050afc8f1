// The course of a scale run: founding, filling, an idle stretch, configuration changes, host changes, the loss of a control
// member; what each stretch used and how long its changes took. Every wait has an end.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/logger.hpp"
#include "core/result.hpp"
#include "scale/cluster.hpp"
#include "scale/progress.hpp"
#include "scale/usage.hpp"

namespace beechpoint::scale {

struct Plan {
    std::size_t gateways = 30;
    std::size_t hosts = 630;
    std::size_t routes = 2700;  // one a tenant
    std::size_t services = 20;  // one a model
    std::size_t changes = 20;   // of the configuration, one route each
    Millis changeEvery = 1000;
    std::size_t hostChanges = 5;
    Millis hostChangeEvery = 3000;
    Millis idle = 10'000;
};

// Used in one stretch.
struct Use {
    Millis length = 0;
    std::array<Millis, kMembers> memberProcessor{};  // ms of processor time
    Millis gatewaysProcessor = 0;                    // of all hollow gateways together
    std::uint64_t gatewayBytes = 0;                  // payload between gateways and control, both ways
    std::uint64_t gatewaySegments = 0;
    std::uint64_t replies = 0;    // polls answered
    std::uint64_t peerBytes = 0;  // payload between members
    std::uint64_t platformBytes = 0;
};

struct Outcome {
    Millis founded = 0;       // from the start of the members to a view of all of them
    Millis filled = 0;        // from the first acknowledgement until every gateway has table and hosts
    std::size_t counted = 0;  // gateways that know how many gateways there are, after the filling
    Use idle, changing, hostChanging;
    Delays changes, hostChanges;
    std::vector<Millis> acknowledgements;  // how long each change took to be acknowledged
    std::optional<Delays> afterLoss;       // of a change sent at the loss of a member; none: not acknowledged
    Millis afterLossAcknowledged = 0;
    std::size_t gatewaysOfLost = 0;                      // polls that waited at the member that was lost
    std::array<std::uint64_t, kMembers> memberMemory{};  // resident bytes before the loss
    std::uint64_t gatewaysMemory = 0;                    // grown by the gateways since before they were made
};

// Error: a stretch that must succeed did not in time.
Result<Outcome> runScale(Cluster& cluster, const Plan& plan, const Clock& clock, Logger& logger);

}  // namespace beechpoint::scale
