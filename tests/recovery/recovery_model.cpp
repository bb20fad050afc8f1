#include "recovery_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "control/gateway_service_state.hpp"
#include "control_messages/codec.hpp"
#include "gateway/control_link_state.hpp"

namespace beechpoint::recovery {
namespace {

using control::GatewayServiceState;
using control::PollReply;
using control::PollRequest;

constexpr Position kCommitted{1, 1};
constexpr Millis kQuietSpan = 5'000;

// Events by time, those of one time in the order in which they were scheduled.
class Schedule {
public:
    void at(Millis time, std::function<void()> event) {
        events_.push({std::max(time, now_), ++count_, std::move(event)});
    }
    bool step(Millis end) {
        if (events_.empty() || events_.top().time > end) return false;
        Event event = std::move(const_cast<Event&>(events_.top()));
        events_.pop();
        now_ = event.time;
        event.happen();
        return true;
    }
    Millis now() const { return now_; }

private:
    struct Event {
        Millis time;
        std::uint64_t order;
        std::function<void()> happen;
        bool operator<(const Event& other) const {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    std::priority_queue<Event> events_;
    std::uint64_t count_ = 0;
    Millis now_ = 0;
};

TableUpdate makeFullTable(std::size_t routes) {
    TableUpdate update{kCommitted, true, {}};
    for (std::size_t number = 0; number < routes; ++number)
        update.changes.push_back({fmt::format("route/tenant-{}", number),
                                  fmt::format(R"({{"name":"tenant-{0}","service":"s{1}","timeout_ms":{2}}})",
                                              number, number % 7, 1000 + number)});
    return update;
}

std::shared_ptr<const host_discovery::HostList> hostList(std::size_t hosts, Millis now,
                                                         std::uint64_t fencingToken) {
    auto list = std::make_shared<host_discovery::HostList>();
    list->version = {fencingToken, 1, 1};
    list->readAt = now;
    for (std::size_t number = 0; number < hosts; ++number) {
        host_discovery::Host host;
        host.instanceId = fmt::format("i-{:05}", number);
        host.service = fmt::format("service-{}", number % 5);
        host.address = fmt::format("10.1.{}.{}:8080", number / 250, number % 250);
        host.zone = fmt::format("zone-{}", number % 6);
        host.revision = "r1";
        host.capacity = 64;
        host.phase = "serving";
        list->hosts.push_back(std::move(host));
    }
    return list;
}

class FakeTable final : public control::CommittedTableSource {
public:
    FakeTable(const ModelSettings& settings, const replica::View& view, std::size_t index,
              const TableUpdate& fullTable)
        : settings_(settings), view_(view), index_(index), fullTable_(fullTable) {}
    bool fresh(Millis now) const override { return now >= settings_.freshAfter; }
    Position committedPosition() const override { return kCommitted; }
    std::uint64_t clusterId() const override { return 1; }
    std::optional<TableUpdate> updateSince(Position) const override { return fullTable_; }
    const replica::Member& self() const override { return view_.members[index_]; }
    const replica::View& view() const override { return view_; }
    bool inView() const override { return true; }

private:
    const ModelSettings& settings_;
    const replica::View& view_;
    std::size_t index_;
    const TableUpdate& fullTable_;
};

class FakeHostListSource final : public control::HostListSource {
public:
    explicit FakeHostListSource(std::function<void(std::uint64_t fencingToken)> started)
        : started_(std::move(started)) {}
    void start(std::uint64_t fencingToken, std::uint64_t,
               std::shared_ptr<const host_discovery::HostList>) override {
        if (!std::exchange(running_, true)) started_(fencingToken);
    }
    void stop() override { running_ = false; }
    bool running() const override { return running_; }
    int failures() const override { return 0; }
    void raiseNumber(std::uint64_t) override {}

private:
    std::function<void(std::uint64_t)> started_;
    bool running_ = false;
};

// The outgoing link of one process: first in, first out.
class Sender {
public:
    Sender(const ModelSettings& settings, Schedule& schedule) : settings_(settings), schedule_(schedule) {}
    void send(std::size_t bytes, std::function<void()> arrive) {
        const Millis sendTime = settings_.costPerMessage + static_cast<double>(bytes) / settings_.bytesPerMs;
        freeAt_ = std::max(freeAt_, schedule_.now()) + sendTime;
        schedule_.at(freeAt_ + settings_.oneWay, std::move(arrive));
    }

private:
    const ModelSettings& settings_;
    Schedule& schedule_;
    Millis freeAt_ = 0;
};

struct Gateway {
    std::string name, zone, region;
    Position position;
    host_discovery::HostListVersion hosts;
    std::uint64_t digest = 0;
    gateway::ControlLinkState link;
    std::uint64_t pendingPoll = 0;  // number of the poll that awaits its answer
    bool ready() const { return position == kCommitted && hosts.number > 0; }
};

struct Member {
    Member(const ModelSettings& settings, const replica::View& view, std::size_t index,
           const TableUpdate& fullTable, Schedule& schedule,
           std::function<void(std::uint64_t fencingToken)> started)
        : table(settings, view, index, fullTable),
          source(std::move(started)),
          sender(settings, schedule),
          state({}, 0, source) {}

