#include "control/gateway_service.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <map>
#include <optional>
#include <utility>

#include "control/codec.hpp"
#include "control/replica_driver.hpp"
#include "control/shared_hosts.hpp"
#include "control/table_packing.hpp"
#include "control/waiting_polls.hpp"
#include "leases/duty.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kShareTimeout = 1000;
constexpr std::size_t kMaxPeers = replica::kMaxPeers;
constexpr Millis kDirectoryRefresh = 100;  // what gateways are told of each other is at most so old
constexpr std::size_t kPackedUpdates =
    16;  // kept for the present position, by the position that they start from

struct Peer {
    instances::HostListVersion hostList;  // that it said it has
    bool asked = false;                   // a share to it is out
};

// Of what clients are told of gateways; never 0.
std::uint64_t digestOf(const std::vector<leases::Gateway>& gateways) {
    std::uint64_t digest = 1;
    for (const leases::Gateway& gateway : gateways) {
        const auto text = fmt::format("{} {} {} {} {} {}", gateway.name, gateway.zone, gateway.region,
                                      gateway.frontAddress, gateway.ready, gateway.draining);
        digest = leases::rendezvousWeight(fmt::format("{}", digest), text) | 1;
    }
    return digest;
}

bool differsForClients(const leases::Gateway& one, const leases::Gateway& other) {
    return one.session != other.session || one.ready != other.ready || one.draining != other.draining ||
           one.frontAddress != other.frontAddress;
}

}  // namespace

class GatewayService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver, rpc::Client& client,
         Settings settings, std::function<void()> onGateways)
        : clock_(clock),
          logger_(logger),
          driver_(driver),
          client_(client),
          leaseMs_(settings.leases.leaseMs),
          leases_(settings.leases, clock.now()),
          hosts_(io, clock, logger, std::move(settings.poller), settings.seed, [this] { onHosts(); }),
          onGateways_(std::move(onGateways)) {}

    void onPoll(PollRequest request, rpc::Reply reply) {
        const Millis now = clock_.now();
        answerEarlierPoll(request.gateway.name);
        if (leaving_ || !driver_.replica()) return refuse(reply, PollStatus::notFresh);
        if (!renewLease(now, request.gateway)) return refuse(reply, PollStatus::full);
        const bool may = mayAnswer(now);
        const Millis wait = std::clamp(request.waitMs, 0.0, kMaxPollWait);
        const bool hold = !may || (wait > 0 && !hasNews(request));
        if (!hold || polls_.full()) return answer(now, request, reply);
        polls_.hold(now, std::move(request), std::move(reply), wait, may);
    }

    void onShare(const Share& share, rpc::Reply reply) {
        const Millis now = clock_.now();
        leases_.merge(now, share.leases);
        hosts_.take(now, share);
        if (Peer* peer = peerOf(share.member)) peer->hostList = share.hostListVersion;
        reply.send(encode(ShareReply{hosts_.version()}));
        wakeForCount(now);
        onGateways_();
    }

    void onTableMoved() { answerDue(0); }

    void onView() {
        forgetPeers();
        lookAtHosts(clock_.now());
        shareSoon_ = true;
    }

    void tick() {
        const Millis now = clock_.now();
        leases_.look(now);
        lookAtHosts(now);
        answerDue(kServiceTick);
        if (shareSoon_ || now - sharedAt_ >= kShareEvery - kServiceTick / 2) shareWithAll(now);
    }

    void leave() {
        leaving_ = true;
        hosts_.stop();
        for (WaitingPoll& poll : polls_.takeAll()) refuse(poll.reply, PollStatus::notFresh);
    }

    std::vector<leases::Gateway> liveGateways() const { return leases_.live(clock_.now()); }
    bool readsHosts() const { return hosts_.reads(); }
    std::size_t waitingPolls() const { return polls_.size(); }

    void describe(MemberStatus& status) const {
        const Millis now = clock_.now();
        status.leases = leases_.liveLeases(now);
        status.leaseLength = leaseMs_;
        if (hosts_.list()) status.hostList = HostListStatus{hosts_.list()->hosts.size(), *hosts_.age(now)};
        status.readsHosts = readsHosts();
        status.waitingPolls = waitingPolls();
    }
    bool waitsForFreshness() const { return polls_.waitsForFreshness(); }

