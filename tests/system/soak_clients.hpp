// Clients of a soak: each keeps its connection as long as it lasts and sends one request after the other, each under an id of its own,
// never twice, with a key that may be right, wrong or missing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "background.hpp"
#include "core/clock.hpp"

namespace beechpoint::system_test {

// A request and its end. Times are in milliseconds since 1970.
struct Attempt {
    std::string id;
    std::string key;  // empty: none was sent
    std::string path;
    std::size_t gateway = 0;
    Millis sentAt = 0, endedAt = 0;  // 0: not ended
    int status = 0;                  // of the head, also where the answer broke afterwards; 0: no head came
    bool whole = false;              // the answer came to its regular end
    bool foreign = false;            // the answer bears another id than the request's
    std::string body;
    std::string failure;  // how it broke off; empty: it did not
};

class SoakClients {
public:
    struct Settings {
        std::vector<std::string> fronts;  // IP:PORT of the gateways
        std::vector<std::string> keys;    // one is drawn for each request; an empty one: none
        std::size_t clients = 12;
        std::uint64_t seed = 0;
    };

    SoakClients(const Clock& clock, Settings settings);
    ~SoakClients();

    // Sends nothing new, waits for the ends of what is under way, and hands out all that was sent.
    std::vector<Attempt> end();

private:
    class Client;

    Background background_;
    std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace beechpoint::system_test
