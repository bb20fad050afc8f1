/// The gateway's figures on its metrics page.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "gateway/answer_fault.hpp"
#include "gateway/close_delimited_ends.hpp"
#include "gateway/request_end_counts.hpp"
#include "net/connection_budget.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

struct GatewayFigures {
    struct HostList {
        std::size_t hosts = 0;
        Millis age = 0;  ///< since it was last read or confirmed
    };

    bool ready = false;
    bool draining = false;
    Position tablePosition;
    Millis sinceControlAnswered = 0;
    std::uint32_t liveGateways = 0;    ///< 0: not known
    std::optional<HostList> hostList;  ///< nothing: none known yet
    std::size_t clientConnections = 0;
    std::size_t clientMemory = 0;       ///< bytes that clients' connections and requests hold
    std::size_t clientMemoryLimit = 0;  ///< of these
    net::OverloadCounts overload;
    std::size_t openRequests = 0;
    std::size_t openAttempts = 0;
    std::uint64_t routedRequests = 0;
    RequestEndCounts endCounts;
    AnswerFaultCounts answerFaults;
    CloseDelimitedEnds closeDelimitedEnds;
    AccessCounts accessCounts;
    std::uint64_t revision = 0;          ///< of the configuration in force
    std::size_t unreadable = 0;          ///< values of it that were left out
    std::optional<std::size_t> tenants;  ///< of the configuration; nothing: it has no list of tenants
    std::size_t hostConnections = 0;
    upstream::UpstreamCounts hostCounts;
};

/// The page in Prometheus' text format.
[[nodiscard]] std::string metricsPage(const GatewayFigures& figures);

}  // namespace beechpoint::gateway
