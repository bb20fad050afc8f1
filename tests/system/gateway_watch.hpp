// Looks again and again which state of the table each gateway serves by, on a thread of its own, and counts when one goes back.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "system.hpp"

namespace beechpoint::system_test {

// The value of a figure without labels on a page of metrics; -1: it is not there.
double figureIn(const std::string& metrics, const std::string& name);

class GatewayWatch {
public:
    // The gateways must go on running until it ends.
    explicit GatewayWatch(const System& system);
    ~GatewayWatch();

    // Ends it. How often a gateway went back, and how often one was looked at.
    struct Seen {
        std::size_t backwards = 0;
        std::size_t looks = 0;
    };
    Seen end();

private:
    using Place = std::pair<double, double>;  // epoch and sequence

    void look();
    void lookAt(const std::string& metricsAddress);

    asio::io_context io_{1};
    asio::steady_timer timer_;
    std::map<std::string, Place> places_;  // by address of the metrics
    Seen seen_;
    std::thread thread_;
};

}  // namespace beechpoint::system_test
