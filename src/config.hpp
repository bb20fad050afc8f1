// The program's configuration: what the platform hands a gatherer, and what an operator's file adds to it.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

#include "backend/pool.hpp"
#include "cluster/settings.hpp"
#include "coordinator/coordinator.hpp"
#include "discovery/hostlist.hpp"

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
    std::int64_t memoryMb = 256;
    discovery::Listing known;  // may be out of date
    coordinator::Settings settings;
    backend::ConnectionLimits connections;

    // The operators' endpoint: closed where no address is named.
    std::optional<asio::ip::tcp::endpoint> operatorEndpoint;
    std::string stateFolder;  // what an upgrade hands on is kept there; empty: nothing is

    // From an operator's file; off where it is absent.
    struct Search {
        asio::ip::tcp::endpoint listen;
        std::map<std::string, std::string, std::less<>> classOfIndex;
    };
    std::optional<Search> search;
    bool searchTrackHosts = false;  // they speak the query API too, not the platform's frames
    std::optional<asio::ip::udp::endpoint> snmp;
    std::string snmpCommunity = "public";
    bool peersAllowed = false;  // the configuration has peers, and its settings allow messages
    std::optional<cluster::Settings> group;
};

// Throw BadConfig with one plain line.
Config readConfig(const std::string& text, const Clock& clock);
Config readConfigFile(const std::string& path, const Clock& clock);
// Takes the operators' endpoint from $NODE_OPERATOR, which prevails over the configuration's key.
void readOperatorEndpoint(const std::string& text, Config& config);
// Adds an operator's file to a configuration.
void readOperatorFile(const std::string& path, Config& config);
void readOperator(const std::string& text, Config& config);

}  // namespace beechpoint
