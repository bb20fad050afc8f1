/// Implementation of Replica: dispatches events and messages to the components in a fixed order, puts decided views into effect,
/// and computes the next timer. Owns all components. Not thread-safe.
///
/// A call of handle() processes the event, runs one step of each component (`runParts`), then messages of this process to
/// itself, then sets the timer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "replica/chain.hpp"
#include "replica/disk_monitor.hpp"
#include "replica/events.hpp"
#include "replica/failure_detector.hpp"
#include "replica/learner.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/read_barriers.hpp"
#include "replica/view_change.hpp"

namespace beechpoint::replica {

class ReplicaCore {
public:
    ReplicaCore(Settings settings, const DurableState& state, std::uint64_t seed, Millis now);
    ReplicaCore(const ReplicaCore&) = delete;
    ReplicaCore& operator=(const ReplicaCore&) = delete;

    void handle(Millis now, const Event& event, std::vector<Action>& actions);
    /// See Replica::hasLeft().
    bool hasLeft(Millis now) const;

    const Membership& membership() const { return membership_; }
    const Chain& chain() const { return chain_; }
    const FailureDetector& detector() const { return detector_; }

private:
    enum class Identity {
        unknown,  // new disk without stored state
        persisting,
        durable,
    };

    void onEvent(Millis now, const MessageReceived& received);
    void onEvent(Millis now, const Persisted& persisted);
    void onEvent(Millis now, const PersistFailed& failed);
    void onEvent(Millis now, const Tick& tick);
    void onEvent(Millis now, const ClientWrite& write);
    void onEvent(Millis now, const ReadBarrier& barrier);
    void onEvent(Millis now, const DiskHealth& health);
    void onEvent(Millis now, const SeedsChanged& changed);
    void onEvent(Millis now, const Leave& leave);
    void onPersistAnswered(Millis now, std::uint64_t token, bool stored);

    void receive(Millis now, const Message& message);
    void sendViewIfBehind(Millis now, const Message& message);
    void onBody(Millis now, const Message& message, const Heartbeat& heartbeat);
    void onBody(Millis now, const Message& message, const HeartbeatReply& reply);
    void onBody(Millis now, const Message& message, const Join& join);
    void onBody(Millis now, const Message& message, const Prepare& prepare);
    void onBody(Millis now, const Message& message, const Promise& promise);
    void onBody(Millis now, const Message& message, const Reject& reject);
    void onBody(Millis now, const Message& message, const Accept& accept);
    void onBody(Millis now, const Message& message, const Accepted& accepted);
    void onBody(Millis now, const Message& message, const Decided& decided);
    void onBody(Millis now, const Message& message, const Propose& propose);
    void onBody(Millis now, const Message& message, const Commit& commit);
    void onBody(Millis now, const Message& message, const SyncRequest& request);
    void onBody(Millis now, const Message& message, const SyncReply& reply);
    Status status(Millis now) const;

    void installView(Millis now, const View& view);
    void onProcessResumed(Millis now);
    void runParts(Millis now);
    void receiveLocalMessages(Millis now);
    void watchDisk(Millis now);
    void persistIdentity(Millis now);
    void askToJoin(Millis now);
    void setTimer(Millis now);
    bool isBusy() const;
    bool isIdentified() const { return identity_ == Identity::durable; }

    SplitMix random_;
    Membership membership_;
    Identity identity_;
    Millis joinAt_ = 0;
    Millis lastEventAt_;
    Millis timer_ = 0;
    Outbox outbox_;
    DiskMonitor disk_;
    FailureDetector detector_;
    Chain chain_;
    Learner learner_;
    ViewChange viewChange_;
    ReadBarriers reads_;
};

}  // namespace beechpoint::replica
