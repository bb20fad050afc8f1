// What gateways are sent when the platform's host list changes.
#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <memory>
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
    request.acceptsHostChanges = true;
    return request;
}

// A cluster whose members read the host list of a fake platform, and one gateway that polls each member in turn.
class HostListChangesAtControl : public testing::Test {
protected:
    HostListChangesAtControl()
        : platform_(cluster_.io(), cluster_.clock(), cluster_.logger(), 16,
                    [this](const net::HttpMessage&, const std::shared_ptr<net::HttpConnection>& connection) {
                        const Json page{{"instances", hosts_}, {"next_page_token", nullptr}};
                        connection->respond(200, "application/json", page.dump());
                    }) {
        for (int number = 1; number <= 6; number++) hosts_.push_back(hostEntry(number, "serving"));
    }

    void startCluster() {
        platform_.listen({asio::ip::address_v4::loopback(), 0});
        cluster_.setPlatform("127.0.0.1:" + std::to_string(platform_.endpoint().port()));
        cluster_.bootstrap();
        ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.installed(); }));
    }

    // Polls until a reply fulfils the condition; it is in reply_ then.
    template <class Condition>
    bool pollUntil(std::size_t member, const Condition& condition) {
        return cluster_.runUntil([&] {
            reply_ = cluster_.poll(member, request_);
            return reply_ && condition();
        });
    }

    bool pollUntilUpdated(std::size_t member) {
        return pollUntil(member, [&] { return reply_->hostList || reply_->hostChanges; });
    }

    // The member before it may have received the last change sooner.
    void expectFullListWhenNoneIsHeld(std::size_t member, host_discovery::HostState firstState) {
        request_ = firstPoll();
        const auto hasExpectedState = [&] {
            return reply_->hostList && reply_->hostList->hosts.front().state == firstState;
        };
        ASSERT_TRUE(pollUntil(member, hasExpectedState)) << member;
        held_ = {reply_->hostList->version, 0, reply_->hostList->hosts};
    }

    void expectOnlyChangesWhenVersionHeldIsKnown(std::size_t member) {
        request_.hostList = held_.version;
        ASSERT_TRUE(pollUntilUpdated(member)) << member;
        ASSERT_TRUE(reply_->hostChanges) << member;
        EXPECT_FALSE(reply_->hostList);
        EXPECT_EQ(reply_->hostChanges->changes.changed.size(), 1u);
        EXPECT_TRUE(reply_->hostChanges->changes.removed.empty());
        newest_ = host_discovery::applyChanges(held_, reply_->hostChanges->changes, 0);
        ASSERT_TRUE(newest_);
    }

    // As a gateway of an earlier version polls that holds the same list.
    void expectFullListWhenChangesAreNotAccepted(std::size_t member) {
        request_.acceptsHostChanges = false;
        ASSERT_TRUE(pollUntilUpdated(member)) << member;
        EXPECT_FALSE(reply_->hostChanges);
        ASSERT_TRUE(reply_->hostList);
        EXPECT_EQ(reply_->hostList->hosts, newest_->hosts);
    }

    void expectFullListWhenVersionHeldIsNotKnown(std::size_t member) {
        request_.acceptsHostChanges = true;
        request_.hostList = {0, 1, 77};
        ASSERT_TRUE(pollUntil(member, [&] { return reply_->hostList.has_value(); })) << member;
        EXPECT_FALSE(reply_->hostChanges);
        EXPECT_EQ(reply_->hostList->version, newest_->version);
        EXPECT_EQ(reply_->hostList->hosts, newest_->hosts);
    }

    Cluster cluster_;
    Json hosts_ = Json::array();
    net::HttpServer platform_;
    PollRequest request_;
    std::optional<PollReply> reply_;
    host_discovery::HostList held_;
    std::shared_ptr<const host_discovery::HostList> newest_;
};

TEST_F(HostListChangesAtControl, SendsChangesWhenTheVersionHeldIsKnownElseTheFullList) {
    ASSERT_NO_FATAL_FAILURE(startCluster());
    auto state = host_discovery::HostState::serving;
    for (std::size_t member = 0; member < Cluster::kMembers; member++) {
        ASSERT_NO_FATAL_FAILURE(expectFullListWhenNoneIsHeld(member, state));
        const bool wasServing = state == host_discovery::HostState::serving;
        hosts_[0] = hostEntry(1, wasServing ? "draining" : "serving");
        state = wasServing ? host_discovery::HostState::draining : host_discovery::HostState::serving;
        ASSERT_NO_FATAL_FAILURE(expectOnlyChangesWhenVersionHeldIsKnown(member));
        ASSERT_NO_FATAL_FAILURE(expectFullListWhenChangesAreNotAccepted(member));
        ASSERT_NO_FATAL_FAILURE(expectFullListWhenVersionHeldIsNotKnown(member));
    }
}

}  // namespace
}  // namespace beechpoint::control
