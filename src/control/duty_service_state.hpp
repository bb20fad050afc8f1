/// State machine of a control member's singleton duties (duties/), without I/O or clock.
///
/// Every member has a DutyRunner for each subject; only the holder's runner acts. The holder of the usage duty collects usage counts from the
/// gateways. DutyService (duty_service.hpp) drives it from one thread and reports the completion of each action.
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

/// The replica's state at one moment, as far as duties depend on it.
struct DutyReplicaState {
    bool fresh = false;                  ///< in the newest view known, confirmed by a majority
    replica::View view;                  ///< the newest known
    std::shared_ptr<const Table> table;  ///< committed; null while no replica is open
};

/// The holder of the usage duty, as announced to gateways.
struct UsageHolder {
    std::string address;  ///< internal address, IP:PORT
    std::uint64_t term = 0;
};

/// Status of one subject, for operators.
struct DutyStatus {
    std::string subject;
    std::string holder;  ///< by the newest view known here; empty: none
    std::uint64_t token = 0;
    bool heldHere = false;
    std::size_t openIntents = 0;
    std::optional<std::uint64_t> newestNumber;
    std::string newestState;
    int lastStatus = 0;       ///< HTTP status of this member's last call; 0: none was answered
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

    /// Records a gateway's wall-clock time, in milliseconds since 1970.
    void onGatewayTime(Millis now, const std::string& gateway, Millis unixTime);
    /// Handles a gateway's usage counts.
    [[nodiscard]] UsageReply onUsage(Millis now, const DutyReplicaState& replica,
                                     const UsageMessage& message);

    /// Names and sessions of the gateways that hold a lease.
    using LiveGateways = std::function<std::vector<std::pair<std::string, std::uint64_t>>()>;
    /// To be called every kServiceTick and after the end of an action.
    /// @param ownTime this process's wall-clock time, in milliseconds since 1970
    [[nodiscard]] std::vector<duties::DutyAction> step(Millis now, Millis ownTime,
                                                       const DutyReplicaState& replica,
                                                       const LiveGateways& gateways);

    // Completions of actions.
    [[nodiscard]] std::vector<duties::DutyAction> onProposed(Millis now, const DutyReplicaState& replica,
                                                             const duties::Subject& subject,
                                                             std::uint64_t attempt,
                                                             const duties::ProposalResult& answer);
    [[nodiscard]] std::vector<duties::DutyAction> onCalled(Millis now, const duties::Subject& subject,
                                                           std::uint64_t attempt, int status);
    void onSettled(Millis now, const duties::Subject& subject, std::uint64_t attempt, bool recorded);

    /// Whether the call may be sent now: its fencing token is the newest and this member is fresh. Check immediately before sending.
    [[nodiscard]] bool isCallAllowed(const DutyReplicaState& replica, const duties::CallPlatform& call) const;

    /// Empty if usage is not reported or no member holds the duty.
    [[nodiscard]] std::optional<UsageHolder> usageHolder(const replica::View& view) const;
    [[nodiscard]] Millis estimatedUnixTime(Millis now, Millis ownTime) const {
        return trueTime_.estimate(now, ownTime);
    }
    [[nodiscard]] std::vector<DutyStatus> status(const DutyReplicaState& replica) const;

    /// Graceful shutdown: starts no new actions and finishes those in progress.
    void drain() { draining_ = true; }

private:
    struct Held {
        duties::DutyRunner runner;
        std::optional<Millis> since = std::nullopt;  // since when this member holds it
        std::uint64_t epoch = 0;                     // of the view at the last evaluation
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
    std::uint64_t collectedTerm_ = 0;  // term of the collector's coverage
    Millis collectingSince_ = 0;       // when that term was first seen
    std::map<duties::Subject, Held> held_;
    std::shared_ptr<const Table> readTable_;  // from which recordedBefore_ was computed
    duties::WindowNumber recordedBefore_ = 0;
    bool draining_ = false;
};

}  // namespace beechpoint::control
