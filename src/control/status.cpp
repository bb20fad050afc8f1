#include "control/status.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/editing.hpp"
#include "core/metrics_text.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEvacuatedPrefix = "evacuated/";
constexpr double kMillisPerSecond = 1000;

const char* roleOf(std::size_t index, std::size_t members) {
    if (members == 1) return "head,tail";
    if (index == 0) return "head";
    return index + 1 == members ? "tail" : "middle";
}

Json viewJson(const replica::View& view) {
    Json members = Json::array();
    for (std::size_t index = 0; index < view.members.size(); ++index) {
        const replica::Member& member = view.members[index];
        members.push_back(Json{{"name", member.name},
                               {"zone", member.zone},
                               {"role", roleOf(index, view.members.size())},
                               {"control_address", member.controlAddress},
                               {"internal_address", member.internalAddress}});
    }
    return Json{{"epoch", view.epoch}, {"members", std::move(members)}};
}

Json gatewaysJson(const MemberStatus& status) {
    Json gateways = Json::array();
    for (const leases::ReportedLease& lease : status.leases)
        gateways.push_back(Json{{"name", lease.gateway.name},
                                {"zone", lease.gateway.zone},
                                {"region", lease.gateway.region},
                                {"front_address", lease.gateway.frontAddress},
                                {"ready", lease.gateway.ready},
                                {"draining", lease.gateway.draining},
                                {"lease_left_ms", std::max(status.leaseLength - lease.age, 0.0)}});
    return gateways;
}

Json hostListJson(const std::optional<HostListStatus>& list) {
    if (!list) return nullptr;
    return Json{{"hosts", list->hosts}, {"age_ms", list->age}};
}

Json dutiesJson(const std::vector<DutyStatus>& duties) {
    Json list = Json::array();
    for (const DutyStatus& duty : duties)
        list.push_back(Json{{"subject", duty.subject},
                            {"holder", duty.holder},
                            {"token", duty.token},
                            {"held_here", duty.heldHere},
                            {"open_intents", duty.openIntents},
                            {"newest_number", duty.newestNumber ? Json(*duty.newestNumber) : Json(nullptr)},
                            {"newest_state", duty.newestState},
                            {"last_status", duty.lastStatus},
                            {"calls", duty.calls}});
    return list;
}

// Sums over the subjects: their number is the deployment's.
void writeDutyMetrics(MetricsText& text, const std::vector<DutyStatus>& duties) {
    double held = 0;
    double openIntents = 0;
    double calls = 0;
    for (const DutyStatus& duty : duties) {
        if (duty.heldHere) ++held;
        openIntents += static_cast<double>(duty.openIntents);
        calls += static_cast<double>(duty.calls);
    }
    text.gauge("beechpoint_control_duties_held", "Subjects of duties that this member holds.", held);
    text.gauge("beechpoint_control_open_intents", "Calls to the platform that are recorded and not answered.",
               openIntents);
    text.counter("beechpoint_control_duty_calls_total", "Calls of duties that this process made.", calls);
}

}  // namespace

void describeReplica(const replica::Replica& replica, Millis now, MemberStatus& status) {
    status.inView = replica.isInView();
    status.fresh = replica.isFresh(now);
    status.writable = replica.isWritable();
    status.view = replica.view();
    status.position = replica.committedPosition();
    status.revision = configuration::currentRevision(replica.committedTable());
    status.evacuatedZones = evacuatedZonesOf(replica.committedTable());
}

std::vector<std::string> evacuatedZonesOf(const Table& table) {
    std::vector<std::string> zones;
    for (auto entry = table.lower_bound(std::string(kEvacuatedPrefix)); entry != table.end(); ++entry) {
        if (!entry->first.starts_with(kEvacuatedPrefix)) break;
        zones.push_back(entry->first.substr(kEvacuatedPrefix.size()));
    }
    return zones;
}

std::string renderStatus(const MemberStatus& status) {
    const Json body{{"member", status.member},
                    {"zone", status.zone},
                    {"in_view", status.inView},
                    {"fresh", status.fresh},
                    {"writable", status.writable},
                    {"view", viewJson(status.view)},
                    {"position", {{"epoch", status.position.epoch}, {"sequence", status.position.sequence}}},
                    {"revision", status.revision},
                    {"evacuated_zones", status.evacuatedZones},
                    {"gateways", gatewaysJson(status)},
                    {"host_list", hostListJson(status.hostList)},
                    {"reads_hosts", status.readsHostList},
                    {"waiting_polls", status.pendingLongPolls},
                    {"writes_taken", status.committedWrites},
                    {"duties", dutiesJson(status.duties)}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string renderMetrics(const MemberStatus& status) {
    const auto number = [](auto value) { return static_cast<double>(value); };
    MetricsText text;
    text.gauge("beechpoint_control_in_view", "1 while the agreed view lists this process.",
               number(status.inView));
    text.gauge("beechpoint_control_fresh", "1 while this member may answer polls.", number(status.fresh));
    text.gauge("beechpoint_control_view_epoch", "Epoch of the agreed view.", number(status.view.epoch));
    text.gauge("beechpoint_control_view_members", "Members of the agreed view.",
               number(status.view.members.size()));
    text.gauge("beechpoint_control_position_epoch", "Epoch of the committed table's position.",
               number(status.position.epoch));
    text.gauge("beechpoint_control_position_sequence", "Sequence of the committed table's position.",
               number(status.position.sequence));
    text.gauge("beechpoint_control_configuration_revision", "Revision of the configuration in force.",
               number(status.revision));
    text.gauge("beechpoint_control_evacuated_zones", "Zones that are evacuated.",
               number(status.evacuatedZones.size()));
    text.gauge("beechpoint_control_live_gateways", "Gateways whose leases run.",
               number(status.leases.size()));
    if (status.hostList) {
        text.gauge("beechpoint_control_host_list_hosts", "Hosts of the platform's list.",
                   number(status.hostList->hosts));
        text.gauge("beechpoint_control_host_list_age_seconds", "Since the list was last read or confirmed.",
                   status.hostList->age / kMillisPerSecond);
    }
    text.gauge("beechpoint_control_reads_hosts", "1 while this member reads the platform's list.",
               number(status.readsHostList));
    text.gauge("beechpoint_control_waiting_polls", "Polls of gateways that wait for news.",
               number(status.pendingLongPolls));
    text.counter("beechpoint_control_writes_taken_total", "Operators' writes that this process committed.",
                 number(status.committedWrites));
    text.gauge("beechpoint_control_client_memory_bytes",
               "Bytes that HTTP connections and their requests hold.", number(status.clientMemory));
    text.gauge("beechpoint_control_client_memory_limit_bytes", "The most of these.",
               number(status.clientMemoryLimit));
    text.counters("beechpoint_control_overload_total", "What was refused or closed to keep to that limit.",
                  "action", net::overloadFigures(status.overload));
    writeDutyMetrics(text, status.duties);
    return text.text();
}

}  // namespace beechpoint::control
