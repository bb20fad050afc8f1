#include "emulator/gatherer_settings.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace beechpoint::emulator {

namespace {

using Json = nlohmann::json;

std::int64_t nanos(Millis ms) { return std::llround(ms * 1e6); }

// Queries and parts that a gatherer may hold: some seconds of its share of the full load, and three of the
// longest queries at least.
int openCap(const Scenario& s) {
    double most = 0, mean = 0, shares = 0;
    int longest = 1;
    for (const LoadPoint& p : s.load) most = std::max(most, p.perSecond);
    for (const ClassSpec& c : s.classes) {
        const double parts = c.partsShare > 0 ? std::max<double>(c.partsFrom, c.partsShare * s.slices())
                                              : (c.partsFrom + c.partsTo) / 2.0;
        mean += c.share * parts;
        shares += c.share;
        longest = std::max({longest, c.partsTo, static_cast<int>(std::lround(parts))});
    }
    const double held = s.openCapSeconds * most / s.gathererCount() * (1 + mean / shares);
    return std::max(3 * (longest + 1), static_cast<int>(std::ceil(held)));
}

}  // namespace

std::string gathererSettings(const Scenario& s, int me) {
    Json classes = Json::array(), needs = Json::array(), least = Json::array(), worth = Json::array();
    for (const ClassSpec& c : s.classes) {
        classes.push_back({{"name", c.name},
                           {"promise", nanos(c.aim)},
                           {"deadline", nanos(c.giveUp)},
                           {"points", c.worth},
                           {"lateWorth", c.lateWorth},
                           {"effect", c.repeats ? "safe" : "unsafe"}});
        needs.push_back(1.0);
        least.push_back(c.leastShare);
        worth.push_back(c.shortWorth);
    }
    const Json json = {{"classes", classes},
                       {"balancers", s.gathererCount()},
                       {"me", me},
                       {"zone", s.sites[static_cast<std::size_t>(s.siteOfGatherer(me))].name},
                       {"tick", nanos(5)},
                       {"costs", {{"crossZone", 0.02}}},
                       {"familyInfo",
                        {{"shards", s.slices()},
                         {"cells", s.cells()},
                         {"span", s.span()},
                         {"bundleMax", 1},
                         {"completeFrom", needs},
                         {"leastShare", least},
                         {"shortWorth", worth}}},
                       {"permissions",
                        {{"dialTimeout", nanos(250)},
                         {"maxAttempts", s.maxAttempts},
                         {"openCap", openCap(s)},
                         {"parallelTries", true},
                         {"cancelling", true},
                         {"probing", true},
                         {"retryAfter", s.retryAfter},
                         {"maxRetryAfter", nanos(500)},
                         {"connIdle", nanos(30'000)},
                         {"streamsPerConn", s.callsPerConnection}}},
                       {"rules",
                        {{"answerSlack", nanos(20)},
                         {"cold", nanos(s.host.coldTime)},
                         {"coldFrom", s.host.coldFrom},
                         {"overloadFactor", s.host.overloadFactor},
                         {"fall", nanos(s.host.overloadTime)}}},
                       {"report", {{"how", s.reportsByProbe ? "pull" : "piggyback"}}}};
    return json.dump();
}

}  // namespace beechpoint::emulator