private:
    bool mayAnswer(Millis now) const {
        const replica::Replica* replica = driver_.replica();
        return !leaving_ && replica && replica->fresh(now);
    }

    void refuse(rpc::Reply& reply, PollStatus status) const {
        PollReply message;
        message.status = status;
        reply.send(encode(message));
    }

    // A gateway that asks again has no use for the wait of its earlier poll; it is answered, since a call that times out costs
    // the gateway its connection.
    void answerEarlierPoll(const std::string& gateway) { answerAll(polls_.take(gateway)); }

    bool renewLease(Millis now, const leases::Gateway& gateway) {
        const leases::Gateway* known = leases_.find(gateway.name, now);
        const bool matters = !known || differsForClients(*known, gateway);
        if (!leases_.renew(now, gateway)) {
            logger_.seldom("leases", "the lease table is full: gateway {} is refused",
                           field("gateway", gateway.name));
            return false;
        }
        if (matters) {
            shareWithAll(now);
            wakeForCount(now);
            onGateways_();
        }
        return true;
    }

    // --- polls

    bool hasNews(const PollRequest& request) const {
        if (driver_.replica()->committedPosition() > request.position) return true;
        return hosts_.hasNewsFor(request);
    }

    void answer(Millis now, const PollRequest& request, rpc::Reply& reply) {
        if (!mayAnswer(now)) return refuse(reply, PollStatus::notFresh);
        const replica::Replica& replica = *driver_.replica();
        PollReply message;
        if (replica.committedPosition() > request.position) {
            message.packedTable = packedSince(replica, request.position);
            if (message.packedTable.empty()) return refuse(reply, PollStatus::notFresh);
        }
        addDirectory(now, request, message);
        hosts_.answer(now, request, message);
        message.liveGateways = leases_.count(now);
        message.largestLive = leases_.largestLive(now);
        message.members = memberAddresses(replica);
        if (request.wantsLoad) message.othersLoad = leases_.loadOfOthers(now, request.gateway.name);
        message.leaseMs = leaseMs_;
        reply.send(encode(message));
    }

    // Many gateways ask from the same position: the update is packed once.
    std::string packedSince(const replica::Replica& replica, Position held) {
        if (packedAt_ != replica.committedPosition() || packed_.size() >= kPackedUpdates) packed_.clear();
        packedAt_ = replica.committedPosition();
        const auto known = packed_.find(held);
        if (known != packed_.end()) return known->second;
        const auto update = replica.updateSince(held);
        if (!update) return {};
        return packed_[held] = packTable(*update);
    }

    // Looks over all leases at most once in kDirectoryRefresh, however many gateways ask.
    void addDirectory(Millis now, const PollRequest& request, PollReply& message) {
        if (now - directoryAt_ >= kDirectoryRefresh) {
            directoryAt_ = now;
            directory_ = leases_.live(now);
            for (leases::Gateway& gateway : directory_) gateway.load.clear();
            directoryDigest_ = digestOf(directory_);
        }
        message.directoryDigest = directoryDigest_;
        if (directoryDigest_ != request.directoryDigest) message.directory = directory_;
    }

    static std::vector<std::string> memberAddresses(const replica::Replica& replica) {
        std::vector<std::string> addresses{replica.self().internalAddress};
        for (const replica::Member& member : replica.view().members)
            if (member.name != replica.self().name) addresses.push_back(member.internalAddress);
        return addresses;
    }

    void answerAll(std::vector<WaitingPoll> polls) {
        const Millis now = clock_.now();
        for (WaitingPoll& poll : polls) answer(now, poll.request, poll.reply);
    }

    // Polls whose wait ends within `ahead` are answered now.
    void answerDue(Millis ahead) {
        const Millis now = clock_.now();
        const auto news = [this](const PollRequest& request) { return hasNews(request); };
        answerAll(polls_.takeDue(now, mayAnswer(now), ahead, news));
    }

    // More gateways share the budgets from now on: all must know soon.
    void wakeForCount(Millis now) {
        const auto largest = leases_.largestLive(now);
        const bool risen = largest && (!toldCount_ || *largest > *toldCount_);
        toldCount_ = largest;
        if (risen) answerAll(polls_.takeAll());
    }

    // --- what members tell each other

    Peer* peerOf(const std::string& member) {
        const replica::Replica* replica = driver_.replica();
        if (!replica || !replica->view().find(member)) return nullptr;
        return &peers_[member];
    }

    void forgetPeers() {
        const replica::Replica* replica = driver_.replica();
        const auto isMember = [&](const std::string& name) { return replica && replica->view().find(name); };
        std::erase_if(peers_, [&](const auto& entry) { return !isMember(entry.first); });
        hosts_.forget(isMember);
    }

    void shareWithAll(Millis now) {
        const replica::Replica* replica = driver_.replica();
        if (!replica || !replica->inView()) return;
        sharedAt_ = now;
        shareSoon_ = false;
        Share share;
        share.member = replica->self().name;
        share.session = replica->self().session;
        share.epoch = replica->view().epoch;
        share.leases = leases_.granted(now);
        hosts_.describe(now, share);
        for (const replica::Member& member : replica->view().members)
            if (member.name != share.member) shareWith(now, member, share);
    }

    void shareWith(Millis now, const replica::Member& member, Share& share) {
        if (peers_.size() >= kMaxPeers && !peers_.contains(member.name)) return;
        Peer& peer = peers_[member.name];
        if (peer.asked) {
            shareSoon_ = true;
            return;
        }
        peer.asked = true;
        const bool lacksList = hosts_.list() && peer.hostList < hosts_.version();
        if (lacksList) share.hostList = hosts_.whole(now);
        client_.call(member.internalAddress, encode(share), kShareTimeout,
                     [weak = weak_from_this(), name = member.name](Result<std::string> bytes) {
                         if (const auto self = weak.lock()) self->onShared(name, bytes);
                     });
        share.hostList.reset();
    }

    void onShared(const std::string& member, const Result<std::string>& bytes) {
        const auto peer = peers_.find(member);
        if (peer == peers_.end()) return;
        peer->second.asked = false;
        if (!bytes) {
            peer->second.hostList = {};
            return;
        }
        const auto reply = decodeShareReply(bytes.value());
        if (reply) peer->second.hostList = reply.value().hostListVersion;
    }

    // --- the host list

    void onHosts() {
        if (hosts_.reads()) shareWithAll(clock_.now());
        answerDue(0);
    }

    void lookAtHosts(Millis now) { hosts_.look(now, leaving_ ? nullptr : driver_.replica()); }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    rpc::Client& client_;
    Millis leaseMs_;
    leases::LeaseTable leases_;
    SharedHosts hosts_;
    std::function<void()> onGateways_;
    WaitingPolls polls_;
    std::map<std::string, Peer> peers_;  // by member's name
    std::optional<std::uint32_t> toldCount_;
    std::map<Position, std::string> packed_;  // updates to packedAt_, by the position that they start from
    Position packedAt_;
    std::vector<leases::Gateway> directory_;  // live gateways at directoryAt_
    std::uint64_t directoryDigest_ = 0;       // of those
    Millis directoryAt_ = 0;
    Millis sharedAt_ = 0;
    bool shareSoon_ = false, leaving_ = false;
};

