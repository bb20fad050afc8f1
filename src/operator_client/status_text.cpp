#include "operator_client/status_text.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace beechpoint::operator_client {
namespace {

using Json = nlohmann::json;

constexpr double kMillisPerSecond = 1000;

std::string seconds(const Json& milliseconds) {
    return milliseconds.is_number() ? fmt::format("{:.1f} s", milliseconds.get<double>() / kMillisPerSecond)
                                    : std::string("unknown");
}

std::string text(const Json& object, const char* name) { return object.at(name).get<std::string>(); }
const char* yesNo(const Json& object, const char* name) { return object.at(name).get<bool>() ? "yes" : "no"; }
std::uint64_t number(const Json& object, const char* name) { return object.at(name).get<std::uint64_t>(); }

std::string memberLines(const Json& status) {
    std::string out = fmt::format("\n{:<24} {:<20} {:<10} {}\n", "member", "zone", "role", "control address");
    for (const Json& member : status.at("view").at("members"))
        out += fmt::format("{:<24} {:<20} {:<10} {}\n", text(member, "name"), text(member, "zone"),
                           text(member, "role"), text(member, "control_address"));
    return out;
}

std::string gatewayLines(const Json& status) {
    std::string out = fmt::format("\n{:<24} {:<20} {:<6} {:<9} {:<11} {}\n", "gateway", "zone", "ready",
                                  "draining", "lease left", "front address");
    for (const Json& gateway : status.at("gateways"))
        out += fmt::format("{:<24} {:<20} {:<6} {:<9} {:<11} {}\n", text(gateway, "name"),
                           text(gateway, "zone"), yesNo(gateway, "ready"), yesNo(gateway, "draining"),
                           seconds(gateway.at("lease_left_ms")), text(gateway, "front_address"));
    return out;
}

std::string hostListLine(const Json& list) {
    if (list.is_null()) return "host list: none known\n";
    return fmt::format("host list: {} hosts, confirmed {} ago\n", number(list, "hosts"),
                       seconds(list.at("age_ms")));
}

std::string evacuatedLine(const Json& zones) {
    if (zones.empty()) return "evacuated zones: none\n";
    std::string out = "evacuated zones:";
    for (const Json& zone : zones) out += " " + zone.get<std::string>();
    return out + "\n";
}

std::string render(const Json& status) {
    const Json& view = status.at("view");
    std::string out = fmt::format("{} in zone {}: in view {}, fresh {}, takes writes {}\n",
                                  text(status, "member"), text(status, "zone"), yesNo(status, "in_view"),
                                  yesNo(status, "fresh"), yesNo(status, "writable"));
    out +=
        fmt::format("view {} with {} members; table at {}.{}; configuration revision {}\n",
                    number(view, "epoch"), view.at("members").size(), number(status.at("position"), "epoch"),
                    number(status.at("position"), "sequence"), number(status, "revision"));
    out += hostListLine(status.at("host_list"));
    out += evacuatedLine(status.at("evacuated_zones"));
    out += fmt::format("reads the platform's list: {}; waiting polls: {}; writes taken: {}\n",
                       yesNo(status, "reads_hosts"), number(status, "waiting_polls"),
                       number(status, "writes_taken"));
    return out + memberLines(status) + gatewayLines(status);
}

std::string renderDuties(const Json& status) {
    std::string out = fmt::format("{:<44} {:<24} {:>8} {:>6} {:>14} {:<8} {:>11} {:>6}\n", "duty", "holder",
                                  "token", "open", "newest", "state", "last status", "calls");
    for (const Json& duty : status.at("duties")) {
        const Json& newest = duty.at("newest_number");
        out += fmt::format("{:<44} {:<24} {:>8} {:>6} {:>14} {:<8} {:>11} {:>6}\n", text(duty, "subject"),
                           text(duty, "holder"), number(duty, "token"), number(duty, "open_intents"),
                           newest.is_null() ? "none" : newest.dump(), text(duty, "newest_state"),
                           number(duty, "last_status"), number(duty, "calls"));
    }
    return out;
}

Result<std::string> rendered(std::string_view body, std::string (*render)(const Json& status)) {
    const Json status = Json::parse(body, nullptr, false);
    try {
        return render(status);
    } catch (const Json::exception& exception) {
        return Error{ErrorKind::invalid, "/status",
                     fmt::format("the answer can't be read: {}", exception.what()),
                     "use the program's version that the member runs, or --json"};
    }
}

}  // namespace

Result<std::string> renderStatusText(std::string_view body) { return rendered(body, render); }

Result<std::string> renderDutiesText(std::string_view body) { return rendered(body, renderDuties); }

std::string describeRefusal(std::string_view body) {
    const Json answer = Json::parse(body, nullptr, false);
    const bool known = answer.is_object() && answer.contains("error") && answer["error"].is_object();
    if (!known) return std::string(body);
    const Json& error = answer["error"];
    const auto textOf = [&](const char* name) {
        const auto found = error.find(name);
        return found != error.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    return Error{ErrorKind::invalid, textOf("place"), textOf("message"), textOf("remedy")}.text();
}

}  // namespace beechpoint::operator_client
