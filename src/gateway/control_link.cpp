#include "gateway/control_link.hpp"

#include <utility>

#include "control_messages/codec.hpp"

namespace beechpoint::gateway {

ControlLink::ControlLink(asio::io_context& io, const Clock& clock, Logger& log, std::string name,
                         std::uint64_t seed, Handlers handlers)
    : clock_(clock),
      log_(log),
      handlers_(std::move(handlers)),
      state_(std::move(name), seed),
      client_(io, log),
      timer_(io) {}

void ControlLink::start() {
    state_.region(handlers_.request().gateway.region);
    send(state_.start(clock_.now()));
}

void ControlLink::stop() {
    state_.stop();
    timer_.cancel();
}

void ControlLink::pollNow() { send(state_.pollNow(clock_.now())); }

void ControlLink::send(const std::optional<LinkCall>& call) {
    armTimer();
    if (!call) return;
    control::PollRequest request = handlers_.request();
    request.waitMs = call->waitMs;
    client_.call(call->address, control::encode(request), call->timeout,
                 [this, number = call->number, sentAt = clock_.now()](const Result<std::string>& bytes) {
                     onReply(number, sentAt, bytes);
                 });
}

void ControlLink::onReply(std::uint64_t number, Millis sentAt, const Result<std::string>& bytes) {
    if (!state_.running()) return;
    const auto reply = readReply(bytes);
    if (!reply) {
        state_.onFailure(clock_.now(), number);
        armTimer();
        return;
    }
    const ReplyVerdict verdict = state_.onReply(clock_.now(), number, *reply);
    armTimer();
    if (verdict == ReplyVerdict::otherCluster)
        log_.seldom("cluster", "a control member of another cluster was polled: {:016x}",
                    field("cluster", reply->clusterId));
    if (verdict == ReplyVerdict::accepted) handlers_.reply(*reply, sentAt);
}

// Nothing: no reply, or one that can't be read.
std::optional<control::PollReply> ControlLink::readReply(const Result<std::string>& bytes) {
    if (!bytes) return std::nullopt;
    auto reply = control::decodePollReply(bytes.value());
    if (!reply) {
        log_.seldom("poll", "can't decode the reply to a poll: {}", field("error", reply.error().text()));
        return std::nullopt;
    }
    return std::move(reply.value());
}

void ControlLink::armTimer() {
    if (!state_.wakeAt()) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(toMicroseconds(*state_.wakeAt() - clock_.now()));
    timer_.async_wait([this](asio::error_code error) {
        if (!error) send(state_.onTimer(clock_.now()));
    });
}

}  // namespace beechpoint::gateway
