#include "control/gateway_service.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <map>
#include <optional>
#include <utility>

#include "control/codec.hpp"
#include "control/replica_driver.hpp"
#include "control/table_packing.hpp"
#include "leases/duty.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kHostsDuty = "hosts";
constexpr Millis kShareTimeout = 1000;
constexpr Millis kReaderHeard = 1500;  // a reader that has not said so for longer is not counted on
constexpr Millis kListWorthSending =
    1500;  // an older list of another reader is sent to a gateway only where confirmed lately
constexpr std::size_t kMaxPeers = replica::kMaxPeers;
constexpr Millis kNotFreshWait = 300;  // then a waiting gateway is sent to another member
constexpr Millis kDirectoryRefresh = 100;  // what gateways are told of each other is at most so old
constexpr std::size_t kPackedUpdates =
    16;  // kept for the present position, by the position that they start from

struct WaitingPoll {
    PollRequest request;
    rpc::Reply reply;
    Millis deadline = 0;
    bool anyAnswer =
        false;            // came while this member could not vouch for its table: answered as soon as it can
    Millis refuseAt = 0;  // 0: this member can vouch for its table
};

struct Peer {
    instances::HostListVersion hostList;  // that it said it has
    bool asked = false;                   // a share to it is out
    Millis readHostsAt = 0;               // when it last said that it reads the list
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
          startedAt_(clock.now()),
          poller_(io, clock, logger, settings.poller, settings.seed, settings.seed,
                  [this](const auto& list, Millis confirmedAt, bool) { onReading(list, confirmedAt); }),
          onGateways_(std::move(onGateways)) {}

    void onPoll(PollRequest request, rpc::Reply reply) {
        const Millis now = clock_.now();
        answerEarlierPoll(request.gateway.name);
        if (leaving_ || !driver_.replica()) return refuse(reply, PollStatus::notFresh);
        if (!renewLease(now, request.gateway)) return refuse(reply, PollStatus::full);
        const bool may = mayAnswer(now);
        const Millis wait = std::clamp(request.waitMs, 0.0, kMaxPollWait);
        const bool hold = may ? !hasNews(request) && wait > 0 : true;
        if (!hold || polls_.size() >= kMaxWaitingPolls) return answer(now, request, reply);
        WaitingPoll poll{std::move(request), std::move(reply), now + wait};
        poll.anyAnswer = !may;
        poll.refuseAt = may ? 0 : now + kNotFreshWait;
        const std::string name = poll.request.gateway.name;
        polls_.emplace(name, std::move(poll));
    }

    void onShare(const Share& share, rpc::Reply reply) {
        const Millis now = clock_.now();
        leases_.merge(now, share.leases);
        if (share.hostList) {
            auto list = std::make_shared<instances::HostList>();
            list->version = share.hostList->version;
            list->readAt = now - share.hostList->readAge;
            list->hosts = share.hostList->hosts;
            offer(std::move(list), now - share.hostListAge.value_or(share.hostList->readAge));
        } else if (share.hostListAge) {
            hosts_.confirm(share.hostListVersion, now - *share.hostListAge);
        }
        if (Peer* peer = peerOf(share.member)) {
            if (share.readsHosts) peer->readHostsAt = now;
            peer->hostList = share.hostListVersion;
        }
        if (share.hostListVersion.fence == fence_) poller_.raiseNumber(share.hostListVersion.number);
        reply.send(encode(ShareReply{hosts_.version()}));
        wakeForCount(now);
        onGateways_();
    }

    void onTableMoved() { wakePolls(); }

    void onView() {
        forgetPeers();
        lookAtDuty(clock_.now());
        shareSoon_ = true;
    }

    void tick() {
        const Millis now = clock_.now();
        leases_.look(now);
        lookAtDuty(now);
        answerDue(now);
        if (shareSoon_ || now - sharedAt_ >= kShareEvery - kServiceTick / 2) shareWithAll(now);
    }

    void leave() {
        leaving_ = true;
        poller_.stop();
        for (auto& [name, poll] : std::exchange(polls_, {})) refuse(poll.reply, PollStatus::notFresh);
    }

    std::vector<leases::Gateway> liveGateways() const { return leases_.live(clock_.now()); }
    bool readsHosts() const { return poller_.running(); }
    std::size_t waitingPolls() const { return polls_.size(); }

    void describe(MemberStatus& status) const {
        const Millis now = clock_.now();
        status.leases = leases_.liveLeases(now);
        status.leaseLength = leaseMs_;
        if (hosts_.list()) status.hostList = HostListStatus{hosts_.list()->hosts.size(), *hosts_.age(now)};
        status.readsHosts = readsHosts();
        status.waitingPolls = waitingPolls();
    }
    // Whether a poll waits for this member to be able to vouch for its table.
    bool waitsForFreshness() const {
        return std::any_of(polls_.begin(), polls_.end(),
                           [](const auto& poll) { return poll.second.refuseAt > 0; });
    }

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
    void answerEarlierPoll(const std::string& gateway) {
        auto earlier = polls_.extract(gateway);
        if (!earlier.empty()) answer(clock_.now(), earlier.mapped().request, earlier.mapped().reply);
    }

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
        return hosts_.list() && hosts_.version() > request.hostList;
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
        addHostList(now, request, message);
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

