#include "discovery/hostlist.hpp"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>

namespace beechpoint::discovery {

namespace {

using Json = nlohmann::json;

const Json& need(const Json& object, const char* key, bool (Json::*is)() const noexcept, const char* what) {
    const auto found = object.find(key);
    if (found == object.end() || !((*found).*is)()) throw BadList(fmt::format("{} must be {}", key, what));
    return *found;
}

coordinator::ServerState readState(const std::string& word) {
    if (word == "Ready") return coordinator::ServerState::up;
    if (word == "Terminating") return coordinator::ServerState::draining;
    if (word == "Gone") return coordinator::ServerState::removed;
    throw BadList("lifecycle must be Ready, Terminating or Gone");
}

HostEntry readEntry(const Json& item, const Clock& clock) {
    if (!item.is_object()) throw BadList("each instance must be an object");
    HostEntry host;
    coordinator::ServerEntry& e = host.entry;
    e.id = need(item, "instanceId", &Json::is_string, "text").get<std::string>();
    if (e.id.empty()) throw BadList("instanceId must not be empty");
    e.state = readState(need(item, "lifecycle", &Json::is_string, "text").get<std::string>());
    const bool gone = e.state == coordinator::ServerState::removed;  // its other figures say nothing any more
    if (!gone || item.contains("hostPort"))
        host.address = need(item, "hostPort", &Json::is_string, "text").get<std::string>();
    if (!gone || item.contains("cell")) {
        const auto cell = need(item, "cell", &Json::is_number_integer, "a whole number").get<std::int64_t>();
        if (cell < 0 || cell > 1'000'000) throw BadList("cell is out of range");
        e.cell = static_cast<int>(cell);
    }
    if (item.contains("zone")) e.zone = need(item, "zone", &Json::is_string, "text").get<std::string>();
    if (item.contains("machineType"))
        e.kind = need(item, "machineType", &Json::is_string, "text").get<std::string>();
    if (item.contains("weight")) e.rating = need(item, "weight", &Json::is_number, "a number").get<double>();
    if (item.contains("startedAtMs")) {
        const double at = need(item, "startedAtMs", &Json::is_number, "a number").get<double>();
        if (!std::isfinite(at) || std::abs(at) > 1e15) throw BadList("startedAtMs is out of range");
        // Unix time; 0 means long ago, which the module's 0 means too.
        if (at > 0) e.startedAt = toNanos(clock.fromUnix(at));
    }
    return host;
}

}  // namespace

Listing readListing(const Json& json, const Clock& clock) {
    if (!json.is_object()) throw BadList("the list must be a JSON object");
    Listing l;
    l.generation = need(json, "generation", &Json::is_number_integer, "a whole number").get<std::int64_t>();
    const bool full = need(json, "reset", &Json::is_boolean, "true or false").get<bool>();
    l.list.kind = full ? coordinator::ListKind::complete : coordinator::ListKind::changes;
    for (const Json& item : need(json, "instances", &Json::is_array, "a list"))
        l.list.entries.push_back(readEntry(item, clock));
    return l;
}

Listing parseListing(std::string_view text, const Clock& clock) {
    const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded()) throw BadList("the list is not JSON");
    return readListing(json, clock);
}

std::string writeListing(const Listing& listing, const Clock& clock) {
    Json instances = Json::array();
    for (const HostEntry& host : listing.list.entries) {
        const coordinator::ServerEntry& e = host.entry;
        const char* const state = e.state == coordinator::ServerState::up         ? "Ready"
                                  : e.state == coordinator::ServerState::draining ? "Terminating"
                                                                                  : "Gone";
        instances.push_back(
            {{"instanceId", e.id},
             {"hostPort", host.address},
             {"zone", e.zone},
             {"machineType", e.kind},
             {"cell", e.cell},
             {"lifecycle", state},
             {"weight", e.rating},
             {"startedAtMs", e.startedAt > 0 ? std::llround(clock.toUnix(fromNanos(e.startedAt))) : 0}});
    }
    const bool full = listing.list.kind != coordinator::ListKind::changes;
    return Json{{"generation", listing.generation}, {"reset", full}, {"instances", std::move(instances)}}
        .dump();
}

}  // namespace beechpoint::discovery
