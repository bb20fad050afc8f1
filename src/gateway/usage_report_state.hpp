/// What a gateway reports of its tenants' usage, to whom and when: a state machine free of I/O and clock. usage_reporter.hpp drives it.
///
///   when it reports                                         | what
///   a new holder of the usage duty, or a new term           | all windows that are not recorded
///   a window has ended since the last acknowledged report   | what changed; the holder waits for it
///   kInterval after the last report, kTick while it drains  | what changed, if anything
///   kRetryAfter after a report that was not acknowledged    | the same again
///
/// Windows are of true time as control estimates it; until control has told it, of this process's own time of day.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "control_messages/messages.hpp"
#include "duties/usage_counter.hpp"

namespace beechpoint::gateway {

/// A report to be sent now. Its end is to be given to UsageReportState::onReply().
struct UsageCall {
    std::string address;  ///< IP:PORT
    control::UsageMessage message;
};

class UsageReportState {
public:
    static constexpr Millis kTick = 250;
    static constexpr Millis kInterval = 1000;
    static constexpr Millis kRetryAfter = 500;
    static constexpr std::size_t kTimeSamples = 5;  ///< replies whose true times are compared

    /// @param windowLength in milliseconds; 0: usage is not reported
    UsageReportState(std::string gateway, std::uint64_t session, Millis windowLength);

    /// A host has begun to run a request of the tenant.
    /// @param ownTime this process's time of day in milliseconds since 1970
    void onRunStarted(Millis now, Millis ownTime, const std::string& tenant);
    void onPollReply(Millis now, const control::PollReply& reply);
    /// To be called every kTick.
    [[nodiscard]] std::optional<UsageCall> onTimer(Millis now, Millis ownTime);
    /// The process ends soon: reports go out at once from now on.
    void drain() { draining_ = true; }
    /// Nothing: no reply, or one that can't be read.
    void onReply(Millis now, const std::optional<control::UsageReply>& reply);

    [[nodiscard]] Millis trueTime(Millis now, Millis ownTime) const;
    [[nodiscard]] const duties::UsageCounter& counter() const { return counter_; }

private:
    enum class Urgency { none, ifChanged, always };

    [[nodiscard]] Urgency urgencyAt(Millis now, Millis trueNow) const;

    std::string gateway_;
    std::uint64_t session_;
    Millis windowLength_;
    duties::UsageCounter counter_;
    std::deque<Millis> offsets_;  // from the steady clock to true time, of the newest replies
    std::string address_;
    std::uint64_t term_ = 0;
    std::uint64_t clusterId_ = 0;
    bool draining_ = false;
    std::uint64_t acknowledgedTerm_ = 0;
    Millis acknowledgedCoverage_ = 0;
    bool awaitsReply_ = false;
    std::uint64_t sentTerm_ = 0;
    Millis sentCoverage_ = 0;
    Millis sentAt_ = 0;
    Millis retryAt_ = 0;
};

}  // namespace beechpoint::gateway