    FakeTable table;
    FakeHostListSource source;
    Sender sender;
    GatewayServiceState state;
    std::map<control::PollTicket, std::function<void(const PollReply&)>> polls;
    control::PollTicket lastTicket = 0;
};

class World {
public:
    explicit World(const ModelSettings& settings)
        : settings_(settings), fullTable_(makeFullTable(settings.routes)) {
        makeView();
        for (std::size_t index = 0; index < settings_.members; ++index) makeMember(index);
        for (std::size_t index = 0; index < settings_.gateways; ++index) makeGateway(index);
    }

    ModelResult run() {
        while (schedule_.step(settings_.length)) {
        }
        return result_;
    }

private:
    std::string zoneOf(std::size_t index) const { return fmt::format("zone-{}", index % settings_.zones); }
    std::string regionOf(std::size_t index) const {
        return fmt::format("region-{}", index % settings_.zones % settings_.regions);
    }
    static std::string addressOf(std::size_t member) { return fmt::format("10.0.0.{}:1", member); }

    void makeView() {
        view_.epoch = 1;
        for (std::size_t index = 0; index < settings_.members; ++index) {
            replica::Member member;
            member.name = fmt::format("control-{}", index);
            member.incarnation = member.session = index + 1;
            member.internalAddress = addressOf(index);
            member.zone = zoneOf(index);
            view_.members.push_back(std::move(member));
        }
    }

    void makeMember(std::size_t index) {
        const auto onStart = [this, index](std::uint64_t fencingToken) {
            schedule_.at(schedule_.now() + settings_.listAfter,
                         [this, index, fencingToken] { onList(index, fencingToken); });
        };
        members_.push_back(std::make_unique<Member>(settings_, view_, index, fullTable_, schedule_, onStart));
        schedule_.at(0, [this, index] { members_[index]->state.onViewChanged(0, &members_[index]->table); });
        tickAfter(index, control::kServiceTick);
    }

    void makeGateway(std::size_t index) {
        Gateway gateway{fmt::format("gateway-{:04}", index),
                        zoneOf(index),
                        regionOf(index),
                        {},
                        {},
                        0,
                        gateway::ControlLinkState(fmt::format("gateway-{:04}", index), index + 1)};
        std::vector<std::string> seeds;
        for (std::size_t member = 0; member < settings_.members; ++member) seeds.push_back(addressOf(member));
        gateway.link.seeds(seeds);
        gateway.link.region(gateway.region);
        gateways_.push_back(std::move(gateway));
        const Millis at =
            settings_.startSpread * static_cast<double>(index) / static_cast<double>(settings_.gateways);
        schedule_.at(at, [this, index] { poll(index, gateways_[index].link.start(schedule_.now())); });
    }

    // --- gateways

    void poll(std::size_t index, const std::optional<gateway::LinkCall>& call) {
        Gateway& gateway = gateways_[index];
        armTimer(index);
        if (!call) return;
        gateway.pendingPoll = call->number;
        PollRequest request = requestOf(gateway, index);
        request.waitMs = call->waitMs;
        const std::size_t member = memberAt(call->address);
        schedule_.at(schedule_.now() + settings_.oneWay,
                     [this, index, member, number = call->number, request] {
                         onPoll(member, index, number, request);
                     });
        schedule_.at(schedule_.now() + call->timeout,
                     [this, index, number = call->number] { onTimeout(index, number); });
    }

    PollRequest requestOf(const Gateway& gateway, std::size_t index) const {
        PollRequest request;
        request.gateway.name = gateway.name;
        request.gateway.session = index + 1;
        request.gateway.zone = gateway.zone;
        request.gateway.region = gateway.region;
        request.gateway.frontAddress = fmt::format("10.200.{}.{}:8080", index / 256, index % 256);
        request.gateway.ready = gateway.ready();
        request.position = gateway.position;
        request.hostList = gateway.hosts;
        request.directoryDigest = gateway.digest;
        request.acceptsHostChanges = request.acceptsPackedState = true;
        return request;
    }

    std::size_t memberAt(const std::string& address) const {
        std::size_t member = 0;
        while (addressOf(member) != address) ++member;
        return member;
    }

    void armTimer(std::size_t index) {
        const auto wakeAt = gateways_[index].link.wakeAt();
        if (!wakeAt) return;
        schedule_.at(*wakeAt, [this, index] {
            const auto call = gateways_[index].link.onTimer(schedule_.now());
            if (call) poll(index, call);
        });
    }

    void onTimeout(std::size_t index, std::uint64_t number) {
        Gateway& gateway = gateways_[index];
        if (gateway.pendingPoll != number) return;
        gateway.pendingPoll = 0;
        ++result_.timeouts;
        gateway.link.onFailure(schedule_.now(), number);
        armTimer(index);
    }

