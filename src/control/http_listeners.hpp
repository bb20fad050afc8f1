/// The HTTP servers of a control member: for operators, for clients of the directory and for readiness checks, each with its own
/// address and connection limit. All pass their requests to one handler, which dispatches by path.
/// Must be called from the event loop's thread only; the handler is called on it.
#pragma once

#include <array>
#include <set>
#include <string>

#include "core/result.hpp"
#include "net/server.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::control {

/// Owns the three servers and their connections. Life cycle: listen() until it succeeds, then startDraining(), then
/// closeIdleConnections() until it returns true; closeAll() or destruction ends it at any time.
class HttpListeners {
public:
    /// All references must outlive it.
    HttpListeners(asio::io_context& io, const Clock& clock, Logger& logger,
                  const settings::ResourceLimits& limits, const net::HttpServer::Handler& handler);

    /// Listens on each configured address; servers that already listen, after a partly failed start, are left unchanged.
    /// Errors: invalid (an address is not IP:PORT), unavailable (it can't be listened on; retry).
    [[nodiscard]] Result<void> listen(const settings::ProcessSettings& settings);
    /// Accepts no new connections; open ones are closed with their next answer.
    void startDraining();
    /// Closes connections without a pending request; returns whether all connections are closed.
    [[nodiscard]] bool closeIdleConnections();
    /// Closes all connections at once.
    void closeAll();
    /// The memory that the connections of all three hold.
    [[nodiscard]] const net::ConnectionBudget& memory() const { return memory_; }

private:
    Result<void> listenOn(net::HttpServer& server, const std::string& address, const char* location);
    std::array<net::HttpServer*, 3> servers() { return {&operators_, &directoryClients_, &readinessChecks_}; }

    net::ConnectionBudget memory_;
    net::HttpServer operators_;
    net::HttpServer directoryClients_;
    net::HttpServer readinessChecks_;
    std::set<const net::HttpServer*> listening_;
};

}  // namespace beechpoint::control
