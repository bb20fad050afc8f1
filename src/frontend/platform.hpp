// The platform's protocol for clients: turns its requests into the core's, and the core's finals into its
// answers.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "core/exchange.hpp"
#include "net/server.hpp"

namespace beechpoint::frontend {

// What is wrong with a request, for its 400.
struct BadRequest : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads POST /CLASS[/KEY]. `received` is when its last byte came. Throws BadRequest.
Request readPlatformRequest(const net::HttpMessage& message, const coordinator::Settings& settings,
                            Millis received);
std::string platformBody(const Final& final);

class Platform {
public:
    // `up` tells whether clients may be sent here.
    Platform(Exchange& exchange, const Clock& clock, Counters& counters, std::function<bool()> up)
        : exchange_(exchange), clock_(clock), counters_(counters), up_(std::move(up)) {}
    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);

private:
    Exchange& exchange_;
    const Clock& clock_;
    Counters& counters_;
    std::function<bool()> up_;
};

}  // namespace beechpoint::frontend
