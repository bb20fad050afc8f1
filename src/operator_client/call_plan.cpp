#include "operator_client/call_plan.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::operator_client {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr double kMinJitter = 0.75;  // of a backoff
constexpr double kJitterRange = 0.5;
constexpr int kTemporaryRedirect = 307;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;

bool isSuccess(int status) { return status >= 200 && status < 300; }

bool isRefusal(int status) {
    return status >= 400 && status < 500 && status != kRequestTimeout && status != kTooManyRequests;
}

}  // namespace

CallPlan::CallPlan(Settings settings, Millis now)
    : settings_(std::move(settings)), random_(settings_.seed), deadline_(now + settings_.total) {
    if (settings_.members.size() > kMaxMembers) settings_.members.resize(kMaxMembers);
    callTimeout_ = kCallTimeout + static_cast<double>(settings_.bodyBytes) / kBodyBytesPerMillis;
}

Step CallPlan::begin(Millis now) { return callMember(now); }

Step CallPlan::onAnswer(Millis now, int status, std::string_view location) {
    if (isSuccess(status)) return Over{Ending::done};
    if (isRefusal(status)) return Over{Ending::refused};
    if (status == kTemporaryRedirect) return follow(now, location);
    maybeApplied_ = maybeApplied_ || settings_.changes;
    return callNext(now);
}

Step CallPlan::onFailure(Millis now, bool sent) {
    maybeApplied_ = maybeApplied_ || (sent && settings_.changes);
    return callNext(now);
}

Step CallPlan::onBackoffOver(Millis now) { return callMember(now); }

Step CallPlan::follow(Millis now, std::string_view location) {
    Location there = parseLocation(location);
    if (there.address.empty() || redirects_ >= kMaxRedirects) return callNext(now);
    redirects_++;
    return call(now, std::move(there.address), std::move(there.target));
}

Step CallPlan::callMember(Millis now) {
    if (settings_.members.empty()) return giveUp();
    return call(now, settings_.members[member_], settings_.target);
}

Step CallPlan::call(Millis now, std::string address, std::string target) {
    const Millis left = deadline_ - now;
    if (left < kShortestCall) return giveUp();
    return Send{std::move(address), std::move(target), std::min(left, callTimeout_)};
}

Step CallPlan::callNext(Millis now) {
    redirects_ = 0;
    member_ = (member_ + 1) % settings_.members.size();
    if (member_ != 0) return callMember(now);
    const Millis length = backoff_ * (kMinJitter + kJitterRange * random_());
    backoff_ = std::min(2 * backoff_, kMaxBackoff);
    if (now + length + kShortestCall > deadline_) return giveUp();
    return Backoff{length};
}

Step CallPlan::giveUp() const { return Over{maybeApplied_ ? Ending::unknown : Ending::unreachable}; }

Location parseLocation(std::string_view location) {
    if (!location.starts_with(kScheme)) return {};
    location.remove_prefix(kScheme.size());
    const auto slash = location.find('/');
    if (slash == std::string_view::npos || slash == 0) return {};
    return {std::string(location.substr(0, slash)), std::string(location.substr(slash))};
}

}  // namespace beechpoint::operator_client