    // An answer to a poll that timed out does not arrive: its connection is closed.
    void onAnswer(std::size_t index, std::uint64_t number, const PollReply& reply) {
        Gateway& gateway = gateways_[index];
        if (gateway.pendingPoll != number) return;
        gateway.pendingPoll = 0;
        const Millis now = schedule_.now();
        if (gateway.link.onReply(now, number, reply) != gateway::ReplyVerdict::accepted)
            return armTimer(index);
        const bool wasReady = gateway.ready();
        if (!reply.packedTable.empty()) gateway.position = kCommitted;
        const bool hasList = reply.hostList || reply.hostChanges || !reply.packedHostList.empty() ||
                             !reply.packedHostChanges.empty();
        if (hasList) gateway.hosts = reply.hostListVersion;
        gateway.digest = reply.directoryDigest;
        if (gateway.ready() == wasReady) return armTimer(index);
        ++result_.served;
        result_.lastServedAt = now;
        poll(index, gateway.link.pollNow(now));
    }

    // --- members

    void onPoll(std::size_t member, std::size_t index, std::uint64_t number, const PollRequest& request) {
        if (member == 0 && schedule_.now() < settings_.unresponsiveUntil) return;
        Member& at = *members_[member];
        const control::PollTicket ticket = ++at.lastTicket;
        at.polls[ticket] = [this, member, index, number](const PollReply& reply) {
            const std::size_t bytes = control::encode(reply).size();
            count(result_.answers, result_.answerBytes, result_.quietAnswerBytes, bytes);
            result_.largestAnswer = std::max<std::uint64_t>(result_.largestAnswer, bytes);
            members_[member]->sender.send(bytes,
                                          [this, index, number, reply] { onAnswer(index, number, reply); });
        };
        perform(member, at.state.onPoll(schedule_.now(), &at.table, request, ticket));
    }

    void onList(std::size_t member, std::uint64_t fencingToken) {
        Member& at = *members_[member];
        if (!at.source.running()) return;
        const Millis now = schedule_.now();
        perform(member,
                at.state.onHostList(now, &at.table, hostList(settings_.hosts, now, fencingToken), now));
    }

    void tickAfter(std::size_t member, Millis delay) {
        schedule_.at(schedule_.now() + delay, [this, member] {
            Member& at = *members_[member];
            perform(member, at.state.tick(schedule_.now(), &at.table));
            tickAfter(member, control::kServiceTick);
        });
    }

    void perform(std::size_t member, const control::ServiceActions& actions) {
        Member& at = *members_[member];
        for (const control::PollAnswer& answer : actions.answers) {
            const auto poll = at.polls.find(answer.ticket);
            auto reply = std::move(poll->second);
            at.polls.erase(poll);
            reply(answer.reply);
        }
        for (const control::PeerUpdateCall& call : actions.peerUpdates) send(member, call);
    }

    void send(std::size_t member, const control::PeerUpdateCall& call) {
        const std::size_t to = memberAt(call.address);
        const std::string bytes = control::encode(call.peerUpdate);
        count(result_.peerUpdates, result_.peerUpdateBytes, result_.quietPeerUpdateBytes, bytes.size());
        auto ended = std::make_shared<bool>(false);
        members_[member]->sender.send(bytes.size(), [this, member, to, bytes, ended] {
            const auto peerUpdate = control::decodePeerUpdate(control::openEnvelope(bytes).value().body);
            control::PeerUpdateReply reply;
            Member& at = *members_[to];
            perform(to, at.state.onPeerUpdate(schedule_.now(), &at.table, peerUpdate.value(), reply));
            at.sender.send(control::encode(reply).size(), [this, member, to, reply, ended] {
                if (!std::exchange(*ended, true)) onPeerUpdateReply(member, to, reply);
            });
        });
        schedule_.at(schedule_.now() + control::kPeerUpdateTimeout, [this, member, to, ended] {
            if (!std::exchange(*ended, true)) onPeerUpdateReply(member, to, std::nullopt);
        });
    }

    void onPeerUpdateReply(std::size_t member, std::size_t to,
                           const std::optional<control::PeerUpdateReply>& reply) {
        members_[member]->state.onPeerUpdateReply(view_.members[to].name, reply);
    }

    void count(std::uint64_t& messages, std::uint64_t& total, std::uint64_t& quiet, std::size_t bytes) {
        if (schedule_.now() > settings_.length - kQuietSpan) quiet += bytes;
        if (result_.served == settings_.gateways) return;
        ++messages;
        total += bytes;
    }

    ModelSettings settings_;
    TableUpdate fullTable_;
    replica::View view_;
    Schedule schedule_;
    std::vector<std::unique_ptr<Member>> members_;
    std::vector<Gateway> gateways_;
    ModelResult result_;
};

}  // namespace

ModelResult run(const ModelSettings& settings) { return World(settings).run(); }

}  // namespace beechpoint::recovery
