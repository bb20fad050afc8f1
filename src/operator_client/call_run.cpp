#include "operator_client/call_run.hpp"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <chrono>
#include <utility>
#include <variant>

namespace beechpoint::operator_client {
namespace {

constexpr std::size_t kConnections = 1;  // to one member

std::string headerOf(const upstream::Headers& headers, std::string_view name) {
    const std::string* const value = upstream::findHeader(headers, name);
    return value ? *value : std::string();
}

CallPlan::Settings planSettings(const Client::Settings& settings, const Call& call) {
    CallPlan::Settings plan;
    plan.members = settings.members;
    plan.target = call.target;
    plan.changes = call.changes();
    plan.bodyBytes = call.body.size();
    plan.total = settings.total;
    plan.seed = settings.seed;
    return plan;
}

}  // namespace

CallRun::CallRun(const Clock& clock, const Client::Settings& settings, const Call& call,
                 const Client::Report& report)
    : clock_(clock),
      call_(call),
      report_(report),
      body_(call.body.empty() ? nullptr : std::make_shared<const std::string>(call.body)),
      plan_(planSettings(settings, call), clock.now()),
      upstream_(io_, clock),
      timer_(io_) {}

Reply CallRun::run() {
    asio::post(io_, [this] { carryOut(plan_.begin(clock_.now())); });
    io_.run();
    return std::move(reply_);
}

void CallRun::carryOut(const Step& step) {
    std::visit([this](const auto& one) { act(one); }, step);
}

void CallRun::act(const Send& send) {
    current_ = {};
    current_.address = send.address;
    location_.clear();
    const auto host = upstream::HostAddress::parse(send.address);
    if (!host) {
        report_(fmt::format("{}: is no IP:PORT", send.address));
        failLater(Sent::no);
        return;
    }
    report_(fmt::format("asking {}", send.address));
    handle_ = upstream_.send(host.value(), kConnections, requestTo(send), send.timeout, handlers());
}

void CallRun::act(const Backoff& backoff) {
    report_(fmt::format("no member has answered clearly; trying again in {:.0f} ms", backoff.length));
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(backoff.length * 1000)));
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) carryOut(plan_.onBackoffOver(clock_.now()));
    });
}

void CallRun::act(const Over& over) {
    if (reply_.status == 0) reply_ = std::move(current_);
    reply_.ending = over.ending;
    asio::post(io_, [this] {
        upstream_.closeAll();
        io_.stop();
    });
}

void CallRun::failLater(Sent sent) {
    asio::post(io_, [this, sent] { carryOut(plan_.onFailure(clock_.now(), sent == Sent::maybe)); });
}

upstream::Request CallRun::requestTo(const Send& send) const {
    upstream::Request request;
    request.method = call_.method;
    request.target = send.target;
    request.headers.push_back({"Host", send.address});
    if (call_.ifMatch) request.headers.push_back({"If-Match", fmt::format("{}", *call_.ifMatch)});
    if (body_) request.headers.push_back({"Content-Type", "application/json"});
    request.body = body_;
    request.requireAttemptId = false;
    return request;
}

upstream::Handlers CallRun::handlers() {
    upstream::Handlers handlers;
    handlers.onHead = [this](const upstream::AnswerHead& head) {
        current_.status = head.status;
        location_ = headerOf(head.headers, "Location");
    };
    handlers.onData = [this](std::string_view bytes) { onData(bytes); };
    handlers.onEnd = [this] { onEnd(); };
    handlers.onFailed = [this](const upstream::Failure& failure) { onFailed(failure); };
    return handlers;
}

void CallRun::onData(std::string_view bytes) {
    if (current_.body.size() + bytes.size() <= kMaxAnswerBytes) {
        current_.body += bytes;
        return;
    }
    upstream_.cancel(handle_);
    report_(fmt::format("{}: the answer is longer than {} bytes", current_.address, kMaxAnswerBytes));
    dropAnswer();
    failLater(Sent::maybe);
}

void CallRun::onEnd() {
    report_(fmt::format("{}: {}{}{}", current_.address, current_.status, location_.empty() ? "" : " to ",
                        location_));
    reply_ = current_;
    carryOut(plan_.onAnswer(clock_.now(), reply_.status, location_));
}

void CallRun::onFailed(const upstream::Failure& failure) {
    report_(fmt::format("{}: {} ({})", current_.address, upstream::nameOf(failure.kind), failure.message));
    dropAnswer();
    carryOut(plan_.onFailure(clock_.now(), failure.sent));
}

void CallRun::dropAnswer() {
    current_.status = 0;
    current_.body.clear();
}

}  // namespace beechpoint::operator_client
