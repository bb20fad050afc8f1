// What a control member says of itself to staff and to their monitoring: GET /status as JSON, GET /metrics as text. Free of I/O.
// It is this member's own knowledge, without asking the others: two members may differ for a moment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "leases/lease_table.hpp"
#include "replica/view.hpp"

namespace beechpoint::control {

inline constexpr std::string_view kStatusPath = "/status";
inline constexpr std::string_view kMetricsPath = "/metrics";

struct HostListStatus {
    std::size_t hosts = 0;
    Millis age = 0;  // since it was last read or confirmed
};

struct MemberStatus {
    std::string member;  // its own name
    std::string zone;
    bool inView = false;
    bool fresh = false;     // may answer gateways' polls
    bool writable = false;  // the head of the chain, with nothing in flight
    replica::View view;
    Position position;
    std::uint64_t revision = 0;  // of the configuration
    std::vector<std::string> evacuatedZones;
    std::vector<leases::ReportedLease> leases;  // those that run
    Millis leaseLength = 0;
    std::optional<HostListStatus> hostList;  // nothing: none is known
    bool readsHosts = false;
    std::size_t pendingLongPolls = 0;
    std::uint64_t writesTaken = 0;  // operators' writes that this process committed
};

// Zones that the table says are evacuated, in their order.
std::vector<std::string> evacuatedZonesOf(const Table& table);

std::string renderStatus(const MemberStatus& status);
std::string renderMetrics(const MemberStatus& status);

}  // namespace beechpoint::control
