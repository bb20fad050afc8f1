/// Hosts of the query API and what they answer.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "gatherer_fixture.hpp"

namespace beechpoint::test {

/// Configuration: the query API for clients, and towards hosts.
void useOpenSearch(Config& config);

/// A POST of a search.
std::string search(const std::string& target, const std::string& body);

/// What a healthy host answers to query `number` in one shard: one hit, whose score depends on both.
std::string hitsOf(int number, int shard);

/// The query's number in its body, -1 if it has none.
int queryNumberIn(const std::string& body);

/// The shard that a host's search names.
int shardIn(const std::string& target);

/// Two hosts of the query API.
struct TwoSearchHosts {
    StubHttpHost first{eventLoop()}, second{eventLoop()};
    std::vector<std::string> addresses() const { return {first.address(), second.address()}; }
    void onRequest(const std::function<void(const StubHttpHost::HttpRequest&)>& handler);
};

}  // namespace beechpoint::test
