// Keys of the gatherer's configuration, the module's settings among them, and of an operator's file.
#include <fmt/format.h>

#include "config.hpp"
#include "coordinator/settings_json.hpp"
#include "json_keys.hpp"

namespace beechpoint::golden {
namespace {

template <class Read>
std::string refusalOf(Read read) {
    try {
        read();
        return {};
    } catch (const BadConfig& refusal) {
        return refusal.what();
    }
}

TEST(GoldenGathererKeys, OfTheConfiguration) {
    const Clock clock;
    const Reader read = [&clock](const Json& document) {
        return refusalOf([&] { readConfig(document.dump(), clock); });
    };
    EXPECT_TRUE(
        matchesGolden("gatherer_configuration", keysReadBy(read, Json::parse(sample("gatherer.json")))));
}

TEST(GoldenGathererKeys, OfAnOperatorsFile) {
    const Clock clock;
    const Config config = readConfig(sample("gatherer.json"), clock);
    const Reader read = [&config](const Json& document) {
        Config changed = config;
        return refusalOf([&] { readOperator(document.dump(), changed); });
    };
    EXPECT_TRUE(
        matchesGolden("gatherer_operator_file", keysReadBy(read, Json::parse(sample("operator.json")))));
}

TEST(GoldenGathererKeys, WhatAbsentKeysOfAnOperatorsFileStandFor) {
    const Clock clock;
    Config config = readConfig(sample("gatherer.json"), clock);
    readOperator(R"({"snmp":{"listen":"127.0.0.1:0"},
                     "group":{"listen":"127.0.0.1:0","members":{"n0":"127.0.0.1:1"},"voters":["n0"]}})",
                 config);
    const Lines lines{"snmp.community " + config.snmpCommunity,
                      "group.name " + config.group->name,
                      std::string("group.holds ") + (config.group->holds ? "true" : "false"),
                      "group.duties " + std::to_string(config.group->singletonRoles.size()),
                      "group.folder '" + config.group->folder + "'",
                      "group.lookout '" + config.group->proberDuty + "'"};
    EXPECT_TRUE(matchesGolden("gatherer_operator_defaults", lines));
}

TEST(GoldenGathererKeys, WhatAbsentKeysOfTheModulesSettingsStandFor) {
    const std::string least = R"({"classes":[{"name":"c","promise":1,"deadline":2}],
        "familyInfo":{"shards":4,"cells":2,"span":2},"permissions":{},"rules":{}})";
    const coordinator::Settings s = coordinator::readSettings(least);
    const coordinator::ConnectionSettings connections = coordinator::readConnectionSettings(least);
    const coordinator::ClassSettings& c = s.classes.at(0);
    Lines lines;
    const auto add = [&lines](std::string_view key, auto value) {
        lines.push_back(fmt::format("{} {}", key, value));
    };
    add("classes[].points", c.worth);
    add("classes[].lateWorth", c.lateWorth);
    add("classes[].effect", static_cast<int>(c.effect));
    add("classes[].window", c.repeatWindow);
    add("familyInfo.completeFrom[]", c.completeFrom);
    add("familyInfo.leastShare[]", c.leastShare);
    add("familyInfo.shortWorth[]", c.shortWorth);
    add("familyInfo.secondStep[]", c.secondStep);
    add("familyInfo.bundleMax", connections.partsInCall);
    add("tenants", s.tenants.size());
    add("balancers", s.coordinators);
    add("me", s.me);
    add("zone", s.zone);
    add("overShareWorth", s.overShareWorth);
    add("costs.crossZone", s.crossZoneCost);
    add("tick", s.tick);
    add("permissions.connIdle", connections.idle);
    add("permissions.streamsPerConn", connections.callsAtOnce);
    add("permissions.dialTimeout", s.dialTimeout);
    add("permissions.maxAttempts", s.maxAttempts);
    add("permissions.openCap", s.openCap);
    add("permissions.parallelTries", s.parallelTries);
    add("permissions.cancelling", s.cancelling);
    add("permissions.probing", s.probing);
    add("permissions.retryAfter", s.retryAfter);
    add("permissions.maxRetryAfter", s.maxRetryAfter);
    add("discovery subscribes", s.mustSubscribe);
    add("rules.answerSlack", s.answerSlack);
    add("rules.cold", s.coldTime);
    add("rules.coldFrom", s.coldFrom);
    add("rules.overloadFactor", s.overloadFactor);
    add("rules.fall", s.overloadTime);
    add("rules.freeResends", s.freeResends);
    add("rules.resendRatio", s.resendRatio);
    add("rules.lookBack", s.lookBack);
    add("rules budget of resends", s.hasResendBudget);
    add("report.how", static_cast<int>(s.reports));
    EXPECT_TRUE(matchesGolden("module_setting_defaults", lines));
}

TEST(GoldenGathererKeys, WordsOfTheModulesSettings) {
    const Json whole = Json::parse(sample("gatherer.json"))["settings"];
    const auto with = [&whole](const char* place, const char* word) {
        Json changed = whole;
        changed[Json::json_pointer(place)] = word;
        return coordinator::readSettings(changed.dump());
    };
    Lines lines;
    for (const char* word : {"safe", "keyed", "unsafe"})
        lines.push_back(fmt::format("effect {} {}", word,
                                    static_cast<int>(with("/classes/0/effect", word).classes[0].effect)));
    for (const char* word : {"silent", "piggyback", "pull"})
        lines.push_back(
            fmt::format("report.how {} {}", word, static_cast<int>(with("/report/how", word).reports)));
    for (const char* word : {"automatic", "subscribe"})
        lines.push_back(fmt::format("discovery {} {}", word, with("/discovery", word).mustSubscribe));
    EXPECT_TRUE(matchesGolden("module_setting_words", lines));
}

}  // namespace
}  // namespace beechpoint::golden
