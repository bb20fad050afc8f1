/// Rules between the items of a configuration: names are used once, services that routes name exist, and no two routes match
/// the same host and path prefix. The rules on a single item are in configuration.hpp.
///
/// One thread uses an object at a time.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "configuration/document.hpp"

namespace beechpoint::configuration {

using NameSet = std::unordered_set<std::string_view>;

/// The names of the items, as views into them; a fault for each that comes twice.
template <class Value>
NameSet namesOf(const std::vector<Item<Value>>& items, std::vector<Error>& faults) {
    NameSet names;
    for (const Item<Value>& item : items)
        if (!names.insert(item.value.name).second)
            faults.push_back({ErrorKind::invalid, item.path + "/name",
                              "\"" + item.value.name + "\" is in the list twice",
                              "give each item its own name"});
    return names;
}

/// What routes match: which route has which host and path prefix.
class RouteMatches {
public:
    /// Registers the route. The name of the route that has the same host and prefix already, nullptr when there is none; valid
    /// as long as this object.
    [[nodiscard]] const std::string* claim(const Route& route);

private:
    std::unordered_map<std::string, std::string> nameByMatch_;  // key: comparable host, then prefix
};

/// Adds the fault that `item` matches what the route `otherName` matches.
void addSharedMatch(const Item<Route>& item, const std::string& otherName, std::vector<Error>& faults);

/// A fault for each service that the route names and that does not exist, as `isService(name)` says.
template <class IsService>
void checkServices(const Item<Route>& item, const IsService& isService, std::vector<Error>& faults) {
    const auto check = [&](const std::string& name, const std::string& path) {
        if (isService(name)) return;
        faults.push_back({ErrorKind::invalid, item.path + path, "there is no service \"" + name + "\"",
                          "name a service of this configuration"});
    };
    const std::vector<WeightedBackend>& split = item.value.trafficSplit;
    for (std::size_t index = 0; index < split.size(); ++index)
        check(split[index].backend, "/traffic_split/" + std::to_string(index) + "/backend");
    if (!item.value.backend.empty()) check(item.value.backend, "/backend");
}

}  // namespace beechpoint::configuration
