#include "gateway/usage_reporter.hpp"

#include <utility>

#include "control_messages/codec.hpp"

namespace beechpoint::gateway {
namespace {

constexpr Millis kReportTimeout = 1000;

}  // namespace

UsageReporter::UsageReporter(asio::io_context& io, const Clock& clock, Logger& log, std::string gateway,
                             std::uint64_t session, Millis windowLength)
    : clock_(clock),
      state_(std::move(gateway), session, windowLength),
      isOn_(windowLength > 0),
      client_(io, log),
      timer_(io) {}

void UsageReporter::start() {
    if (isOn_) armTimer();
}

void UsageReporter::stop() {
    stopped_ = true;
    timer_.cancel();
}

void UsageReporter::onRunStarted(const std::string& tenant) {
    state_.onRunStarted(clock_.now(), ownTime(), tenant);
}

void UsageReporter::armTimer() {
    timer_.expires_after(toMicroseconds(UsageReportState::kTick));
    timer_.async_wait([this](asio::error_code error) {
        if (error || stopped_) return;
        if (const auto call = state_.onTimer(clock_.now(), ownTime())) send(*call);
        armTimer();
    });
}

void UsageReporter::send(const UsageCall& call) {
    client_.call(call.address, control::encode(call.message), kReportTimeout,
                 [this](const Result<std::string>& bytes) {
                     std::optional<control::UsageReply> reply;
                     if (bytes) {
                         const auto decoded = control::decodeUsageReply(bytes.value());
                         if (decoded) reply = decoded.value();
                     }
                     state_.onReply(clock_.now(), reply);
                 });
}

}  // namespace beechpoint::gateway
