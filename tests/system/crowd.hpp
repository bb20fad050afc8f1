// Clients that do not behave: many connections that each send a script of bytes as fast as they are taken and then stay open, reading
// what is answered or not.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "background.hpp"

namespace beechpoint::system_test {

// What one client sends: `begin`, then `repeated` so many times, then `end`.
struct CrowdScript {
    std::string begin;
    std::string repeated;
    std::size_t times = 0;
    std::string end;
    bool readsAnswers = true;

    std::size_t size() const { return begin.size() + times * repeated.size() + end.size(); }
};

class Crowd {
public:
    // Connects at once, each client by itself.
    Crowd(const asio::ip::tcp::endpoint& server, const std::vector<CrowdScript>& scripts);
    ~Crowd();

    // Waits until every client has sent its script or lost its connection, or none has got on for kStill. `look` is called again and again
    // meanwhile; it ends the wait by returning false.
    void awaitSettled(const std::function<bool()>& look);

    struct Counts {
        std::size_t open = 0;    // connections
        std::size_t closed = 0;  // by the server
        std::size_t bytes = 0;   // sent, of all clients
    };
    Counts counts();

private:
    class Client;

    Background background_;
    std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace beechpoint::system_test
