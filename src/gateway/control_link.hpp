/// A gateway's link to the control members: one poll at a time, as ControlLinkState decides. Makes its calls and runs its timer on
/// the Asio loop; called from that loop's thread only. A poll states the versions that the gateway has and renews its lease.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control_messages/messages.hpp"
#include "core/logger.hpp"
#include "gateway/control_link_state.hpp"
#include "rpc/client.hpp"

namespace beechpoint::gateway {

class ControlLink {
public:
    struct Handlers {
        /// The poll to send, asked for at the time of sending.
        std::function<control::PollRequest()> request;
        /// A reply of a member whose table is fresh; `sentAt`: when the poll was sent.
        std::function<void(const control::PollReply&, Millis sentAt)> reply;
    };

    /// `io`, `clock` and `log` must outlive it. `name`: of this gateway. `seed`: of the jitter.
    ControlLink(asio::io_context& io, const Clock& clock, Logger& log, std::string name, std::uint64_t seed,
                Handlers handlers);

    /// Internal addresses (IP:PORT) of the seed nodes; may change at any time.
    void seeds(std::vector<std::string> addresses) { state_.seeds(std::move(addresses)); }
    /// Cluster that the gateway's table is from; 0: not known.
    void clusterId(std::uint64_t id) { state_.clusterId(id); }
    void start();
    /// Polls again at once, with the present request: something that control should know has changed.
    void pollNow();
    void stop();
    /// When the last reply of a member whose table is fresh came; 0: never.
    [[nodiscard]] Millis heardAt() const { return state_.heardAt(); }

private:
    void send(const std::optional<LinkCall>& call);
    void onReply(std::uint64_t number, Millis sentAt, const Result<std::string>& bytes);
    std::optional<control::PollReply> readReply(const Result<std::string>& bytes);
    void armTimer();

    const Clock& clock_;
    Logger& log_;
    Handlers handlers_;
    ControlLinkState state_;
    rpc::Client client_;
    asio::steady_timer timer_;
};

}  // namespace beechpoint::gateway
