#include "configuration/item_checks.hpp"

#include <fmt/format.h>

#include "configuration/host_name.hpp"

namespace beechpoint::configuration {

const std::string* RouteMatches::claim(const Route& route) {
    // A prefix begins with a slash and a host has none, so that the two together are unambiguous.
    const auto [registered, added] =
        nameByMatch_.try_emplace(comparableHost(route.hostname) + route.pathPrefix, route.name);
    return added ? nullptr : &registered->second;
}

void addSharedMatch(const Item<Route>& item, const std::string& otherName, std::vector<Error>& faults) {
    faults.push_back({ErrorKind::invalid, item.path + "/path_prefix",
                      fmt::format("\"{}\" and \"{}\" share host and prefix", otherName, item.value.name),
                      "give one of them another prefix or remove it"});
}

}  // namespace beechpoint::configuration
