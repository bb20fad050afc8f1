// A complete gateway on loopback: control and hosts are scripted peers on the same loop.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "control_messages/codec.hpp"
#include "gateway/gateway.hpp"
#include "loopback.hpp"
#include "rpc/server.hpp"

namespace beechpoint::gateway {

using test::connectTo;
using test::Peer;
using test::PeerPtr;
using test::runReadyHandlers;
using test::ScriptedHost;
using test::until;

inline constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: seal\r\n";

// A control member that knows one table and one list of hosts.
class ScriptedControl {
public:
    ScriptedControl(asio::io_context& io, Logger& log) : server_(io, log) {
        server_.onRequest([this](std::string bytes, rpc::Reply reply) { answer(bytes, std::move(reply)); });
        EXPECT_TRUE(server_.listen("127.0.0.1:0"));
    }
    std::uint16_t port() const { return server_.port(); }

    // Table and hosts have changed: polls that wait are answered.
    void publish() {
        ++number;
        for (auto& [poll, reply] : std::exchange(pendingPolls_, {})) answerPoll(poll, std::move(reply));
    }

    Table table;
    std::vector<host_discovery::Host> hosts;
    std::uint64_t number = 1;  // of both
    std::optional<control::PollRequest> lastPoll;
    control::PollStatus status = control::PollStatus::ok;
    std::vector<leases::Gateway> directory;

private:
    void answer(const std::string& bytes, rpc::Reply reply) {
        const auto envelope = control::openEnvelope(bytes);
        ASSERT_TRUE(envelope);
        const auto poll = control::decodePollRequest(envelope.value().body);
        ASSERT_TRUE(poll);
        answerPoll(poll.value(), std::move(reply));
    }
    void answerPoll(const control::PollRequest& poll, rpc::Reply reply) {
        lastPoll = poll;
        control::PollReply answer;
        answer.status = status;
        const Position newest{1, number};
        if (poll.position < newest) answer.table = TableUpdate{newest, true, changes()};
        answer.hostListVersion = {1, number, 1};
        if (poll.hostList != answer.hostListVersion)
            answer.hostList = control::HostListSnapshot{answer.hostListVersion, 0, hosts};
        answer.hostListAge = 0;
        answer.maxLiveGateways = 1;
        answer.directoryDigest = 7;
        if (poll.directoryDigest != answer.directoryDigest) answer.directory = directory;
        if (poll.waitMs > 0 && !answer.table && !answer.hostList) {
            pendingPolls_.emplace_back(poll, std::move(reply));  // nothing new: the poll stays open
            return;
        }
        reply.send(control::encode(answer));
    }
    std::vector<Change> changes() const {
        std::vector<Change> all;
        for (const auto& [key, value] : table) all.push_back({key, value});
        return all;
    }
    rpc::Server server_;
    std::vector<std::pair<control::PollRequest, rpc::Reply>> pendingPolls_;
};

class GatewayTest : public ::testing::Test {
protected:
    GatewayTest() : log(clock, logging::Format::json, -1), control(io, log), host(io) {
        control.table["meta/version"] = "5";
        control.table["service/llm"] =
            R"(1 {"name":"llm","health_check_path":"/health","max_connections":50,"warmup_s":0,"warmup_per_s":0})";
        addRoute("plain", "/p/", R"("type":"non_idempotent","max_attempts":1)");
        addRoute("safe", "/s/", R"("type":"idempotent","max_attempts":2)");
        addRoute("stream", "/e/", R"("type":"streaming","max_attempts":1,"gap_aim_ms":400)");
        addRoute("resumable", "/r/",
                 R"("type":"streaming","max_attempts":2,"resumable":true,"gap_aim_ms":400)");
        addHost("i-1", host);
        settings.timingBounds.retryBudgetSlack = 50;
        settings.timingBounds.graceS = 8;
    }
    void addRoute(const std::string& name, const std::string& prefix, const std::string& rest) {
        control.table["route/" + name] =
            fmt::format(R"(1 {{"name":"{}","hostname":"h.example","path_prefix":"{}","timeout_ms":5000,)"
                        R"("target_latency_ms":800,"priority_class":0,"backend":"llm",{}}})",
                        name, prefix, rest);
    }
    void addHost(const std::string& id, const ScriptedHost& at, const std::string& zone = "z1",
                 const std::string& service = "llm") {
        host_discovery::Host entry;
        entry.instanceId = id;
        entry.service = service;
        entry.address = fmt::format("127.0.0.1:{}", at.endpoint().port());
        entry.zone = zone;
        entry.capacity = 8;
        control.hosts.push_back(entry);
    }
    void start() {
        launch();
        ASSERT_TRUE(until(io, [&] { return gateway->ready(); }));
        runReadyHandlers(io);
    }
    void launch() {
        settings.nodeName = "g1";
        settings.zone = "z1";
        settings.region = "r1";
        settings.zones = {{"z1", "r1"}, {"z2", "r2"}};
        settings.internalPortRange = {control.port(), control.port()};
        settings.seedNodes = {"127.0.0.1:1"};
        settings.listenAddresses.front = "127.0.0.1:0";
        settings.listenAddresses.readiness = "127.0.0.1:0";
        settings.listenAddresses.directory = "127.0.0.1:0";
        settings.cloudApi.address = "127.0.0.1:9";
        settings.limits.maxOpenFiles = 4100;
        gateway.emplace(io, settings, Policy{}, clock, log);
        gateway->start();
    }
    PeerPtr ask(const std::string& path, const std::string& id = "a1", const std::string& extra = "") {
        const PeerPtr client = connectTo(io, gateway->frontEndpoint());
        client->send(
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n"
                        "X-Deadline-Remaining: 4000\r\n{}Content-Length: 2\r\n\r\nhi",
                        path, id, extra));
        return client;
    }

    // Publishes what control has now and waits until it is in force at the gateway.
    void publish() {
        control.publish();
        ASSERT_TRUE(until(io, [&] { return control.lastPoll->position == Position{1, control.number}; }));
        runReadyHandlers(io);
    }

    asio::io_context io;
    Clock clock;
    settings::ProcessSettings settings;
    Logger log;
    ScriptedControl control;
    ScriptedHost host;
    std::optional<Gateway> gateway;
};

}  // namespace beechpoint::gateway
