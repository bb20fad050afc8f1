#include "gateway/usage_report_state.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace beechpoint::gateway {

UsageReportState::UsageReportState(std::string gateway, std::uint64_t session, Millis windowLength)
    : gateway_(std::move(gateway)),
      session_(session),
      windowLength_(windowLength),
      counter_(std::max(windowLength, 1.0)) {}

void UsageReportState::onRunStarted(Millis now, Millis ownTime, const std::string& tenant) {
    if (windowLength_ > 0) counter_.add(tenant, trueTime(now, ownTime));
}

void UsageReportState::onPollReply(Millis now, const control::PollReply& reply) {
    if (reply.estimatedUnixTime > 0) {
        offsets_.push_back(reply.estimatedUnixTime - now);
        if (offsets_.size() > kTimeSamples) offsets_.pop_front();
    }
    clusterId_ = reply.clusterId;
    if (reply.usageTerm < term_ || reply.usageAddress.empty()) return;
    address_ = reply.usageAddress;
    term_ = reply.usageTerm;
}

std::optional<UsageCall> UsageReportState::onTimer(Millis now, Millis ownTime) {
    if (windowLength_ <= 0 || address_.empty() || awaitsReply_ || now < retryAt_) return std::nullopt;
    const Millis trueNow = trueTime(now, ownTime);
    const Urgency urgency = urgencyAt(now, trueNow);
    if (urgency == Urgency::none) return std::nullopt;
    std::vector<duties::WindowCounts> windows = counter_.unreported(term_);
    if (urgency == Urgency::ifChanged && windows.empty()) return std::nullopt;
    awaitsReply_ = true;
    sentAt_ = now;
    sentTerm_ = term_;
    sentCoverage_ = trueNow;
    UsageCall call;
    call.address = address_;
    call.message.term = term_;
    call.message.report = {gateway_, session_, trueNow, std::move(windows)};
    call.message.unixTime = ownTime;
    call.message.clusterId = clusterId_;
    return call;
}

void UsageReportState::onReply(Millis now, const std::optional<control::UsageReply>& reply) {
    if (!awaitsReply_) return;
    awaitsReply_ = false;
    if (!reply || !reply->accepted) {
        retryAt_ = now + kRetryAfter;
        return;
    }
    counter_.onAcknowledged(sentTerm_, reply->recordedBefore);
    acknowledgedTerm_ = sentTerm_;
    acknowledgedCoverage_ = sentCoverage_;
}

Millis UsageReportState::trueTime(Millis now, Millis ownTime) const {
    if (offsets_.empty()) return ownTime;
    std::vector<Millis> sorted(offsets_.begin(), offsets_.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return now + *middle;
}

UsageReportState::Urgency UsageReportState::urgencyAt(Millis now, Millis trueNow) const {
    if (term_ != acknowledgedTerm_) return Urgency::always;
    const bool windowEnded =
        duties::windowAt(trueNow, windowLength_) > duties::windowAt(acknowledgedCoverage_, windowLength_);
    if (windowEnded) return Urgency::always;
    const Millis interval = draining_ ? kTick : kInterval;
    return now - sentAt_ >= interval ? Urgency::ifChanged : Urgency::none;
}

}  // namespace beechpoint::gateway
