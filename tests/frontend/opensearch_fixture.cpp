#include "opensearch_fixture.hpp"

#include <fmt/format.h>

namespace beechpoint::test {

void useOpenSearch(Config& config) {
    config.search = Config::Search{kAnyPort, {{"pallets", "pallet-lookup"}, {"reports", "day-report"}}};
    config.searchTrackHosts = true;
}

std::string search(const std::string& target, const std::string& body) {
    return post(target, "Content-Type: application/json\r\n", body);
}

std::string hitsOf(int number, int shard) {
    const int score = 1 + (number * 7 + shard * 13) % 10;
    return fmt::format(
        R"({{"took":1,"timed_out":false,"_shards":{{"total":1,"successful":1,"skipped":0,"failed":0}},"hits":)"
        R"({{"total":{{"value":1,"relation":"eq"}},"max_score":{0}.5,"hits":[{{"_id":"{1}-{2}","_score":{0}.5}}]}}}})",
        score, number, shard);
}

int queryNumberIn(const std::string& body) {
    const auto at = body.find("\"n\":");
    return at == std::string::npos ? -1 : std::stoi(body.substr(at + 4));
}

int shardIn(const std::string& target) { return std::stoi(target.substr(target.find("_shards:") + 8)); }

void TwoSearchHosts::onRequest(const std::function<void(const StubHttpHost::HttpRequest&)>& handler) {
    first.onRequest = handler;
    second.onRequest = handler;
}

}  // namespace beechpoint::test
