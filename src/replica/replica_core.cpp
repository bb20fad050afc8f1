#include "replica/replica_core.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace beechpoint::replica {

namespace {

constexpr int kMaxLocalMessages = 64;  // per event; far more than any step needs

std::uint64_t drawId(SplitMix& random) {
    std::uint64_t id = 0;
    while (id == 0) id = random.bits();
    return id;
}

std::vector<std::string> foundersOf(const Settings& settings, const DurableState& state) {
    if (state.control.incarnation != 0) return state.control.founders;
    std::set<std::string> seeds(settings.seeds.begin(), settings.seeds.end());
    const bool founder = settings.bootstrap && seeds.contains(settings.self.controlAddress);
    if (!founder || seeds.size() > kMaxMembers) return {};
    return {seeds.begin(), seeds.end()};
}

Membership membershipOf(Settings settings, const DurableState& state, SplitMix& random) {
    Membership membership;
    membership.self = settings.self;
    membership.self.incarnation = state.control.incarnation != 0 ? state.control.incarnation : drawId(random);
    membership.self.session = drawId(random);
    membership.founders = foundersOf(settings, state);
    membership.view = state.control.view;
    membership.settings = std::move(settings);
    return membership;
}

}  // namespace

ReplicaCore::ReplicaCore(Settings settings, const DurableState& state, std::uint64_t seed, Millis now)
    : random_(seed),
      membership_(membershipOf(std::move(settings), state, random_)),
      identity_(state.control.incarnation != 0 ? Identity::durable : Identity::unknown),
      lastEventAt_(now),
      outbox_(membership_),
      disk_(outbox_),
      detector_(membership_, outbox_, random_.bits(), now),
      chain_(membership_, outbox_, state),
      learner_(membership_, outbox_, chain_),
      viewChange_(membership_, outbox_, detector_, chain_, state.control, random_.bits(), now,
                  [this](Millis at, const View& view) { installView(at, view); }),
      reads_(membership_, outbox_, detector_, chain_) {
    membership_.sealed = viewChange_.isSealed();
}

void ReplicaCore::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    outbox_.begin(now, actions);
    if (now - lastEventAt_ > kSuspensionGap) onProcessResumed(now);
    lastEventAt_ = now;
    std::visit([&](const auto& what) { onEvent(now, what); }, event);
    runParts(now);
    setTimer(now);
}

// A view is installed if one of its members reports so: that member has confirmation that all hold the starting state.
bool ReplicaCore::hasLeft(Millis now) const {
    const View& view = membership_.view;
    if (!membership_.leaving) return false;
    if (view.epoch == 0) return true;
    if (membership_.isInChain()) return view.members.size() == 1 && detector_.reachablePeers(now).empty();
    return std::ranges::any_of(view.members, [&](const Member& member) {
        const Peer* peer = detector_.find(member.internalAddress);
        return peer && sameProcess(peer->member, member) && peer->epoch == view.epoch &&
               peer->status.installed;
    });
}

// ---- Events

void ReplicaCore::onEvent(Millis now, const MessageReceived& received) {
    if (isIdentified()) receive(now, received.message);
}

void ReplicaCore::onEvent(Millis now, const Persisted& persisted) {
    onPersistAnswered(now, persisted.token, true);
}

void ReplicaCore::onEvent(Millis now, const PersistFailed& failed) {
    outbox_.log(fmt::format("storage failed: {}", failed.reason));
    onPersistAnswered(now, failed.token, false);
}

void ReplicaCore::onEvent(Millis, const Tick&) {}

void ReplicaCore::onEvent(Millis now, const ClientWrite& write) { chain_.write(now, write); }

void ReplicaCore::onEvent(Millis now, const ReadBarrier& barrier) { reads_.add(now, barrier.token); }

void ReplicaCore::onEvent(Millis, const DiskHealth& health) { disk_.onHealthReported(health.failing); }

void ReplicaCore::onEvent(Millis, const SeedsChanged& changed) { membership_.settings.seeds = changed.seeds; }

// The other processes are notified through the replies to their heartbeats.
void ReplicaCore::onEvent(Millis now, const Leave&) {
    if (!membership_.leaving) outbox_.log("leaving");
    membership_.leaving = true;
    if (!membership_.isInChain()) detector_.enterView(now);
}

void ReplicaCore::onPersistAnswered(Millis now, std::uint64_t token, bool stored) {
    disk_.onAnswer(now, stored);
    outbox_.complete(now, token, stored);
}

// ---- Messages

void ReplicaCore::receive(Millis now, const Message& message) {
    if (message.from.name.empty() || message.from.internalAddress.empty()) return;
    std::visit([&](const auto& body) { onBody(now, message, body); }, message.body);
    sendViewIfBehind(now, message);
}

void ReplicaCore::sendViewIfBehind(Millis now, const Message& message) {
    if (message.epoch >= membership_.view.epoch || sameProcess(message.from, membership_.self)) return;
    if (detector_.maySendView(now, message.from))
        outbox_.send(message.from.internalAddress, Decided{membership_.view});
}

void ReplicaCore::onBody(Millis now, const Message& message, const Heartbeat& heartbeat) {
    detector_.onHeartbeat(message.from, heartbeat, status(now));
}

