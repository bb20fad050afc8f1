// Tests of a control member's poll answers and peer updates.
#include "control/gateway_service_state.hpp"

#include <gtest/gtest.h>

#include <utility>

#include "core/splitmix.hpp"

namespace beechpoint::control {
namespace {

class FakeHostListSource final : public HostListSource {
public:
    void start(std::uint64_t, std::uint64_t, std::shared_ptr<const host_discovery::HostList>) override {
        isRunning = true;
    }
    void stop() override { isRunning = false; }
    bool running() const override { return isRunning; }
    int failures() const override { return 0; }
    void raiseNumber(std::uint64_t) override {}
    bool isRunning = false;
};

class FakeTable final : public CommittedTableSource {
public:
    explicit FakeTable(std::size_t self) : self_(self) {
        view_.epoch = 1;
        for (int number = 0; number < 3; ++number) {
            replica::Member member;
            member.name = "c" + std::to_string(number);
            member.internalAddress = member.name + ":1";
            member.zone = "z" + std::to_string(number);
            view_.members.push_back(member);
        }
    }
    bool fresh(Millis) const override { return isFresh; }
    Position committedPosition() const override { return {1, 1}; }
    std::uint64_t clusterId() const override { return cluster; }
    std::optional<TableUpdate> updateSince(Position) const override {
        return TableUpdate{{1, 1}, true, {{"key", value}}};
    }
    const replica::Member& self() const override { return view_.members[self_]; }
    const replica::View& view() const override { return view_; }
    bool inView() const override { return true; }
    bool isFresh = true;
    std::string value = "small";
    std::uint64_t cluster = 7;

private:
    std::size_t self_;
    replica::View view_;
};

// The state that the gateway holds when it polls.
enum class Held { nothing, newestTable };

PollRequest pollOf(const std::string& name, Held held = Held::newestTable) {
    PollRequest request;
    request.gateway.name = name;
    request.gateway.session = 1;
    request.gateway.zone = "z1";
    request.gateway.region = "r1";
    request.gateway.frontAddress = name + ":80";
    request.gateway.ready = true;
    if (held == Held::newestTable) request.position = {1, 1};
    request.waitMs = held == Held::nothing ? 0 : 1000;
    request.acceptsHostChanges = request.acceptsPackedState = true;
    return request;
}

std::string incompressible(std::size_t size) {
    std::string text;
    SplitMix random(7);
    while (text.size() < size) text.push_back(static_cast<char>(random.bits()));
    return text;
}

struct Service {
    FakeTable table{0};
    FakeHostListSource source;
    GatewayServiceState state{{}, 0, source};
    PollTicket tickets = 0;
    ServiceActions poll(Millis now, const PollRequest& request) {
        return state.onPoll(now, &table, request, ++tickets);
    }
    ServiceActions tick(Millis now) { return state.tick(now, &table); }
    ServiceActions onHostList(Millis now, std::shared_ptr<const host_discovery::HostList> list) {
        return state.onHostList(now, &table, std::move(list), now);
    }
};

TEST(GatewayServiceState, SendsLargeStateToGatewaysWithASlotAndRetryAfterToTheOthers) {
    Service service;
    service.table.value = incompressible(kLargeReply * 2);
    std::size_t served = 0;
    for (std::size_t number = 0; number < 20; ++number) {
        const auto actions = service.poll(10, pollOf("g" + std::to_string(number), Held::nothing));
        ASSERT_EQ(actions.answers.size(), 1u);
        const PollReply& reply = actions.answers.front().reply;
        EXPECT_EQ(reply.status, PollStatus::ok);
        EXPECT_EQ(reply.packedTable.empty(), reply.retryAfterMs > 0);
        if (!reply.packedTable.empty()) ++served;
    }
    EXPECT_EQ(served, TransferSlots::kSlots);
    service.poll(20, pollOf("g0"));
    EXPECT_FALSE(service.poll(30, pollOf("g19", Held::nothing)).answers.front().reply.packedTable.empty());
}

TEST(GatewayServiceState, SendsLargeStateWithoutASlotWhenTheGatewayDoesNotAcceptPackedState) {
    Service service;
    service.table.value = incompressible(kLargeReply * 2);
    for (std::size_t number = 0; number < 20; ++number) {
        PollRequest request = pollOf("g" + std::to_string(number), Held::nothing);
        request.acceptsPackedState = false;
        EXPECT_FALSE(service.poll(10, request).answers.front().reply.packedTable.empty());
    }
}

TEST(GatewayServiceState, SendsHostListAfterTheTableWhenBothExceedTheReplyBudget) {
    Service service;
    service.table.value = incompressible(kReplyBudget);
    auto list = std::make_shared<host_discovery::HostList>();
    list->version = {1, 1, 1};
    host_discovery::Host host;
    host.instanceId = incompressible(kLargeReply);
    list->hosts.push_back(host);
    service.onHostList(5, list);
    const auto first = service.poll(10, pollOf("g0", Held::nothing));
    EXPECT_FALSE(first.answers.front().reply.packedTable.empty());
    EXPECT_TRUE(first.answers.front().reply.packedHostList.empty());
    const auto second = service.poll(20, pollOf("g0"));
    ASSERT_EQ(second.answers.size(), 1u);
    EXPECT_TRUE(second.answers.front().reply.packedTable.empty());
    EXPECT_FALSE(second.answers.front().reply.packedHostList.empty());
}

TEST(GatewayServiceState, AnswersNotFreshAfterTheWaitWhenTheTableIsNotFresh) {
    Service service;
    service.table.isFresh = false;
    EXPECT_TRUE(service.poll(0, pollOf("g0", Held::nothing)).answers.empty());
    service.tick(10);
    const auto actions = service.tick(10 + kNotFreshWait);
    ASSERT_EQ(actions.answers.size(), 1u);
    const PollReply& refusal = actions.answers.front().reply;
    EXPECT_EQ(refusal.status, PollStatus::notFresh);
    EXPECT_EQ(refusal.members, (std::vector<std::string>{"c0:1", "c1:1", "c2:1"})) << "whom to ask instead";
    EXPECT_TRUE(refusal.packedTable.empty());
    EXPECT_FALSE(refusal.table);
}

// A gateway of another cluster, one of whose members had this address before, gets no state and no lease.
TEST(GatewayServiceState, RefusesGatewaysOfAnotherCluster) {
    Service service;
    PollRequest poll = pollOf("g1", Held::nothing);
    poll.clusterId = 8;
    const auto refused = service.poll(0, poll);
    ASSERT_EQ(refused.answers.size(), 1u);
    EXPECT_EQ(refused.answers.front().reply.status, PollStatus::clusterMismatch);
    EXPECT_TRUE(refused.answers.front().reply.members.empty());
    EXPECT_TRUE(service.state.leases().liveGateways(1).empty());
    for (const std::uint64_t cluster : {std::uint64_t{7}, std::uint64_t{0}}) {
        poll.clusterId = cluster;
        const auto answered = service.poll(10, poll);
        ASSERT_EQ(answered.answers.size(), 1u);
        EXPECT_EQ(answered.answers.front().reply.status, PollStatus::ok);
        EXPECT_EQ(answered.answers.front().reply.clusterId, 7u);
    }
    EXPECT_EQ(service.state.leases().liveGateways(11).size(), 1u);
}

TEST(GatewayServiceState, IgnoresPeerUpdatesOfAnotherCluster) {
    Service service;
    PeerUpdate update;
    update.member = "c1";
    update.leases.push_back({pollOf("g9").gateway, 0});
    update.clusterId = 8;
    PeerUpdateReply reply;
    EXPECT_FALSE(service.state.onPeerUpdate(0, &service.table, update, reply).gatewaysChanged);
    EXPECT_TRUE(service.state.leases().liveGateways(1).empty());
    update.clusterId = 7;
    EXPECT_TRUE(service.state.onPeerUpdate(0, &service.table, update, reply).gatewaysChanged);
    EXPECT_EQ(service.state.leases().liveGateways(1).size(), 1u);
}

// A large table is sent in chunks to a gateway that accepts them, and in one reply to any other.
TEST(GatewayServiceState, SendsALargeTableInChunksToGatewaysThatAcceptThem) {
    Service service;
    service.table.value = incompressible(3 * kChunkBytes);
    PollRequest poll = pollOf("g1", Held::nothing);
    const PollReply complete = service.poll(0, poll).answers.front().reply;
    EXPECT_EQ(complete.transferSize, 0u);
    EXPECT_GT(complete.packedTable.size(), 3 * kChunkBytes);
    poll.acceptsChunks = true;
    const PollReply chunk = service.poll(10, poll).answers.front().reply;
    EXPECT_EQ(chunk.transferSize, complete.packedTable.size());
    EXPECT_EQ(chunk.packedTable, complete.packedTable.substr(0, kChunkBytes));
    poll.transferDigest = chunk.transferDigest;
    poll.transferOffset = kChunkBytes;
    service.table.value = "another";
    const PollReply next = service.poll(20, poll).answers.front().reply;
    EXPECT_EQ(next.transferOffset, kChunkBytes);
    EXPECT_EQ(next.packedTable, complete.packedTable.substr(kChunkBytes, kChunkBytes));
}

TEST(GatewayServiceState, AnswersLongPollsOnceWhenTheCountOfGatewaysIncreases) {
    Service service;
    const Millis known = 3000;
    for (Millis now = 0; now <= known; now += kServiceTick) service.tick(now);
    std::size_t answered = 0;
    Millis now = known;
    const auto tick = [&] {
        now += kServiceTick;
        const auto actions = service.tick(now);
        for (const PollAnswer& answer : actions.answers)
            answered += answer.reply.maxLiveGateways.value_or(0) == 40;
    };
    for (std::size_t number = 0; number < 40; ++number)
        EXPECT_TRUE(service.poll(known + static_cast<double>(number), pollOf("g" + std::to_string(number)))
                        .answers.empty());
    while (now < known + kCountWindow + 2 * kServiceTick) tick();
    EXPECT_EQ(answered, 40u);
    for (std::size_t number = 0; number < 40; ++number)
        service.poll(now, pollOf("g" + std::to_string(number)));
    EXPECT_TRUE(service.poll(now, pollOf("one-more")).answers.empty());
    while (now < known + 700) tick();
    EXPECT_EQ(answered, 40u);
}

enum class Delivery { acknowledged, replyLost };

// Two members; the test delivers the updates of the first to the second.
struct TwoMembers {
    FakeTable tables[2] = {FakeTable(0), FakeTable(1)};
    FakeHostListSource source;
    GatewayServiceState first{{}, 0, source};
    std::optional<GatewayServiceState> secondState{std::in_place, leases::LeaseTable::Settings{}, 0, source};
    GatewayServiceState& second() { return *secondState; }
    void restartSecond(Millis now) { secondState.emplace(leases::LeaseTable::Settings{}, now, source); }

