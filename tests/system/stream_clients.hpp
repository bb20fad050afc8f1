// Clients of streams: each asks for one stream after the other on connections that it keeps as long as they last, reads some of them slowly,
// leaves some, and comes back for the rest of what it may resume, with Last-Event-Id, at another gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "background.hpp"
#include "core/clock.hpp"
#include "piece_stream.hpp"

namespace beechpoint::system_test {

class StreamClients {
public:
    struct Settings {
        std::vector<std::string> fronts;  // IP:PORT of the gateways
        std::size_t clients = 12;
        std::uint64_t seed = 0;
    };

    StreamClients(const Clock& clock, const Settings& settings);
    ~StreamClients();

    // Asks for nothing new, waits for the ends of what is under way, and hands out all that was asked for.
    std::vector<StreamAttempt> end();

private:
    class Client;

    Background background_;
    std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace beechpoint::system_test