    void addHostList(Millis now, const PollRequest& request, PollReply& message) const {
        message.hostListVersion = hosts_.version();
        message.hostListAge = hosts_.age(now);
        if (!hosts_.list() || hosts_.version() == request.hostList) return;
        const bool newer = hosts_.version() > request.hostList;
        if (!newer && *message.hostListAge >= kListWorthSending) return;
        auto changes = newer && request.takesHostChanges ? history_.since(request.hostList) : std::nullopt;
        if (changes)
            message.hostChanges = SharedHostChanges{std::move(*changes), hostListReadAge(now)};
        else
            message.hostList = sharedList(now);
    }

    SharedHostList sharedList(Millis now) const {
        const instances::HostList& list = *hosts_.list();
        return {list.version, hostListReadAge(now), list.hosts};
    }

    Millis hostListReadAge(Millis now) const { return std::max(0.0, now - hosts_.list()->readAt); }

    static std::vector<std::string> memberAddresses(const replica::Replica& replica) {
        std::vector<std::string> addresses{replica.self().internalAddress};
        for (const replica::Member& member : replica.view().members)
            if (member.name != replica.self().name) addresses.push_back(member.internalAddress);
        return addresses;
    }

    template <class Condition>
    void answerWhere(Condition condition) {
        const Millis now = clock_.now();
        std::vector<WaitingPoll> due;
        for (auto next = polls_.begin(); next != polls_.end();) {
            const auto poll = next++;
            if (!condition(poll->second)) continue;
            due.push_back(std::move(poll->second));
            polls_.erase(poll);
        }
        for (WaitingPoll& poll : due) answer(now, poll.request, poll.reply);
    }

    void wakePolls() { lookAtPolls(0); }

    void answerDue(Millis) { lookAtPolls(kServiceTick); }

    // Answers the polls that have waited long enough, or would have within `ahead`, and those that there is news for. While this
    // member can't vouch for its table, they wait a little: it may be able to again before they had found another.
    void lookAtPolls(Millis ahead) {
        const Millis now = clock_.now();
        const bool may = mayAnswer(now);
        for (auto& [name, poll] : polls_) {
            if (may) poll.refuseAt = 0;
            if (!may && poll.refuseAt == 0) poll.refuseAt = now + kNotFreshWait;
        }
        answerWhere([&](const WaitingPoll& poll) {
            if (!may) return now >= poll.refuseAt;
            return poll.anyAnswer || hasNews(poll.request) || poll.deadline - now < ahead;
        });
    }

    // More gateways share the budgets from now on: all must know soon.
    void wakeForCount(Millis now) {
        const auto largest = leases_.largestLive(now);
        const bool risen = largest && (!toldCount_ || *largest > *toldCount_);
        toldCount_ = largest;
        if (risen) answerWhere([](const WaitingPoll&) { return true; });
    }

    // --- what members tell each other

    Peer* peerOf(const std::string& member) {
        const replica::Replica* replica = driver_.replica();
        if (!replica || !replica->view().find(member)) return nullptr;
        return &peers_[member];
    }

    void forgetPeers() {
        const replica::Replica* replica = driver_.replica();
        std::erase_if(peers_,
                      [&](const auto& entry) { return !replica || !replica->view().find(entry.first); });
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
        share.hostListVersion = hosts_.version();
        share.hostListAge = hosts_.age(now);
        share.readsHosts = poller_.running() && poller_.failures() == 0 &&
                           hosts_.age(now).value_or(kReaderHeard) < kReaderHeard;
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
        if (lacksList) share.hostList = sharedList(now);
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

    void onReading(const std::shared_ptr<const instances::HostList>& list, Millis confirmedAt) {
        offer(list, confirmedAt);
    }

    void offer(std::shared_ptr<const instances::HostList> list, Millis confirmedAt) {
        const Millis now = clock_.now();
        if (!hosts_.offer(std::move(list), confirmedAt, now)) return;
        history_.take(hosts_.list());
        if (poller_.running()) shareWithAll(now);
        wakePolls();
    }

    void lookAtDuty(Millis now) {
        const replica::Replica* replica = driver_.replica();
        if (leaving_ || !replica || !replica->inView() || !replica->fresh(now)) return poller_.stop();
        std::vector<std::string> names;
        for (const replica::Member& member : replica->view().members) names.push_back(member.name);
        const auto order = leases::rendezvousOrder(kHostsDuty, names);
        const std::string& self = replica->self().name;
        const auto rank =
            static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
        if (rank == 0) return read(replica->view().epoch);
        if (isReadBefore(order, rank, now)) return poller_.stop();
        const Millis unconfirmed = hosts_.age(now).value_or(now - startedAt_);
        if (poller_.running() || unconfirmed > kTakeoverAfter * static_cast<double>(rank))
            read(replica->view().epoch);
    }

    bool isReadBefore(const std::vector<std::string>& order, std::size_t rank, Millis now) const {
        for (std::size_t place = 0; place < rank; place++) {
            const auto peer = peers_.find(order[place]);
            if (peer != peers_.end() && peer->second.readHostsAt > 0 &&
                now - peer->second.readHostsAt < kReaderHeard)
                return true;
        }
        return false;
    }

    void read(std::uint64_t epoch) {
        fence_ = epoch;
        const bool sameFence = hosts_.version().fence == epoch;
        poller_.start(epoch, sameFence ? hosts_.version().number : 0, hosts_.list());
    }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    rpc::Client& client_;
    Millis leaseMs_;
    leases::LeaseTable leases_;
    Millis startedAt_;
    instances::HostListHolder hosts_;
    instances::HostListHistory history_;  // of hosts_
    instances::Poller poller_;
    std::function<void()> onGateways_;
    std::map<std::string, WaitingPoll> polls_;  // by gateway
    std::map<std::string, Peer> peers_;         // by member's name
    std::uint64_t fence_ = 0;
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
