// The program's configuration: what the platform hands a gatherer, and what an operator's file adds to it.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "back/frames.hpp"
#include "discovery/hostlist.hpp"
#include "firkeel/coordinator.hpp"

namespace beechpoint {

struct BadConfig : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    asio::ip::tcp::endpoint listen;
    asio::ip::tcp::endpoint discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    discovery::Listing known;  // may be out of date
    firkeel::Settings settings;
    back::ConnectionLimits connections;
};

// Throw BadConfig with one plain line.
Config readConfig(const std::string& text, const Clock& clock);
Config readConfigFile(const std::string& path, const Clock& clock);

}  // namespace beechpoint
