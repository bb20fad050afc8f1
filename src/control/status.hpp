/// Status of a control member for operators and monitoring: GET /status as JSON, GET /metrics as text.
/// It contains this member's local state only, so two members may differ temporarily. Without I/O or state; must be called
/// from the event loop's thread, which owns the replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/duty_service_state.hpp"
#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "leases/lease_table.hpp"
#include "net/connection_budget.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

inline constexpr std::string_view kStatusPath = "/status";
inline constexpr std::string_view kMetricsPath = "/metrics";

struct HostListStatus {
    std::size_t hosts = 0;
    Millis age = 0;  ///< since it was last read or confirmed
};

/// The answer to GET /status, before it is rendered. Filled by Control, GatewayService::describe() and describeReplica().
struct MemberStatus {
    std::string member;  ///< its own name
    std::string zone;
    bool inView = false;
    bool fresh = false;     ///< may answer gateways' polls
    bool writable = false;  ///< the head of the chain, with nothing in flight
    replica::View view;
    Position position;
    std::uint64_t revision = 0;  ///< of the configuration
    std::vector<std::string> evacuatedZones;
    std::vector<leases::ReportedLease> leases;  ///< those that run
    Millis leaseLength = 0;
    std::optional<HostListStatus> hostList;  ///< nothing: none is known
    bool readsHostList = false;
    std::size_t pendingLongPolls = 0;
    std::uint64_t committedWrites = 0;  ///< operators' writes that this process committed
    std::vector<DutyStatus> duties;
    std::size_t clientMemory =
        0;  ///< bytes that the connections of all HTTP listeners hold; of the metrics only, as the rest
    std::size_t clientMemoryLimit = 0;  ///< the most of these
    net::OverloadCounts overload;
};

/// Fills in the replica's state at `now`: view, position, revision, evacuated zones, and whether it is fresh and writable.
void describeReplica(const replica::Replica& replica, Millis now, MemberStatus& status);

/// The evacuated zones of the table, in order.
[[nodiscard]] std::vector<std::string> evacuatedZonesOf(const Table& table);

/// JSON, the body of GET /status.
[[nodiscard]] std::string renderStatus(const MemberStatus& status);
/// Prometheus text, the body of GET /metrics.
[[nodiscard]] std::string renderMetrics(const MemberStatus& status);

}  // namespace beechpoint::control
