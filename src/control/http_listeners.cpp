#include "control/http_listeners.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <exception>

#include "backend/pool.hpp"
#include "control/operator_api.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxOperatorConnections = 128;
constexpr std::size_t kMaxDirectoryConnections = 1024;
constexpr std::size_t kMaxReadinessConnections = 16;
constexpr std::size_t kReservedDescriptors =
    232;  // 200 are the platform's; listeners, store, other processes
// At most one in so many descriptors. The rest is for gateways and other members.
constexpr std::size_t kOperatorPart = 4, kDirectoryPart = 3;
constexpr Millis kMaxBodyPause = 2000;  // between two pieces of a request's body

struct ConnectionLimits {
    std::size_t operators = 0;
    std::size_t directory = 0;
    std::size_t readiness = 0;

    [[nodiscard]] std::size_t total() const { return operators + directory + readiness; }
};

ConnectionLimits connectionLimits(const settings::ResourceLimits& limits) {
    const auto open = static_cast<std::size_t>(std::max<std::int64_t>(limits.maxOpenFiles, 0));
    const std::size_t free = std::max(open, 2 * kReservedDescriptors) - kReservedDescriptors;
    ConnectionLimits most;
    most.operators = std::min(kMaxOperatorConnections, free / kOperatorPart);
    most.directory = std::min(kMaxDirectoryConnections, free / kDirectoryPart);
    most.readiness = kMaxReadinessConnections;
    const std::size_t byMemory = net::ConnectionMemory::of(limits.memoryMb).mostConnections();
    if (most.total() > byMemory) most.directory -= std::min(most.directory - 1, most.total() - byMemory);
    return most;
}

net::HttpLimits operatorLimits() {
    net::HttpLimits limits;
    limits.body = kMaxOperatorBody;
    limits.bodyPause = kMaxBodyPause;
    limits.strict = true;
    return limits;
}

Result<asio::ip::tcp::endpoint> endpointOf(const std::string& text, const char* location) {
    const auto endpoint = backend::readEndpoint(text);
    if (endpoint) return *endpoint;
    return Error{ErrorKind::invalid, location, fmt::format("'{}' is not IP:PORT", text),
                 "write it as 10.0.0.1:8146"};
}

}  // namespace

HttpListeners::HttpListeners(asio::io_context& io, const Clock& clock, Logger& logger,
                             const settings::ResourceLimits& limits, const net::HttpServer::Handler& handler)
    : memory_(net::ConnectionMemory::of(limits.memoryMb).heldBytes),
      operators_(io, clock, logger, connectionLimits(limits).operators, handler),
      directoryClients_(io, clock, logger, connectionLimits(limits).directory, handler),
      readinessChecks_(io, clock, logger, connectionLimits(limits).readiness, handler) {
    operators_.limits(operatorLimits());
    const int receiveBuffer =
        net::ConnectionMemory::of(limits.memoryMb).receiveBuffer(connectionLimits(limits).total());
    for (net::HttpServer* const server : servers()) server->memory(memory_, receiveBuffer);
}

Result<void> HttpListeners::listen(const settings::ProcessSettings& settings) {
    auto operators = listenOn(operators_, settings.listenAddresses.control, "control");
    if (!operators) return operators;
    auto directory = listenOn(directoryClients_, settings.listenAddresses.directory, "directory");
    if (!directory) return directory;
    return listenOn(readinessChecks_, settings.listenAddresses.readiness, "readiness");
}

// A part without an address is not served.
Result<void> HttpListeners::listenOn(net::HttpServer& server, const std::string& address,
                                     const char* location) {
    if (address.empty() || listening_.contains(&server)) return boost::outcome_v2::success();
    const auto endpoint = endpointOf(address, location);
    if (!endpoint) return endpoint.error();
    try {
        server.listen(endpoint.value());
    } catch (const std::exception& failure) {
        return Error{ErrorKind::unavailable, location,
                     fmt::format("can't listen on {}: {}", address, failure.what()),
                     "end what uses the address"};
    }
    listening_.insert(&server);
    return boost::outcome_v2::success();
}

void HttpListeners::startDraining() {
    for (net::HttpServer* server : servers()) {
        server->stopAccepting();
        server->closing(true);
    }
}

bool HttpListeners::closeIdleConnections() {
    bool noneOpen = true;
    for (net::HttpServer* server : servers()) {
        server->closeIdle(-1);
        noneOpen = noneOpen && server->connections() == 0;
    }
    return noneOpen;
}

void HttpListeners::closeAll() {
    for (net::HttpServer* server : servers()) server->closeAll();
}

}  // namespace beechpoint::control
