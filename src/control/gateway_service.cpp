#include "control/gateway_service.hpp"

#include <asio/io_context.hpp>
#include <map>
#include <optional>
#include <utility>

#include "control/polled_host_list.hpp"
#include "control/replica_driver.hpp"
#include "control_messages/codec.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {

class GatewayService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver, rpc::Client& client,
         Settings settings, std::function<void()> onGateways, std::function<void(PollReply&)> completeReply)
        : clock_(clock),
          logger_(logger),
          driver_(driver),
          client_(client),
          hostList_(io, clock, logger, std::move(settings.poller), settings.seed,
                    [this](const auto& list, Millis confirmedAt, bool) { onHostList(list, confirmedAt); }),
          state_(settings.leases, clock.now(), hostList_),
          onGateways_(std::move(onGateways)),
          completeReply_(std::move(completeReply)) {}

    void onPoll(PollRequest request, rpc::Reply reply) {
        const PollTicket ticket = ++lastTicket_;
        replies_.emplace(ticket, std::move(reply));
        const std::string gateway = request.gateway.name;
        const std::uint64_t refusedBefore = state_.leases().rejectedGrants();
        perform(state_.onPoll(clock_.now(), table(), std::move(request), ticket));
        if (state_.leases().rejectedGrants() != refusedBefore)
            logger_.seldom("leases", "the lease table is full: gateway {} is refused",
                           field("gateway", gateway));
    }

    void onPeerUpdate(const PeerUpdate& peerUpdate, rpc::Reply reply) {
        PeerUpdateReply answer;
        ServiceActions actions = state_.onPeerUpdate(clock_.now(), table(), peerUpdate, answer);
        reply.send(encode(answer));
        perform(std::move(actions));
    }

    void onTableChanged() { perform(state_.onTableChanged(clock_.now(), table())); }
    void onViewChanged() { state_.onViewChanged(clock_.now(), table()); }
    void tick() { perform(state_.tick(clock_.now(), table())); }
    void drain() { perform(state_.drain()); }

    std::vector<leases::Gateway> liveGateways() const { return state_.leases().liveGateways(clock_.now()); }
    bool readsHostList() const { return state_.hosts().reads(); }
    std::size_t pendingLongPolls() const { return state_.pendingLongPolls(); }
    bool waitsForFreshness() const { return state_.waitsForFreshness(); }

    void describe(MemberStatus& status) const {
        const Millis now = clock_.now();
        const HostListDistributor& hosts = state_.hosts();
        status.leases = state_.leases().liveLeases(now);
        status.leaseLength = state_.leaseMs();
        if (hosts.list()) status.hostList = HostListStatus{hosts.list()->hosts.size(), *hosts.age(now)};
        status.readsHostList = readsHostList();
        status.pendingLongPolls = pendingLongPolls();
    }

private:
    // Null until the replica is open. Valid until the next call.
    const CommittedTableSource* table() {
        table_.reset();
        if (driver_.replica()) table_.emplace(*driver_.replica());
        return table_ ? &*table_ : nullptr;
    }

    void perform(ServiceActions actions) {
        for (PollAnswer& answer : actions.answers) {
            auto reply = replies_.extract(answer.ticket);
            if (answer.reply.status == PollStatus::ok) completeReply_(answer.reply);
            if (!reply.empty()) reply.mapped().send(encode(answer.reply));
        }
        for (const PeerUpdateCall& call : actions.peerUpdates) send(call);
        if (actions.gatewaysChanged) onGateways_();
    }

    void send(const PeerUpdateCall& call) {
        client_.call(call.address, encode(call.peerUpdate), kPeerUpdateTimeout,
                     [weak = weak_from_this(), member = call.member](const Result<std::string>& bytes) {
                         if (const auto self = weak.lock()) self->onPeerUpdateReply(member, bytes);
                     });
    }

    void onPeerUpdateReply(const std::string& member, const Result<std::string>& bytes) {
        std::optional<PeerUpdateReply> answer;
        if (bytes) {
            const auto decoded = decodePeerUpdateReply(bytes.value());
            if (decoded) answer = decoded.value();
        }
        state_.onPeerUpdateReply(member, answer);
    }

    void onHostList(const std::shared_ptr<const host_discovery::HostList>& list, Millis confirmedAt) {
        perform(state_.onHostList(clock_.now(), table(), list, confirmedAt));
    }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    rpc::Client& client_;
    PolledHostList hostList_;
    GatewayServiceState state_;
    std::function<void()> onGateways_;
    std::function<void(PollReply&)> completeReply_;
    std::optional<ReplicaTableSource> table_;
    std::map<PollTicket, rpc::Reply> replies_;  // not sent yet, by ticket: at most kMaxLongPolls
    PollTicket lastTicket_ = 0;
};

GatewayService::GatewayService(asio::io_context& io, const Clock& clock, Logger& logger,
                               ReplicaDriver& driver, rpc::Client& client, Settings settings,
                               std::function<void()> onGateways,
                               std::function<void(PollReply&)> completeReply)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver, client, std::move(settings),
                                   std::move(onGateways), std::move(completeReply))) {}

GatewayService::~GatewayService() = default;

void GatewayService::onPoll(PollRequest request, rpc::Reply reply) {
    impl_->onPoll(std::move(request), std::move(reply));
}
void GatewayService::onPeerUpdate(const PeerUpdate& peerUpdate, rpc::Reply reply) {
    impl_->onPeerUpdate(peerUpdate, std::move(reply));
}
void GatewayService::onTableChanged() { impl_->onTableChanged(); }
void GatewayService::onViewChanged() { impl_->onViewChanged(); }
void GatewayService::tick() { impl_->tick(); }
void GatewayService::drain() { impl_->drain(); }
std::vector<leases::Gateway> GatewayService::liveGateways() const { return impl_->liveGateways(); }
bool GatewayService::waitsForFreshness() const { return impl_->waitsForFreshness(); }
bool GatewayService::readsHostList() const { return impl_->readsHostList(); }
std::size_t GatewayService::pendingLongPolls() const { return impl_->pendingLongPolls(); }
void GatewayService::describe(MemberStatus& status) const { impl_->describe(status); }

}  // namespace beechpoint::control