    ServiceActions pollFirst(Millis now, PollTicket ticket) {
        return first.onPoll(now, &tables[0], pollOf("g0"), ticket);
    }

    PeerUpdate exchangeUpdate(Millis now, Delivery delivery = Delivery::acknowledged) {
        PeerUpdate sent;
        const auto actions = first.tick(now, &tables[0]);
        for (const PeerUpdateCall& call : actions.peerUpdates) {
            if (call.member != "c1") continue;
            sent = call.peerUpdate;
            PeerUpdateReply reply;
            static_cast<void>(second().onPeerUpdate(now, &tables[1], call.peerUpdate, reply));
            first.onPeerUpdateReply(call.member,
                                    delivery == Delivery::acknowledged ? std::optional(reply) : std::nullopt);
        }
        return sent;
    }
};

TEST(GatewayServiceState, SendsALeaseInFullUntilAcknowledgedAndThenItsRenewals) {
    TwoMembers members;
    members.pollFirst(0, 1);
    EXPECT_EQ(members.exchangeUpdate(500).leases.size(), 1u);
    members.pollFirst(600, 2);
    EXPECT_EQ(members.exchangeUpdate(1000).leases.size(), 1u);
    members.pollFirst(1100, 3);
    const PeerUpdate third = members.exchangeUpdate(1500);
    EXPECT_TRUE(third.leases.empty());
    ASSERT_EQ(third.renewals.size(), 1u);
    EXPECT_EQ(third.renewals.front().ageMs, 400u);
    EXPECT_TRUE(members.second().leases().isLive("g0", 4000));
    const PeerUpdate fourth = members.exchangeUpdate(2000);
    EXPECT_TRUE(fourth.leases.empty() && fourth.renewals.empty());
    EXPECT_FALSE(members.second().leases().isLive("g0", 4200));
}

TEST(GatewayServiceState, SendsALeaseInFullAgainWhenAMemberDoesNotKnowIt) {
    TwoMembers members;
    for (const Millis now : {0.0, 600.0, 1100.0}) {
        members.pollFirst(now, 1);
        members.exchangeUpdate(now + 400);
    }
    members.restartSecond(1500);
    members.pollFirst(1600, 4);
    EXPECT_EQ(members.exchangeUpdate(2000).renewals.size(), 1u);
    EXPECT_FALSE(members.second().leases().isLive("g0", 2000));
    EXPECT_EQ(members.exchangeUpdate(2500).leases.size(), 1u);
    EXPECT_TRUE(members.second().leases().isLive("g0", 2500));
}

TEST(GatewayServiceState, SendsLeasesAgainWhenAPeerUpdateIsNotAcknowledged) {
    TwoMembers members;
    members.pollFirst(0, 1);
    members.exchangeUpdate(400);
    members.pollFirst(600, 2);
    members.exchangeUpdate(1000, Delivery::replyLost);
    const PeerUpdate again = members.exchangeUpdate(1500);
    EXPECT_EQ(again.leases.size() + again.renewals.size(), 1u);
}

TEST(GatewayServiceState, SendsAllLeasesEachTimeWhenAMemberAcceptsNoIncrements) {
    TwoMembers members;
    members.pollFirst(0, 1);
    for (const Millis now : {500.0, 1000.0, 1500.0}) {
        const auto actions = members.first.tick(now, &members.tables[0]);
        ASSERT_FALSE(actions.peerUpdates.empty());
        EXPECT_EQ(actions.peerUpdates.front().peerUpdate.leases.size(), 1u);
        for (const PeerUpdateCall& call : actions.peerUpdates)
            members.first.onPeerUpdateReply(call.member, PeerUpdateReply{});
    }
}

TEST(GatewayServiceState, RepliesWithTheRegionsOfMembers) {
    Service service;
    const auto actions = service.poll(0, pollOf("g0", Held::nothing));
    const PollReply& reply = actions.answers.front().reply;
    EXPECT_EQ(reply.members, (std::vector<std::string>{"c0:1", "c1:1", "c2:1"}));
    EXPECT_EQ(reply.memberRegions, (std::vector<std::string>{"", "r1", ""}));
}

}  // namespace
}  // namespace beechpoint::control
