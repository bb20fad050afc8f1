// What the system finds around it: the platform's list of hosts, with one host on it, and that host, which answers every request.
#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>

#include "background.hpp"
#include "core/clock.hpp"
#include "core/logger.hpp"
#include "net/server.hpp"

namespace beechpoint::system_test {

class Surroundings {
public:
    Surroundings(Background& background, const asio::ip::tcp::endpoint& platform,
                 const asio::ip::tcp::endpoint& host);
    ~Surroundings();  // after the loop has stopped

private:
    Clock clock_;
    Logger logger_;
    std::unique_ptr<net::HttpServer> platform_, host_;
};

}  // namespace beechpoint::system_test
