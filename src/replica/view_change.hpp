/// Runs the agreement on the next view: founding, detecting that a change is due, proposing, voting, learning the decision.
///
/// One instance of single-decree Paxos per epoch (Paxos Made Simple); the acceptors are those of the current view (Vertical Paxos
/// 2009). Owns the Acceptor, the Proposer, the control record on disk and the planner. Called only on the thread of
/// Replica::handle().
///
///   proposer  | event                                   | result
///   ----------|-----------------------------------------|----------------------------------------------------------
///   idle      | change due, this process's turn         | Prepare to all acceptors -> preparing
///   preparing | Promise, majority, value known          | Accept to all acceptors -> accepting
///   accepting | Accepted, majority                      | Decided to all, view installed here -> idle
///   any       | Reject with a higher proposal number,   | back-off -> idle
///             | time-out                                |
///   any       | newer view in force                     | -> idle
///
/// Invariants:
///   - A promise seals this process in the epoch before it is sent, and is sent only once it is durable.
///   - A proposer offers the value of the highest accepted proposal among its promises, if there is one.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "replica/acceptor_set.hpp"
#include "replica/chain.hpp"
#include "replica/control_record_store.hpp"
#include "replica/durable_state.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/view_agreement.hpp"
#include "replica/view_planner.hpp"

namespace beechpoint::replica {

class ViewChange {
public:
    /// Puts a decided view, newer than the current one, into effect.
    using Install = std::function<void(Millis now, const View& view)>;

    ViewChange(Membership& membership, Outbox& outbox, const FailureDetector& detector, const Chain& chain,
               const ControlRecord& control, std::uint64_t seed, Millis now, Install install);
    ViewChange(const ViewChange&) = delete;
    ViewChange& operator=(const ViewChange&) = delete;

    void tick(Millis now);
    /// Discards earlier observations after the process was suspended.
    void onProcessResumed(Millis now);
    void enterView(Millis now, const View& before);

    void onPrepare(Millis now, const Message& message, const Prepare& prepare);
    void onPromise(Millis now, const Message& message, const Promise& promise);
    void onReject(Millis now, const Reject& reject);
    void onAccept(Millis now, const Message& message, const Accept& accept);
    void onAccepted(Millis now, const Message& message, const Accepted& accepted);
    void onDecided(Millis now, const View& view);

    bool isSealed() const { return acceptor_.isSealed(membership_.view.epoch); }
    /// Whether an operation is in progress that needs a timer.
    bool isBusy() const;
    /// The current control record; the caller persists it as a whole.
    ControlRecord control() const { return records_.record(); }
    void persistControl() { records_.persist(); }

private:
    bool canVote(Millis now, const Message& message, const View& base,
                 const std::vector<std::string>& founders);
    bool isCauseUnconfirmed(Millis now, const Prepare& prepare) const;
    void replyOnceDurable(const Vote& vote, ControlRecordStore::Reply reply);
    void sendPromise(const std::string& address, std::uint64_t target, const Vote& vote);

    void considerFounding(Millis now);
    void considerChange(Millis now);
    void logIfImpossible(const Assessment& assessment);
    void begin(Millis now, bool observedDirectly);
    void advance(Millis now);
    void checkProposalTimers(Millis now);
    bool hasWaitedLongEnough(Millis now) const;
    bool isPromiseDispensable(const Member& member, Millis now) const;
    void resend(Millis now);
    void sendRequest(const std::string& address);
    void backOff(Millis now);
    void announceDecision(const View& view);
    Millis retryDelay() { return kMinRetryDelay + (kMaxRetryDelay - kMinRetryDelay) * random_(); }

    Membership& membership_;
    Outbox& outbox_;
    const FailureDetector& detector_;
    const Chain& chain_;
    SplitMix random_;
    Install install_;

    AcceptorSet acceptors_;
    Acceptor acceptor_;
    Proposer proposer_;
    ViewPlanner planner_;
    ControlRecordStore records_;
    bool observedDirectly_ = false;   // this process observed the cause of the current proposal itself
    std::uint64_t highestRound_ = 0;  // highest round of all received proposal numbers
    Millis assessAt_ = 0;
    Millis changeDueSince_ = 0;  // 0: none is due
    Millis resendAt_ = 0;
    Millis backOffUntil_ = 0;
    Millis lastInstallAt_;
    std::set<std::string>
        impossibleExclusions_;  // internal addresses; as last logged, empty while a view is possible
};

}  // namespace beechpoint::replica
