#include "replica/replica.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/splitmix.hpp"
#include "replica/chain.hpp"
#include "replica/failure_detector.hpp"
#include "replica/learner.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/read_barriers.hpp"
#include "replica/view_change.hpp"

namespace beechpoint::replica {

namespace {

constexpr int kMaxLocalMessages = 64;  // of one event; far more than any step needs

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

class Replica::Parts {
public:
    Parts(Settings settings, DurableState state, std::uint64_t seed, Millis now)
        : random_(seed),
          membership_(membershipOf(std::move(settings), state, random_)),
          identified_(state.control.incarnation != 0),
          lastEventAt_(now),
          outbox_(membership_),
          detector_(membership_, outbox_, random_.bits(), now),
          chain_(membership_, outbox_, state),
          learner_(membership_, outbox_, chain_),
          viewChange_(membership_, outbox_, detector_, chain_, state.control, random_.bits(), now,
                      [this](Millis at, const View& view) { install(at, view); }),
          reads_(membership_, outbox_, detector_, chain_) {
        membership_.sealed = viewChange_.sealed();
    }

    void handle(Millis now, const Event& event, std::vector<Action>& actions) {
        outbox_.begin(now, actions);
        if (now - lastEventAt_ > kWakeGap) wake(now);
        lastEventAt_ = now;
        std::visit([&](const auto& what) { on(now, what); }, event);
        poll(now);
        setTimer(now);
    }

    // A view is settled where one of its members says so: it knows then that all of them hold the starting state.
    bool hasLeft(Millis now) const {
        const View& view = membership_.view;
        if (!membership_.leaving) return false;
        if (view.epoch == 0) return true;
        if (membership_.inChain()) return view.members.size() == 1 && detector_.reached(now).empty();
        return std::ranges::any_of(view.members, [&](const Member& member) {
            const Peer* peer = detector_.find(member.internalAddress);
            return peer && sameProcess(peer->member, member) && peer->epoch == view.epoch &&
                   peer->status.installed;
        });
    }

    Membership& membership() { return membership_; }
    Chain& chain() { return chain_; }
    FailureDetector& detector() { return detector_; }

private:
    // ---- Events

    void on(Millis now, const MessageReceived& received) {
        if (identified_) receive(now, received.message);
    }
    void on(Millis now, const Persisted& persisted) { complete(now, persisted.token, true); }
    void on(Millis now, const PersistFailed& failed) {
        outbox_.log(fmt::format("storage failed: {}", failed.reason));
        complete(now, failed.token, false);
    }
    void on(Millis, const Tick&) {}
    void on(Millis now, const ClientWrite& write) { chain_.write(now, write); }
    void on(Millis now, const ReadBarrier& barrier) { reads_.add(now, barrier.token); }
    void on(Millis, const DiskHealth& health) { reportedFailing_ = health.failing; }

    // The others learn of it by the answers to their heartbeats.
    void on(Millis now, const Leave&) {
        if (!membership_.leaving) outbox_.log("leaving");
        membership_.leaving = true;
        if (!membership_.inChain()) detector_.enterView(now);
    }

    void on(Millis, const SeedsChanged& changed) { membership_.settings.seeds = changed.seeds; }

    void complete(Millis now, std::uint64_t token, bool stored) {
        writesFail_ = !stored;
        if (!stored) probeAt_ = now + kDiskProbeEvery;
        outbox_.complete(now, token, stored);
    }

    // ---- Messages

    void receive(Millis now, const Message& message) {
        if (message.from.name.empty() || message.from.internalAddress.empty()) return;
        std::visit([&](const auto& body) { onBody(now, message, body); }, message.body);
        const bool behind = message.epoch < membership_.view.epoch;
        if (behind && !sameProcess(message.from, membership_.self) &&
            detector_.mayTellView(now, message.from))
            outbox_.send(message.from.internalAddress, Decided{membership_.view});
    }

    void onBody(Millis now, const Message& message, const Heartbeat& heartbeat) {
        detector_.onHeartbeat(message.from, heartbeat, status(now));
    }
    void onBody(Millis now, const Message& message, const HeartbeatReply& reply) {
        if (detector_.onReply(now, message, reply)) chain_.onStatus(now, message, reply.status);
    }
    void onBody(Millis now, const Message& message, const Join&) { detector_.onJoin(now, message.from); }
    void onBody(Millis now, const Message& message, const Prepare& prepare) {
        viewChange_.onPrepare(now, message, prepare);
    }
    void onBody(Millis now, const Message& message, const Promise& promise) {
        viewChange_.onPromise(now, message, promise);
    }
    void onBody(Millis now, const Message&, const Refuse& refuse) { viewChange_.onRefuse(now, refuse); }
    void onBody(Millis now, const Message& message, const Accept& accept) {
        viewChange_.onAccept(now, message, accept);
    }
    void onBody(Millis now, const Message& message, const Accepted& accepted) {
        viewChange_.onAccepted(now, message, accepted);
    }
    void onBody(Millis now, const Message&, const Decided& decided) {
        viewChange_.onDecided(now, decided.view);
    }
    void onBody(Millis now, const Message& message, const Propose& propose) {
        chain_.onPropose(now, message, propose);
    }
    void onBody(Millis now, const Message& message, const Commit& commit) {
        chain_.onCommit(now, message, commit);
    }
    void onBody(Millis, const Message& message, const SyncRequest& request) {
        chain_.onSyncRequest(message, request);
    }
    void onBody(Millis, const Message& message, const SyncReply& reply) {
        chain_.onSyncReply(message, reply);
    }