void ReplicaCore::onBody(Millis now, const Message& message, const HeartbeatReply& reply) {
    if (detector_.onReply(now, message, reply)) chain_.onStatus(now, message, reply.status);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Join&) {
    detector_.onJoin(now, message.from);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Prepare& prepare) {
    viewChange_.onPrepare(now, message, prepare);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Promise& promise) {
    viewChange_.onPromise(now, message, promise);
}

void ReplicaCore::onBody(Millis now, const Message&, const Reject& reject) {
    viewChange_.onReject(now, reject);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Accept& accept) {
    viewChange_.onAccept(now, message, accept);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Accepted& accepted) {
    viewChange_.onAccepted(now, message, accepted);
}

void ReplicaCore::onBody(Millis now, const Message&, const Decided& decided) {
    viewChange_.onDecided(now, decided.view);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Propose& propose) {
    chain_.onPropose(now, message, propose);
}

void ReplicaCore::onBody(Millis now, const Message& message, const Commit& commit) {
    chain_.onCommit(now, message, commit);
}

void ReplicaCore::onBody(Millis, const Message& message, const SyncRequest& request) {
    chain_.onSyncRequest(message, request);
}

void ReplicaCore::onBody(Millis now, const Message& message, const SyncReply& reply) {
    chain_.onSyncReply(now, message, reply);
}

Status ReplicaCore::status(Millis now) const {
    Status status;
    status.sealed = membership_.sealed;
    status.installed = chain_.isInstalled();
    status.diskFailing = membership_.diskFailing;
    status.syncedEpoch = chain_.table().syncedEpoch();
    status.storedItems = chain_.storedItems();
    status.committed = chain_.table().committedPosition();
    status.reachablePeers = detector_.reachablePeers(now);
    status.unresponsivePeers = detector_.unresponsivePeers(now);
    status.stalledMember = chain_.stalledMember(now, detector_);
    status.stored = chain_.table().confirmedPosition();
    status.leaving = membership_.leaving;
    return status;
}

// ---- Steps

void ReplicaCore::installView(Millis now, const View& view) {
    const View before = std::exchange(membership_.view, view);
    membership_.index = view.indexOfProcess(membership_.self);
    viewChange_.enterView(now, before);
    viewChange_.persistControl();
    detector_.enterView(now);
    reads_.failAll();
    chain_.enterView(now);
    learner_.enterView(now);
    outbox_.emit(ViewChanged{view});
    const char* part = membership_.index ? "this process is a member" : "this process is not a member";
    outbox_.log(fmt::format("view of epoch {}, {} members, {} voters, {}", view.epoch, view.members.size(),
                            view.effectiveVoters().size(), part));
}

void ReplicaCore::onProcessResumed(Millis now) {
    detector_.onProcessResumed(now);
    viewChange_.onProcessResumed(now);
}

void ReplicaCore::runParts(Millis now) {
    watchDisk(now);
    if (!isIdentified()) {
        persistIdentity(now);
        return;
    }
    viewChange_.tick(now);
    chain_.tick(now);
    learner_.tick(now);
    reads_.tick(now);
    detector_.tick(now);
    askToJoin(now);
    receiveLocalMessages(now);
}

void ReplicaCore::receiveLocalMessages(Millis now) {
    for (int count = 0; count < kMaxLocalMessages; ++count) {
        const std::optional<Message> message = outbox_.takeLocalMessage();
        if (!message) return;
        receive(now, *message);
    }
}

void ReplicaCore::watchDisk(Millis now) {
    membership_.diskFailing = disk_.isFailing(now);
    if (!isIdentified() || !disk_.isProbeDue(now)) return;
    disk_.onProbe(now);
    viewChange_.persistControl();
}

// On a new disk, nothing is sent before the identity is durable.
void ReplicaCore::persistIdentity(Millis now) {
    if (identity_ == Identity::persisting || !disk_.mayWrite(now)) return;
    identity_ = Identity::persisting;
    DurableUpdate update;
    update.control = viewChange_.control();
    outbox_.persist(std::move(update), [this](Millis, bool stored) {
        identity_ = stored ? Identity::durable : Identity::unknown;
    });
}

void ReplicaCore::askToJoin(Millis now) {
    if (membership_.index || membership_.leaving || now < joinAt_) return;
    joinAt_ = now + kJoinInterval;
    std::set<std::string> addresses;
    for (const Member& member : membership_.view.members) addresses.insert(member.internalAddress);
    for (const std::string& seed : membership_.settings.seeds)
        addresses.insert(membership_.internalAddressOf(seed));
    addresses.erase(membership_.self.internalAddress);
    for (const std::string& address : addresses) outbox_.send(address, Join{});
}

bool ReplicaCore::isBusy() const {
    return !isIdentified() || viewChange_.isBusy() || chain_.isBusy() || reads_.isBusy() ||
           outbox_.outstanding() > 0 || disk_.writesFail();
}

void ReplicaCore::setTimer(Millis now) {
    Millis next = std::min(detector_.nextRoundAt(), reads_.nextRoundAt());
    if (isBusy()) next = std::min(next, now + kBusyTickInterval);
    if (!membership_.index && !membership_.leaving) next = std::min(next, joinAt_);
    next = std::max(next, now + 1);
    if (next == timer_) return;
    timer_ = next;
    outbox_.emit(SetTimer{next});
}

}  // namespace beechpoint::replica
