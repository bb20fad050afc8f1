/// Sends a gateway's usage counts to the holder of the usage duty, as UsageReportState decides. Called from the loop's thread only.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <string>

#include "core/logger.hpp"
#include "gateway/usage_report_state.hpp"
#include "rpc/client.hpp"

namespace beechpoint::gateway {

class UsageReporter {
public:
    /// `io`, `clock` and `log` must outlive it.
    /// @param windowLength in milliseconds; 0: nothing is counted or sent
    UsageReporter(asio::io_context& io, const Clock& clock, Logger& log, std::string gateway,
                  std::uint64_t session, Millis windowLength);

    void start();
    /// The process ends soon.
    void drain() { state_.drain(); }
    void stop();
    /// A host has begun to run a request of the tenant.
    void onRunStarted(const std::string& tenant);
    void onPollReply(const control::PollReply& reply) { state_.onPollReply(clock_.now(), reply); }

    [[nodiscard]] const duties::UsageCounter& counter() const { return state_.counter(); }

private:
    void armTimer();
    void send(const UsageCall& call);
    [[nodiscard]] Millis ownTime() const { return clock_.toUnix(clock_.now()); }

    const Clock& clock_;
    UsageReportState state_;
    bool isOn_;
    bool stopped_ = false;
    rpc::Client client_;
    asio::steady_timer timer_;
};

}  // namespace beechpoint::gateway
