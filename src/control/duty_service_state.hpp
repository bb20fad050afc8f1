/// What a control member does for the singleton duties (duties/): a state machine free of I/O and clock.
///
/// Each subject has a DutyRunner at every member; only the holder's acts. Counts of usage are collected from the gateways by the member that holds
/// the usage duty. duty_service.hpp drives it, from one thread, and reports the end of each action.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control_messages/messages.hpp"
#include "core/replicated_table.hpp"
#include "duties/duty_runner.hpp"
#include "duties/true_time.hpp"
#include "duties/usage_collector.hpp"
#include "replica/view.hpp"

namespace beechpoint::control {

/// What it sees of the replica at one moment.
struct DutyReplicaState {
    bool fresh = false;                  ///< in the newest view known, confirmed by a majority
    replica::View view;                  ///< the newest known
    std::shared_ptr<const Table> table;  ///< committed; null while no replica is open
};

/// The holder of the usage duty, to be told to gateways.
struct UsageHolder {
    std::string address;  ///< internal address, IP:PORT
    std::uint64_t term = 0;
};

/// Of one subject, for the operators.
struct DutyStatus {
    std::string subject;
    std::string holder;  ///< by the newest view known here; empty: none
    std::uint64_t token = 0;
    bool heldHere = false;
    std::size_t openIntents = 0;
    std::optional<std::uint64_t> newestNumber;
    std::string newestState;
    int lastStatus = 0;       ///< of this member's last call; 0: none was answered
    std::uint64_t calls = 0;  ///< this member's
};

class DutyServiceState {
public:
    struct Settings {
        std::string member;              ///< this member's name
        Millis usageWindow = 0;          ///< 0: usage is not reported
        Millis usageReportDeadline = 0;  ///< a report is due so long after its window's end
        Millis takeoverDelay = 0;        ///< before a member that becomes a holder acts
        std::uint64_t seed = 0;
    };

    explicit DutyServiceState(Settings settings);

    /// A gateway reports its time of day, in milliseconds since 1970.
    void onGatewayTime(Millis now, const std::string& gateway, Millis unixTime);
    /// A gateway's counts.
    [[nodiscard]] UsageReply onUsage(Millis now, const DutyReplicaState& replica,
                                     const UsageMessage& message);

    /// Names and sessions of the gateways that hold a lease.
    using LiveGateways = std::function<std::vector<std::pair<std::string, std::uint64_t>>()>;
    /// To be called every kServiceTick and after the end of an action.
    /// @param ownTime this process's time of day, in milliseconds since 1970
    [[nodiscard]] std::vector<duties::DutyAction> step(Millis now, Millis ownTime,
                                                       const DutyReplicaState& replica,
                                                       const LiveGateways& gateways);

    // The ends of actions.
    [[nodiscard]] std::vector<duties::DutyAction> onProposed(Millis now, const DutyReplicaState& replica,
                                                             const duties::Subject& subject,
                                                             std::uint64_t attempt,
                                                             const duties::ProposalResult& answer);
    [[nodiscard]] std::vector<duties::DutyAction> onCalled(Millis now, const duties::Subject& subject,
                                                           std::uint64_t attempt, int status);
    void onSettled(Millis now, const duties::Subject& subject, std::uint64_t attempt, bool recorded);

    /// Whether the call may leave now: it is under the newest token, and this member is fresh. To be asked right before sending.
    [[nodiscard]] bool isCallAllowed(const DutyReplicaState& replica, const duties::CallPlatform& call) const;

    /// Nothing where usage is not reported, or no member holds the duty.
    [[nodiscard]] std::optional<UsageHolder> usageHolder(const replica::View& view) const;
    [[nodiscard]] Millis estimatedUnixTime(Millis now, Millis ownTime) const {
        return trueTime_.estimate(now, ownTime);
    }
    [[nodiscard]] std::vector<DutyStatus> status(const DutyReplicaState& replica) const;

    /// Nothing new is begun; what is under way is finished.
    void drain() { draining_ = true; }

private:
    struct Held {
        duties::DutyRunner runner;
        std::optional<Millis> since = std::nullopt;  // since when this member holds it
        std::uint64_t epoch = 0;                     // of the view when that was last looked at
    };

    [[nodiscard]] duties::DutyContext situationOf(Millis now, const DutyReplicaState& replica,
                                                  Held& held) const;
    [[nodiscard]] bool holds(const DutyReplicaState& replica, const duties::Subject& subject) const;
    [[nodiscard]] std::optional<duties::DutyWork> usageWork(Millis now, Millis ownTime,
                                                            const duties::DutyRunner& runner,
                                                            const DutyReplicaState& replica,
                                                            const LiveGateways& gateways) const;
    void followTerm(Millis now, const DutyReplicaState& replica);
    void forgetRecordedUsage(const DutyReplicaState& replica);
    [[nodiscard]] Held* find(const duties::Subject& subject);

    Settings settings_;
    duties::TrueTime trueTime_;
    duties::UsageCollector collector_;
    std::uint64_t collectedTerm_ = 0;  // to which the collector's coverage belongs
    Millis collectingSince_ = 0;       // when that term was first seen
    std::map<duties::Subject, Held> held_;
    std::shared_ptr<const Table> readTable_;  // that recordedBefore_ is of; read once
    duties::WindowNumber recordedBefore_ = 0;
    bool draining_ = false;
};

}  // namespace beechpoint::control
