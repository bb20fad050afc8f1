// Answers clients that ask for gateways (GET /resolve). Where none is known it waits a little: a member that has just started
// hears of the leases within half a second.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::net {
class HttpConnection;
struct HttpMessage;
}  // namespace beechpoint::net

namespace beechpoint::control {

inline constexpr std::size_t kMaxPendingClients = 256;  // one more gets 503 at once
inline constexpr Millis kResolveWait = 700;             // clients move on after a second

class DirectoryService {
public:
    using Gateways = std::function<std::vector<leases::Gateway>()>;  // those with live leases

    DirectoryService(const Clock& clock, Gateways gateways, double ttlSeconds);
    ~DirectoryService();

    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);
    // Gateways or the time moved: waiting clients are answered.
    void answerPending();
    void drain();
    void ttl(double seconds) { ttlSeconds_ = seconds; }

private:
    struct Waiting {
        std::string zone, region;
        std::shared_ptr<net::HttpConnection> connection;
        Millis deadline = 0;
    };
    bool answer(const Waiting& client, const std::vector<leases::Gateway>& gateways) const;
    void refuse(const Waiting& client) const;

    const Clock& clock_;
    Gateways gateways_;
    double ttlSeconds_;
    bool draining_ = false;
    std::list<Waiting> waiting_;
};

}  // namespace beechpoint::control
