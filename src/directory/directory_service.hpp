/// Answers clients' GET /resolve on control members and gateways. A request waits up to kResolveWait while no usable gateway is known: a
/// member that has just started receives the leases within half a second. directory.hpp selects the gateways.
///
/// Owns the waiting requests; the HTTP server owns the connections. To be called from the server's thread only.
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

namespace beechpoint::directory {

inline constexpr std::size_t kMaxPendingClients = 256;  ///< one more is answered 503 at once
inline constexpr Millis kResolveWait = 700;  ///< milliseconds; clients try another address after a second

class DirectoryService {
public:
    using Gateways = std::function<std::vector<leases::Gateway>()>;  ///< those with live leases

    /// @param clock must outlive it
    /// @param ttlSeconds how long clients may use an answer
    DirectoryService(const Clock& clock, Gateways gateways, double ttlSeconds);
    ~DirectoryService();

    /// Answers the request now, or keeps it until gateways are known.
    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);
    /// Answers the waiting requests that can be answered, and with 503 those that have waited kResolveWait. To be called when gateways change
    /// and every few hundred milliseconds.
    void answerPending();
    /// Graceful shutdown: the waiting requests are answered, and later ones do not wait.
    void drain();
    void setTtl(double seconds) { ttlSeconds_ = seconds; }

private:
    struct PendingRequest {
        std::string zone;
        std::string region;
        std::shared_ptr<net::HttpConnection> connection;
        Millis deadline = 0;  // own clock
    };
    /// False where no usable gateway is known.
    [[nodiscard]] bool answer(const PendingRequest& request,
                              const std::vector<leases::Gateway>& gateways) const;
    void refuse(const PendingRequest& request) const;

    const Clock& clock_;
    Gateways gateways_;
    double ttlSeconds_;
    bool draining_ = false;
    std::list<PendingRequest> pending_;  // oldest first
};

}  // namespace beechpoint::directory
