// A gateway's link: gateway::ControlLinkState with the real codec, driven as gateway/control_link.cpp drives it.
#include <optional>
#include <utility>

#include "control_messages/codec.hpp"
#include "gateway/control_link_state.hpp"
#include "gateway_process.hpp"

namespace beechpoint::simulation {
namespace {

class ControlLinkStateDriver : public GatewayLink {
public:
    ControlLinkStateDriver(std::string name, std::uint64_t seed, Port port)
        : port_(std::move(port)), state_(std::move(name), seed) {}

    void seeds(std::vector<std::string> addresses) override { state_.seeds(std::move(addresses)); }
    void start() override { poll(state_.start(port_.now())); }

private:
    void poll(const std::optional<gateway::LinkCall>& call) {
        armTimer();
        if (!call) return;
        control::PollRequest request = port_.request();
        request.waitMs = call->waitMs;
        port_.call(call->address, control::encode(request), call->timeout,
                   [this, number = call->number](const Bytes& bytes) { onReply(number, bytes); });
    }

    void onReply(std::uint64_t number, const Bytes& bytes) {
        const auto reply = readReply(bytes);
        if (!reply) {
            state_.onFailure(port_.now(), number);
            armTimer();
            return;
        }
        const gateway::ReplyVerdict verdict = state_.onReply(port_.now(), number, *reply);
        armTimer();
        if (verdict == gateway::ReplyVerdict::accepted) port_.reply(*reply);
    }

    static std::optional<control::PollReply> readReply(const Bytes& bytes) {
        if (!bytes) return std::nullopt;
        auto reply = control::decodePollReply(*bytes);
        if (!reply) return std::nullopt;
        return std::move(reply.value());
    }

    // An earlier timer no longer polls.
    void armTimer() {
        const std::uint64_t timer = ++timer_;
        if (!state_.wakeAt()) return;
        port_.at(*state_.wakeAt(), [this, timer] {
            if (timer == timer_) poll(state_.onTimer(port_.now()));
        });
    }

    Port port_;
    gateway::ControlLinkState state_;
    std::uint64_t timer_ = 0;
};

}  // namespace

std::unique_ptr<GatewayLink> makeGatewayLink(std::string name, std::uint64_t seed, GatewayLink::Port port) {
    return std::make_unique<ControlLinkStateDriver>(std::move(name), seed, std::move(port));
}

}  // namespace beechpoint::simulation
