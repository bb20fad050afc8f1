// Runs the agreement on the next view: founding, noticing that a change is due, proposing, voting, learning the decision.
//
//   idle -> preparing -> accepting -> idle, by the next view, a higher ballot or a time-out
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "replica/chain.hpp"
#include "replica/durable_state.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/view_agreement.hpp"
#include "replica/view_planner.hpp"

namespace beechpoint::replica {

class ViewChange {
public:
    // Puts a decided view in force; it is newer than the present one.
    using Install = std::function<void(Millis now, const View& view)>;

    ViewChange(Membership& membership, Outbox& outbox, const FailureDetector& detector, const Chain& chain,
               const ControlRecord& control, std::uint64_t seed, Millis now, Install install);

    void tick(Millis now);
    void wake(Millis now);
    void enterView(Millis now, const View& before);

    void onPrepare(Millis now, const Message& message, const Prepare& prepare);
    void onPromise(Millis now, const Message& message, const Promise& promise);
    void onRefuse(Millis now, const Refuse& refuse);
    void onAccept(Millis now, const Message& message, const Accept& accept);
    void onAccepted(Millis now, const Message& message, const Accepted& accepted);
    void onDecided(Millis now, const View& view);

    bool sealed() const { return acceptor_.sealed(membership_.view.epoch); }
    bool busy() const {
        return troubleSince_ > 0 || proposer_.phase() != Proposer::Phase::idle || founding();
    }
    // What the disk should hold now; written whole by whoever persists it.
    ControlRecord control() const;
    // Writes the record if the disk is not known to hold it.
    void persistControl();

private:
    bool founding() const { return membership_.view.epoch == 0 && !membership_.founders.empty(); }
    // Acceptors are the voters and, to be sealed, the links of the chain. Empty: no acceptor.
    std::string acceptorKey(const Member& member) const;
    bool votes(const Member& member) const { return founding() || membership_.view.findVoter(member); }
    std::vector<std::string> acceptorAddresses() const;
    std::size_t majority() const;
    bool mayVote(Millis now, const Message& message, const View& base,
                 const std::vector<std::string>& founders);

    void considerFounding(Millis now);
    void considerChange(Millis now);
    void begin(Millis now, bool observed);
    void advance(Millis now);
    bool waitedLongEnough(Millis now) const;
    void resend(Millis now);
    void backOff(Millis now);
    void sendRequest(const std::string& address);
    void announce(const View& view);

    void vote(Millis now, std::function<void()> reply);
    Millis retryDelay() { return kRetryLow + (kRetryHigh - kRetryLow) * random_(); }

    Membership& membership_;
    Outbox& outbox_;
    const FailureDetector& detector_;
    const Chain& chain_;
    SplitMix random_;
    Install install_;

    Acceptor acceptor_;
    Proposer proposer_;
    ViewPlanner planner_;
    ControlRecord durable_;  // last known to be on disk
    unsigned votesInFlight_ = 0;
    unsigned controlsInFlight_ = 0;
    bool observed_ = false;  // of the present proposal
    std::uint64_t highestRound_ = 0;
    Millis assessAt_ = 0;
    Millis troubleSince_ = 0;  // 0: none
    Millis resendAt_ = 0;
    Millis backOffUntil_ = 0;
    Millis lastInstallAt_;
    Millis controlRetryAt_ = 0;
};

}  // namespace beechpoint::replica