GatewayService::GatewayService(asio::io_context& io, const Clock& clock, Logger& logger,
                               ReplicaDriver& driver, rpc::Client& client, Settings settings,
                               std::function<void()> onGateways)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver, client, std::move(settings),
                                   std::move(onGateways))) {}

GatewayService::~GatewayService() = default;

void GatewayService::onPoll(PollRequest request, rpc::Reply reply) {
    impl_->onPoll(std::move(request), std::move(reply));
}
void GatewayService::onShare(const Share& share, rpc::Reply reply) {
    impl_->onShare(share, std::move(reply));
}
void GatewayService::onTableMoved() { impl_->onTableMoved(); }
void GatewayService::onView() { impl_->onView(); }
void GatewayService::tick() { impl_->tick(); }
void GatewayService::leave() { impl_->leave(); }
std::vector<leases::Gateway> GatewayService::liveGateways() const { return impl_->liveGateways(); }
bool GatewayService::waitsForFreshness() const { return impl_->waitsForFreshness(); }
bool GatewayService::readsHosts() const { return impl_->readsHosts(); }
std::size_t GatewayService::waitingPolls() const { return impl_->waitingPolls(); }
void GatewayService::describe(MemberStatus& status) const { impl_->describe(status); }

}  // namespace beechpoint::control
