// What a control member answers polls with and tells the other members.
#include "control/gateway_service_state.hpp"

#include <gtest/gtest.h>

#include <utility>

#include "core/splitmix.hpp"

namespace beechpoint::control {
namespace {

class Source final : public HostListSource {
public:
    void start(std::uint64_t, std::uint64_t, std::shared_ptr<const host_discovery::HostList>) override {
        on = true;
    }
    void stop() override { on = false; }
    bool running() const override { return on; }
    int failures() const override { return 0; }
    void raiseNumber(std::uint64_t) override {}
    bool on = false;
};

class Table final : public CommittedTableSource {
public:
    explicit Table(std::size_t self) : self_(self) {
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
    std::optional<TableUpdate> updateSince(Position) const override {
        return TableUpdate{{1, 1}, true, {{"key", value}}};
    }
    const replica::Member& self() const override { return view_.members[self_]; }
    const replica::View& view() const override { return view_; }
    bool inView() const override { return true; }
    bool isFresh = true;
    std::string value = "small";

private:
    std::size_t self_;
    replica::View view_;
};

PollRequest pollOf(const std::string& name, bool first = false) {
    PollRequest request;
    request.gateway.name = name;
    request.gateway.session = 1;
    request.gateway.zone = "z1";
    request.gateway.region = "r1";
    request.gateway.frontAddress = name + ":80";
    request.gateway.ready = true;
    if (!first) request.position = {1, 1};
    request.waitMs = first ? 0 : 1000;
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
    Table table{0};
    Source source;
    GatewayServiceState state{{}, 0, source};
    PollTicket tickets = 0;
    ServiceActions poll(Millis now, const PollRequest& request) {
        return state.onPoll(now, &table, request, ++tickets);
    }
};

TEST(GatewayServiceState, SendsLargeStateToAFewAtATimeAndTellsTheRestWhenToComeBack) {
    Service service;
    service.table.value = incompressible(kLargeAnswer * 2);
    std::size_t served = 0;
    for (std::size_t number = 0; number < 20; ++number) {
        const auto actions = service.poll(10, pollOf("g" + std::to_string(number), true));
        ASSERT_EQ(actions.answers.size(), 1u);
        const PollReply& reply = actions.answers.front().reply;
        EXPECT_EQ(reply.status, PollStatus::ok);
        EXPECT_EQ(reply.packedTable.empty(), reply.retryAfterMs > 0);
        if (!reply.packedTable.empty()) ++served;
    }
    EXPECT_EQ(served, TransferSlots::kSlots);
    service.poll(20, pollOf("g0"));
    EXPECT_FALSE(service.poll(30, pollOf("g19", true)).answers.front().reply.packedTable.empty());
}

TEST(GatewayServiceState, SendsLargeStateToAGatewayThatCannotBeToldToComeBack) {
    Service service;
    service.table.value = incompressible(kLargeAnswer * 2);
    for (std::size_t number = 0; number < 20; ++number) {
        PollRequest request = pollOf("g" + std::to_string(number), true);
        request.acceptsPackedState = false;
        EXPECT_FALSE(service.poll(10, request).answers.front().reply.packedTable.empty());
    }
}

TEST(GatewayServiceState, SendsTableAndListOneAfterTheOtherWhereBothAreLarge) {
    Service service;
    service.table.value = incompressible(kAnswerBudget);
    auto list = std::make_shared<host_discovery::HostList>();
    list->version = {1, 1, 1};
    host_discovery::Host host;
    host.instanceId = incompressible(kLargeAnswer);
    list->hosts.push_back(host);
    service.state.onHosts(5, &service.table, list, 5);
    const auto first = service.poll(10, pollOf("g0", true));
    EXPECT_FALSE(first.answers.front().reply.packedTable.empty());
    EXPECT_TRUE(first.answers.front().reply.packedHostList.empty());
    const auto second = service.poll(20, pollOf("g0"));
    ASSERT_EQ(second.answers.size(), 1u);
    EXPECT_TRUE(second.answers.front().reply.packedTable.empty());
    EXPECT_FALSE(second.answers.front().reply.packedHostList.empty());
}

TEST(GatewayServiceState, AnswersNothingWhileItMayNotVouchForItsTable) {
    Service service;
    service.table.isFresh = false;
    EXPECT_TRUE(service.poll(0, pollOf("g0", true)).answers.empty());
    service.state.tick(10, &service.table);
    const auto actions = service.state.tick(10 + kNotFreshWait, &service.table);
    ASSERT_EQ(actions.answers.size(), 1u);
    EXPECT_EQ(actions.answers.front().reply.status, PollStatus::notFresh);
}

TEST(GatewayServiceState, GathersRisesOfTheCountAndWakesOnceForThem) {
    Service service;
    const Millis known = 3000;
    for (Millis now = 0; now <= known; now += kServiceTick) service.state.tick(now, &service.table);
    std::size_t woken = 0;
    Millis now = known;
    const auto tick = [&] {
        now += kServiceTick;
        const auto actions = service.state.tick(now, &service.table);
        for (const PollAnswer& answer : actions.answers) woken += answer.reply.largestLive.value_or(0) == 40;
    };
    for (std::size_t number = 0; number < 40; ++number)
        EXPECT_TRUE(service.poll(known + static_cast<double>(number), pollOf("g" + std::to_string(number)))
                        .answers.empty());
    while (now < known + kCountWindow + 2 * kServiceTick) tick();
    EXPECT_EQ(woken, 40u);
    for (std::size_t number = 0; number < 40; ++number)
        service.poll(now, pollOf("g" + std::to_string(number)));
    EXPECT_TRUE(service.poll(now, pollOf("one-more")).answers.empty());
    while (now < known + 700) tick();
    EXPECT_EQ(woken, 40u);
}

// Two members with the shares between them carried by hand.
struct Pair {
    Table tables[2] = {Table(0), Table(1)};
    Source source;
    GatewayServiceState first{{}, 0, source};
    std::optional<GatewayServiceState> held{std::in_place, leases::LeaseTable::Settings{}, 0, source};
    GatewayServiceState& second() { return *held; }
    void restartSecond(Millis now) { held.emplace(leases::LeaseTable::Settings{}, now, source); }

