#include "host_discovery/page.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace beechpoint::host_discovery {
namespace {

using Json = nlohmann::json;

constexpr double kMaxCapacity = 1e6;
constexpr double kMaxTimeLeft = 1e9;  // 11 days

// A required text member that isn't empty.
std::optional<std::string> requiredText(const Json& entry, const char* name) {
    const auto found = entry.find(name);
    if (found == entry.end() || !found->is_string()) return std::nullopt;
    const auto& text = found->get_ref<const std::string&>();
    if (text.empty()) return std::nullopt;
    return text;
}

// An optional text member: empty where absent or null; nothing where of another type.
std::optional<std::string> optionalText(const Json& entry, const char* name) {
    const auto found = entry.find(name);
    if (found == entry.end() || found->is_null()) return std::string{};
    if (!found->is_string()) return std::nullopt;
    return found->get<std::string>();
}

// An optional number within 0 to `most`: `fallback` where absent or null; nothing where it is none.
std::optional<double> optionalNumber(const Json& entry, const char* name, double fallback, double most) {
    const auto found = entry.find(name);
    if (found == entry.end() || found->is_null()) return fallback;
    if (!found->is_number()) return std::nullopt;
    const double value = found->get<double>();
    if (!std::isfinite(value) || value < 0 || value > most) return std::nullopt;
    return value;
}

std::vector<std::string> textsOf(const Json& entry, const char* name) {
    std::vector<std::string> texts;
    const auto found = entry.find(name);
    if (found == entry.end() || !found->is_array()) return texts;
    for (const Json& element : *found)
        if (element.is_string()) texts.push_back(element.get<std::string>());
    return texts;
}

// Models that can't be read are left out: what a host holds is a preference, not a rule.
std::vector<Model> modelsOf(const Json& entry) {
    std::vector<Model> models;
    const auto found = entry.find("models");
    if (found == entry.end() || !found->is_array()) return models;
    for (const Json& element : *found) {
        if (!element.is_object()) continue;
        const auto name = requiredText(element, "name");
        if (!name) continue;
        const auto revision = element.find("revision");
        const bool hasRevision = revision != element.end() && revision->is_number_integer();
        models.push_back(
            {*name, hasRevision ? revision->get<std::int64_t>() : 0, textsOf(element, "adapters")});
    }
    return models;
}

// A state that isn't known is taken as draining: nothing new is sent to a host that may not be serving.
HostState stateOf(const std::string& text) {
    return text == "serving" ? HostState::serving : HostState::draining;
}

std::optional<Host> parseHost(const Json& entry) {
    if (!entry.is_object()) return std::nullopt;
    const auto instanceId = requiredText(entry, "instance_id");
    const auto service = requiredText(entry, "backend");
    const auto address = requiredText(entry, "address");
    const auto zone = optionalText(entry, "zone");
    const auto revision = optionalText(entry, "revision");
    const auto phase = optionalText(entry, "phase");
    const auto state = requiredText(entry, "state");
    const auto capacity = optionalNumber(entry, "capacity", 1, kMaxCapacity);
    const auto warmupLeft = optionalNumber(entry, "warmup_left_ms", 0, kMaxTimeLeft);
    const auto remaining = optionalNumber(entry, "remaining_ms", -1, kMaxTimeLeft);
    if (!instanceId || !service || !address || !zone || !revision || !phase) return std::nullopt;
    if (!state || !capacity || !warmupLeft || !remaining) return std::nullopt;
    Host host;
    host.instanceId = *instanceId;
    host.service = *service;
    host.address = *address;
    host.zone = *zone;
    host.revision = *revision;
    host.capacity = static_cast<std::uint32_t>(*capacity);
    host.state = stateOf(*state);
    host.warmupLeft = *warmupLeft;
    if (*remaining >= 0) host.remaining = *remaining;
    host.phase = *phase;
    host.models = modelsOf(entry);
    return host;
}

Error unreadable(std::string message) {
    return {ErrorKind::invalid, "/instances", std::move(message), "the previous list stays in use"};
}

}  // namespace

Result<Page> parsePage(std::string_view text) {
    const Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded() || !json.is_object()) return unreadable("the page is no JSON object");
    const auto instances = json.find("instances");
    if (instances == json.end() || !instances->is_array())
        return unreadable("the page has no list 'instances'");
    if (instances->size() > kMaxHostsPerPage)
        return unreadable(fmt::format("the page holds {} hosts, over the limit of {}", instances->size(),
                                      kMaxHostsPerPage));
    Page page;
    for (const Json& entry : *instances) {
        auto host = parseHost(entry);
        if (host)
            page.hosts.push_back(std::move(*host));
        else
            page.unreadable++;
    }
    const auto token = json.find("next_page_token");
    if (token != json.end() && !token->is_null()) {
        if (!token->is_string()) return unreadable("'next_page_token' is neither text nor null");
        if (!token->get_ref<const std::string&>().empty()) page.nextPageToken = token->get<std::string>();
    }
    return page;
}

}  // namespace beechpoint::host_discovery
