// Keys of the JSON answers that control and gateways give, and the operations that they serve.
#include <fmt/format.h>

#include "configuration/api_operations.hpp"
#include "configuration/editing.hpp"
#include "control/status.hpp"
#include "directory/directory.hpp"
#include "json_keys.hpp"

namespace beechpoint::golden {
namespace {

// A status in which every part is present.
control::MemberStatus fullStatus() {
    control::MemberStatus status;
    replica::Member member;
    member.name = "core-1";
    status.view.members = {member};
    status.evacuatedZones = {"za"};
    status.leases.emplace_back();
    status.hostList.emplace();
    return status;
}

Table tableOfSample() {
    const auto decision = configuration::putConfiguration({}, "0", sample("configuration.json"));
    Table table;
    apply(std::get<configuration::Accepted>(decision.value()).changes, table);
    return table;
}

TEST(GoldenJson, StatusOfControl) {
    EXPECT_TRUE(matchesGolden("control_status", keysOf(control::renderStatus(fullStatus()))));
}

TEST(GoldenJson, StatusOfControlWithoutHostList) {
    control::MemberStatus status = fullStatus();
    status.hostList.reset();
    EXPECT_TRUE(matchesGolden("control_status_without_host_list", keysOf(control::renderStatus(status))));
}

TEST(GoldenJson, RolesInTheView) {
    control::MemberStatus status = fullStatus();
    Lines roles;
    for (std::size_t members = 1; members <= 3; ++members) {
        status.view.members.resize(members);
        const Json rendered = Json::parse(control::renderStatus(status));
        for (const Json& member : rendered["view"]["members"])
            roles.push_back(fmt::format("of {}: {}", members, member["role"].get<std::string>()));
    }
    EXPECT_TRUE(matchesGolden("control_roles", roles));
}

TEST(GoldenJson, AnswerOfTheDirectory) {
    EXPECT_TRUE(matchesGolden("resolve_answer", keysOf(directory::renderResolved({"10.0.0.1:80"}, 2))));
}

TEST(GoldenJson, Configuration) {
    EXPECT_TRUE(
        matchesGolden("configuration_answer", keysOf(configuration::renderConfiguration(tableOfSample()))));
}

TEST(GoldenJson, KindsOfErrors) {
    Lines lines;
    for (const ErrorKind kind : {ErrorKind::invalid, ErrorKind::conflict, ErrorKind::notFound,
                                 ErrorKind::unavailable, ErrorKind::timedOut, ErrorKind::storage})
        lines.push_back(fmt::format("{} {}", configuration::httpStatus(kind),
                                    configuration::renderError({kind, "p", "m", "r"})));
    EXPECT_TRUE(matchesGolden("error_kinds", lines));
}

TEST(GoldenJson, Operations) {
    Lines lines;
    for (const auto& each : configuration::kServedOperations)
        lines.push_back(fmt::format("served {} {} {}", each.id, each.method, each.path));
    for (const auto& each : configuration::kCalledOperations)
        lines.push_back(fmt::format("called {} {} {}", each.id, each.method, each.path));
    EXPECT_TRUE(matchesGolden("operations", lines));
}

}  // namespace
}  // namespace beechpoint::golden
