#include "configuration/patch_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "configuration/host_name.hpp"
#include "configuration/json_text.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::optional<Route> storedRoute(const Table& table, const std::string& name) {
    const auto found = table.find(joinedKey(kRoutePrefix, name));
    if (found == table.end()) return std::nullopt;
    const auto stored = parseStoredItem(found->second);
    if (!stored) return std::nullopt;
    Result<Route> route = parseRoute(stored->json);
    if (!route) return std::nullopt;
    return std::move(route.value());
}

// The JSON text that begins with the quote at `begin`, to its closing quote.
std::string_view quotedTextAt(std::string_view json, std::size_t begin) {
    std::size_t end = begin + 1;
    while (end < json.size() && json[end] != '"') {
        const std::size_t width = json[end] == '\\' ? 2 : 1;  // a quote after a backslash ends nothing
        end += width;
    }
    return json.substr(begin, end + 1 - begin);
}

// Whether a text after `"path_prefix":`, anywhere in a stored route, is among the quoted prefixes.
bool mentionsPrefix(std::string_view json, const std::unordered_set<std::string>& quotedPrefixes) {
    constexpr std::string_view kMember = "\"path_prefix\":\"";
    std::size_t found = json.find(kMember);
    while (found != std::string_view::npos) {
        const std::size_t begin = found + kMember.size() - 1;  // at the opening quote
        if (quotedPrefixes.contains(std::string{quotedTextAt(json, begin)})) return true;
        found = json.find(kMember, found + kMember.size());
    }
    return false;
}

}  // namespace

PatchCheck::PatchCheck(const Table& table, Document& document)
    : table_(table),
      document_(document),
      upsertedRoutes_(namesOf(document.items.routes, document.faults)),
      upsertedServices_(namesOf(document.items.services, document.faults)),
      removedRoutes_(document.removedRoutes.begin(), document.removedRoutes.end()),
      removedServices_(document.removedServices.begin(), document.removedServices.end()) {}

void PatchCheck::run() {
    for (const Item<Route>& item : document_.items.routes) checkUpsertedRoute(item);
    for (const std::string& name : document_.removedServices)
        if (!upsertedServices_.contains(name)) quotedRemovedServices_.push_back(quotedJson(name));
    if (quotedRemovedServices_.empty() && quotedPrefixes_.empty()) return;
    eachWithPrefix(table_, kRoutePrefix, [this](std::string_view name, std::string_view value) {
        const auto stored = parseStoredItem(value);
        if (stored && staysUnchanged(name) && mayBreakRule(stored->json)) checkStayingRoute(stored->json);
    });
}

void PatchCheck::checkUpsertedRoute(const Item<Route>& item) {
    const auto exists = [this](const std::string& name) { return isService(name); };
    checkServices(item, exists, document_.faults);
    if (const std::string* const other = matches_.claim(item.value))
        addSharedMatch(item, *other, document_.faults);
    if (!keepsMatch(item.value)) quotedPrefixes_.insert(quotedJson(item.value.pathPrefix));
}

// Whether the route has the host and prefix that it has in the table.
bool PatchCheck::keepsMatch(const Route& route) const {
    const std::optional<Route> before = storedRoute(table_, route.name);
    if (!before || before->pathPrefix != route.pathPrefix) return false;
    return comparableHost(before->hostname) == comparableHost(route.hostname);
}

bool PatchCheck::isService(const std::string& name) const {
    if (upsertedServices_.contains(name)) return true;
    return !removedServices_.contains(name) && table_.contains(joinedKey(kServicePrefix, name));
}

bool PatchCheck::staysUnchanged(std::string_view name) const {
    return !upsertedRoutes_.contains(name) && !removedRoutes_.contains(name);
}

// Judged by the stored text; never false for a route that breaks a rule, since a text has one spelling there.
bool PatchCheck::mayBreakRule(std::string_view json) const {
    const auto isNamed = [json](const std::string& service) { return json.find(service) != json.npos; };
    if (std::any_of(quotedRemovedServices_.begin(), quotedRemovedServices_.end(), isNamed)) return true;
    return !quotedPrefixes_.empty() && mentionsPrefix(json, quotedPrefixes_);
}

void PatchCheck::checkStayingRoute(std::string_view json) {
    const Result<Route> parsed = parseRoute(json);
    if (!parsed) return;
    const Route& route = parsed.value();
    for (const WeightedBackend& part : route.trafficSplit) checkServiceStays(part.backend, route);
    if (!route.backend.empty()) checkServiceStays(route.backend, route);
    const std::string* const other = matches_.claim(route);
    if (!other) return;
    for (const Item<Route>& item : document_.items.routes)
        if (item.value.name == *other) addSharedMatch(item, route.name, document_.faults);
}

void PatchCheck::checkServiceStays(const std::string& service, const Route& route) {
    if (isService(service)) return;
    document_.faults.push_back({ErrorKind::invalid, "/remove/services",
                                fmt::format("route \"{}\" names service \"{}\"", route.name, service),
                                "remove or change the route in the same call"});
}

}  // namespace beechpoint::configuration