    PeerUpdate carry(Millis now, bool answered = true) {
        PeerUpdate carried;
        const auto actions = first.tick(now, &tables[0]);
        for (const PeerUpdateCall& call : actions.peerUpdates) {
            if (call.member != "c1") continue;
            carried = call.peerUpdate;
            PeerUpdateReply reply;
            second().onPeerUpdate(now, &tables[1], call.peerUpdate, reply);
            first.onPeerUpdateReply(now, &tables[0], call.member,
                                    answered ? std::optional(reply) : std::nullopt);
        }
        return carried;
    }
};

TEST(GatewayServiceState, TellsALeaseWholeOnceAndThenItsRenewals) {
    Pair pair;
    pair.first.onPoll(0, &pair.tables[0], pollOf("g0"), 1);
    EXPECT_EQ(pair.carry(500).leases.size(), 1u);
    pair.first.onPoll(600, &pair.tables[0], pollOf("g0"), 2);
    EXPECT_EQ(pair.carry(1000).leases.size(), 1u);
    pair.first.onPoll(1100, &pair.tables[0], pollOf("g0"), 3);
    const PeerUpdate third = pair.carry(1500);
    EXPECT_TRUE(third.leases.empty());
    ASSERT_EQ(third.renewals.size(), 1u);
    EXPECT_EQ(third.renewals.front().ageMs, 400u);
    EXPECT_TRUE(pair.second().leases().isLive("g0", 4000));
    const PeerUpdate fourth = pair.carry(2000);
    EXPECT_TRUE(fourth.leases.empty() && fourth.renewals.empty());
    EXPECT_FALSE(pair.second().leases().isLive("g0", 4200));
}

TEST(GatewayServiceState, TellsALeaseWholeAgainToAMemberThatLostIt) {
    Pair pair;
    for (const Millis now : {0.0, 600.0, 1100.0}) {
        pair.first.onPoll(now, &pair.tables[0], pollOf("g0"), 1);
        pair.carry(now + 400);
    }
    pair.restartSecond(1500);
    pair.first.onPoll(1600, &pair.tables[0], pollOf("g0"), 4);
    EXPECT_EQ(pair.carry(2000).renewals.size(), 1u);
    EXPECT_FALSE(pair.second().leases().isLive("g0", 2000));
    EXPECT_EQ(pair.carry(2500).leases.size(), 1u);
    EXPECT_TRUE(pair.second().leases().isLive("g0", 2500));
}

TEST(GatewayServiceState, RepeatsWhatAShareWithoutAnAnswerSaid) {
    Pair pair;
    pair.first.onPoll(0, &pair.tables[0], pollOf("g0"), 1);
    pair.carry(400);
    pair.first.onPoll(600, &pair.tables[0], pollOf("g0"), 2);
    pair.carry(1000, false);
    const PeerUpdate again = pair.carry(1500);
    EXPECT_EQ(again.leases.size() + again.renewals.size(), 1u);
}

TEST(GatewayServiceState, TellsAMemberThatTakesNoIncrementsAllLeasesEachTime) {
    Pair pair;
    pair.first.onPoll(0, &pair.tables[0], pollOf("g0"), 1);
    for (const Millis now : {500.0, 1000.0, 1500.0}) {
        const auto actions = pair.first.tick(now, &pair.tables[0]);
        ASSERT_FALSE(actions.peerUpdates.empty());
        EXPECT_EQ(actions.peerUpdates.front().peerUpdate.leases.size(), 1u);
        for (const PeerUpdateCall& call : actions.peerUpdates)
            pair.first.onPeerUpdateReply(now, &pair.tables[0], call.member, PeerUpdateReply{});
    }
}

TEST(GatewayServiceState, SaysInWhichRegionMembersAre) {
    Service service;
    const auto actions = service.poll(0, pollOf("g0", true));
    const PollReply& reply = actions.answers.front().reply;
    EXPECT_EQ(reply.members, (std::vector<std::string>{"c0:1", "c1:1", "c2:1"}));
    EXPECT_EQ(reply.memberRegions, (std::vector<std::string>{"", "r1", ""}));
}

}  // namespace
}  // namespace beechpoint::control
