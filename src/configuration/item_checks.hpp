// Rules between the items of a configuration: names are used once, services that routes name are there, and no two
// routes share host and prefix.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "configuration/document.hpp"

namespace beechpoint::configuration {

using NameSet = std::unordered_set<std::string_view>;

// The names of the items; a fault for each that comes twice.
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

// Places where routes are found: who has which host and prefix.
class RoutePlaces {
public:
    // The other route's name, when there is one at the same place.
    const std::string* claim(const Route& route);

private:
    std::unordered_map<std::string, std::string> nameByPlace_;
};

void addSharedPlace(const Item<Route>& item, const std::string& otherName, std::vector<Error>& faults);

// `isService(name)` says whether the service is there.
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
