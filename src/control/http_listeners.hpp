/// The HTTP servers of a control member: for operators, for the directory's clients and for readiness checks, each on an address and
/// with a bound on connections of its own. All give their requests to one handler. What it is not: it knows no paths.
/// To be called from the event loop's thread only; the handler is called on it.
#pragma once

#include <array>
#include <set>
#include <string>

#include "core/result.hpp"
#include "net/server.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::control {

/// Owns the three servers with their connections. Life cycle: listen() until it succeeds, then startDraining(), then
/// closeIdleConnections() until it returns true; closeAll() or its destruction ends it at any time.
class HttpListeners {
public:
    /// All references must outlive it.
    HttpListeners(asio::io_context& io, const Clock& clock, Logger& logger,
                  const net::HttpServer::Handler& handler);

    /// Listens on each address that is set; those that listen already, from a start that failed half-way, are left as they are.
    /// Errors: invalid (an address is not IP:PORT), unavailable (it can't be listened on, to be tried again).
    [[nodiscard]] Result<void> listen(const settings::ProcessSettings& settings);
    /// No new connections; those that are open are closed with their next answer.
    void startDraining();
    /// Closes connections without a request; returns whether none is open any more.
    [[nodiscard]] bool closeIdleConnections();
    /// Closes all connections at once.
    void closeAll();

private:
    Result<void> listenOn(net::HttpServer& server, const std::string& address, const char* location);
    std::array<net::HttpServer*, 3> servers() { return {&operators_, &directoryClients_, &readinessChecks_}; }

    net::HttpServer operators_;
    net::HttpServer directoryClients_;
    net::HttpServer readinessChecks_;
    std::set<const net::HttpServer*> listening_;
};

}  // namespace beechpoint::control
