// A gateway's link to the control members: one poll at a time, at the member that answered last, elsewhere when it does not
// answer in time or can't vouch that it is up to date. The poll carries what the gateway holds and renews its lease.
//
// Each gateway has its own order of the members (rendezvous hashing by its name), so that the gateways spread evenly over them; it goes
// back to the first of its order once that has not failed for a while.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/messages.hpp"
#include "core/logger.hpp"
#include "core/splitmix.hpp"
#include "rpc/client.hpp"

namespace beechpoint::gateway {

class ControlLink {
public:
    struct Handlers {
        std::function<control::PollRequest()> request;  // what to ask with, at the time of asking
        std::function<void(const control::PollReply&, Millis sentAt)>
            reply;  // of a member that is up to date
    };

    ControlLink(asio::io_context& io, const Clock& clock, Logger& log, std::string name, std::uint64_t seed,
                Handlers handlers);

    // Internal addresses (IP:PORT) of the seeds; may change at any time.
    void seeds(std::vector<std::string> addresses);
    void start();
    // Asks anew at once, with the present request: something that control should know has changed.
    void pollNow();
    void stop();
    // When the last answer of a member that is up to date came; 0: never.
    Millis heardAt() const { return heardAt_; }

private:
    void poll();
    void pollAfter(Millis pause);
    void onReply(std::uint64_t number, const std::string& address, Millis sentAt, Result<std::string> bytes);
    void failed(const std::string& address);
    void learnMembers(const std::vector<std::string>& members);
    void orderMembers();
    std::string nextAddress() const;

    const Clock& clock_;
    Logger& log_;
    Handlers handlers_;
    SplitMix random_;
    rpc::Client client_;
    asio::steady_timer timer_;
    std::string name_;  // this gateway's
    std::vector<std::string> seeds_, members_;
    std::vector<std::string> order_;  // of all of them
    std::size_t turn_ = 0;            // place in the order
    std::string current_;             // the member that answered last
    Millis failedAt_ = 0;             // when a member last failed to answer
    int failures_ = 0;                // in a row
    std::uint64_t asked_ = 0;         // number of the poll that is out; earlier ones are ignored
    bool running_ = false;
    Millis heardAt_ = 0;
};

}  // namespace beechpoint::gateway
