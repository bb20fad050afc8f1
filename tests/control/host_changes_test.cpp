// What gateways get when the platform's list changes.
#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cluster.hpp"
#include "net/server.hpp"

namespace beechpoint::control {
namespace {

using Json = nlohmann::json;

Json hostEntry(int number, const char* state) {
    return {{"instance_id", "i-" + std::to_string(number)},
            {"backend", "s"},
            {"address", "10.0.0.1:80"},
            {"state", state}};
}

PollRequest firstPoll() {
    PollRequest request;
    request.gateway.name = "g1";
    request.gateway.session = 1;
    request.gateway.zone = "za";
    request.gateway.region = "r1";
    request.gateway.frontAddress = "g1:80";
    request.takesHostChanges = true;
    return request;
}

TEST(HostListChangesAtControl, OfALongListOnlyWhatDiffersIsSent) {
    Cluster cluster;
    Json hosts = Json::array();
    for (int number = 1; number <= 6; number++) hosts.push_back(hostEntry(number, "serving"));
    net::HttpServer platform(
        cluster.io(), cluster.clock(), cluster.logger(), 16,
        [&](const net::HttpMessage&, const std::shared_ptr<net::HttpConnection>& connection) {
            const Json page{{"instances", hosts}, {"next_page_token", nullptr}};
            connection->respond(200, "application/json", page.dump());
        });
    platform.listen({asio::ip::address_v4::loopback(), 0});
    cluster.platform("127.0.0.1:" + std::to_string(platform.endpoint().port()));
    cluster.found();
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.installed(); }));
    for (std::size_t member = 0; member < Cluster::kMembers; member++) {
        PollRequest request = firstPoll();
        std::optional<PollReply> reply;
        const auto hears = [&](const auto& condition) {
            return cluster.runUntil([&] {
                reply = cluster.poll(member, request);
                return reply && condition();
            });
        };
        // The member before it may have seen the last change sooner.
        const char* const before = member % 2 == 0 ? "serving" : "draining";
        const auto expected =
            member % 2 == 0 ? host_discovery::HostState::serving : host_discovery::HostState::draining;
        const auto isSettled = [&] {
            return reply->hostList && reply->hostList->hosts.front().state == expected;
        };
        ASSERT_TRUE(hears(isSettled)) << member;
        const host_discovery::HostList held{reply->hostList->version, 0, reply->hostList->hosts};
        request.hostList = held.version;
        hosts[0] = hostEntry(1, before == std::string("serving") ? "draining" : "serving");
        ASSERT_TRUE(hears([&] { return reply->hostList || reply->hostChanges; })) << member;
        ASSERT_TRUE(reply->hostChanges) << member;
        EXPECT_FALSE(reply->hostList);
        EXPECT_EQ(reply->hostChanges->changes.changed.size(), 1u);
        EXPECT_TRUE(reply->hostChanges->changes.removed.empty());
        const auto applied = host_discovery::applyChanges(held, reply->hostChanges->changes, 0);
        ASSERT_TRUE(applied);
        // A gateway of an older version, which holds the same, gets the whole list.
        request.takesHostChanges = false;
        ASSERT_TRUE(hears([&] { return reply->hostList || reply->hostChanges; })) << member;
        EXPECT_FALSE(reply->hostChanges);
        ASSERT_TRUE(reply->hostList);
        EXPECT_EQ(reply->hostList->hosts, applied->hosts);
        request.takesHostChanges = true;
        // A gateway whose list the member does not know gets the whole one, and it is the same.
        request.hostList = {0, 1, 77};
        ASSERT_TRUE(hears([&] { return reply->hostList.has_value(); })) << member;
        EXPECT_FALSE(reply->hostChanges);
        EXPECT_EQ(reply->hostList->version, applied->version);
        EXPECT_EQ(reply->hostList->hosts, applied->hosts);
    }
}

}  // namespace
}  // namespace beechpoint::control
