/// The control role: one member of the chain that holds the configuration.
///
/// What it is: the wiring of one member's parts on one event loop, and its start and graceful shutdown. What it is not: it decides
/// nothing itself. Where each job is:
///   replica and its store           ReplicaDriver      replica_driver.hpp
///   operators' calls                OperatorApi        operator_api.hpp (decided by OperatorCalls)
///   gateways' polls, leases, hosts  GatewayService     gateway_service.hpp
///   GET /resolve                    DirectoryService   directory_service.hpp
///   HTTP servers                    HttpListeners      http_listeners.hpp
///   requests over rpc               MemberRequests     member_requests.hpp
///   settings of the parts           control_settings.hpp
///   GET /status, GET /metrics       status.hpp
///
/// All functions are to be called from the thread that runs the event loop `io`; callbacks come on it. The store writes on a thread of
/// its own (storage::StoreThread), which no other part sees.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/logger.hpp"
#include "core/result.hpp"
#include "host_discovery/list_reader.hpp"
#include "settings/process_settings.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

/// Owns all parts of one member. Life cycle: constructed -> start() succeeds: serving -> stop(): draining -> `done`: ended. Its
/// destruction ends it at any time, as a crash would: without answers to pending calls and without callbacks.
class Control {
public:
    struct Options {
        std::uint64_t seed = 0;  ///< must differ at each start
        host_discovery::ListReader::Settings hostReading;
    };

    /// `io`, `clock` and `logger` must outlive it.
    Control(asio::io_context& io, const Clock& clock, Logger& logger, settings::ProcessSettings settings,
            Options options);
    ~Control();
    Control(const Control&) = delete;
    Control& operator=(const Control&) = delete;

    /// Listens and opens the store; the store is tried again by itself while the disk refuses. May be called again after an error.
    /// Errors: unavailable (an address can't be listened on, to be tried again), invalid (the settings do not fit the role).
    [[nodiscard]] Result<void> start();
    /// The settings were read again: those that may change in service (seeds, timing bounds, tolerance) are taken over.
    void reload(settings::ProcessSettings settings);
    /// Graceful shutdown: pending calls are finished and the view is left, for at most about half of the grace time; then `done` is
    /// called. A second call does nothing.
    void stop(std::function<void()> done);

    /// Null until the store is open.
    [[nodiscard]] const replica::Replica* replica() const;
    /// Holds the lease of the singleton role that reads the platform's host list.
    [[nodiscard]] bool readsHostList() const;
    /// Gateways' polls that wait for an update.
    [[nodiscard]] std::size_t pendingLongPolls() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Serves until SIGTERM or SIGINT; SIGHUP and a change of the file reload the settings. Blocks the calling thread, which runs the event
/// loop. Returns the exit status: 0 after a graceful shutdown, 1 where it could not listen, 2 where the settings are invalid.
[[nodiscard]] int run(const std::string& settingsPath, Clock& clock, Logger& logger);

}  // namespace beechpoint::control