    Status status(Millis now) const {
        Status status;
        status.sealed = membership_.sealed;
        status.installed = chain_.installed();
        status.diskFailing = membership_.diskFailing;
        status.syncedEpoch = chain_.syncedEpoch();
        status.storedItems = chain_.chained();
        status.committed = chain_.committedPosition();
        status.reachablePeers = detector_.reached(now);
        status.unresponsivePeers = detector_.unheard(now);
        status.stalledMember = chain_.stalledAt(now, detector_);
        status.stored = chain_.tablePosition();
        status.leaving = membership_.leaving;
        return status;
    }

    // ---- Steps

    void install(Millis now, const View& view) {
        const View before = std::exchange(membership_.view, view);
        membership_.index = view.indexOfProcess(membership_.self);
        viewChange_.enterView(now, before);
        viewChange_.persistControl();
        detector_.enterView(now);
        reads_.failAll();
        chain_.enterView(now);
        learner_.enterView(now);
        outbox_.emit(ViewChanged{view});
        outbox_.log(fmt::format("view of epoch {}, {} members, {} voters, {}", view.epoch,
                                view.members.size(), view.electorate().size(),
                                membership_.index ? "this process is one" : "this process is none"));
    }

    void wake(Millis now) {
        detector_.wake(now);
        viewChange_.wake(now);
    }

    void poll(Millis now) {
        watchDisk(now);
        if (!identified_) return identify(now);
        viewChange_.tick(now);
        chain_.tick(now);
        learner_.tick(now);
        reads_.tick(now);
        detector_.tick(now);
        join(now);
        for (int count = 0; count < kMaxLocalMessages; ++count) {
            const std::optional<Message> message = outbox_.takeLocal();
            if (!message) return;
            receive(now, *message);
        }
    }

    void watchDisk(Millis now) {
        membership_.diskFailing = reportedFailing_ || writesFail_ || outbox_.stuck(now);
        if (!writesFail_ || outbox_.outstanding() > 0 || now < probeAt_ || !identified_) return;
        probeAt_ = now + kDiskProbeEvery;
        viewChange_.persistControl();
    }

    // A new disk: nobody hears of this process before its identity is durable.
    void identify(Millis now) {
        if (identifying_ || now < probeAt_) return;
        identifying_ = true;
        DurableUpdate update;
        update.control = viewChange_.control();
        outbox_.persist(std::move(update), [this](Millis, bool stored) {
            identifying_ = false;
            identified_ = stored;
        });
    }

    void join(Millis now) {
        if (membership_.index || membership_.leaving || now < joinAt_) return;
        joinAt_ = now + kJoinEvery;
        std::set<std::string> addresses;
        for (const Member& member : membership_.view.members) addresses.insert(member.internalAddress);
        for (const std::string& seed : membership_.settings.seeds) addresses.insert(seedAddress(seed));
        addresses.erase(membership_.self.internalAddress);
        for (const std::string& address : addresses) outbox_.send(address, Join{});
    }

    std::string seedAddress(const std::string& seed) const {
        const std::string& own = membership_.self.internalAddress;
        return seed.substr(0, seed.rfind(':')) + own.substr(own.rfind(':'));
    }

    void setTimer(Millis now) {
        Millis next = std::min(detector_.nextRoundAt(), reads_.nextRoundAt());
        const bool busy = !identified_ || viewChange_.busy() || chain_.busy() || reads_.busy() ||
                          outbox_.outstanding() > 0 || writesFail_;
        if (busy) next = std::min(next, now + kBusyTick);
        if (!membership_.index && !membership_.leaving) next = std::min(next, joinAt_);
        next = std::max(next, now + 1);
        if (next == timer_) return;
        timer_ = next;
        outbox_.emit(SetTimer{next});
    }

    SplitMix random_;
    Membership membership_;
    bool identified_;
    bool identifying_ = false;
    bool reportedFailing_ = false;
    bool writesFail_ = false;  // the last answer of the storage was a failure
    Millis probeAt_ = 0;
    Millis joinAt_ = 0;
    Millis lastEventAt_;
    Millis timer_ = 0;
    Outbox outbox_;
    FailureDetector detector_;
    Chain chain_;
    Learner learner_;
    ViewChange viewChange_;
    ReadBarriers reads_;
};

Replica::Replica(Settings settings, DurableState state, std::uint64_t seed, Millis now)
    : parts_(std::make_unique<Parts>(std::move(settings), std::move(state), seed, now)) {}

Replica::~Replica() = default;

void Replica::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    parts_->handle(now, event, actions);
}

const Table& Replica::committedTable() const { return parts_->chain().committedTable(); }
std::shared_ptr<const Table> Replica::committedSnapshot() const {
    return parts_->chain().committedSnapshot();
}
Position Replica::committedPosition() const { return parts_->chain().committedPosition(); }
std::optional<TableUpdate> Replica::updateSince(Position position) const {
    return parts_->chain().updateSince(position);
}

const Member& Replica::self() const { return parts_->membership().self; }
const View& Replica::view() const { return parts_->membership().view; }
bool Replica::inView() const { return parts_->membership().index.has_value(); }
bool Replica::isHead() const { return parts_->membership().isHead(); }
bool Replica::isTail() const { return parts_->membership().isTail(); }
bool Replica::writable() const { return parts_->chain().writable(); }

bool Replica::hasLeft(Millis now) const { return parts_->hasLeft(now); }

bool Replica::fresh(Millis now) const {
    const bool upToDate = parts_->membership().active() && parts_->chain().upToDate(now);
    return upToDate && parts_->detector().vouchedSinceTime(now - kFreshFor);
}

}  // namespace beechpoint::replica
