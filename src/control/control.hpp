/// The control role: one member of the replica chain that stores the configuration.
///
/// Wires one member's components together on one event loop and runs its start and graceful shutdown. It contains no decision logic;
/// the components are:
///   replica and its store           ReplicaDriver      replica_driver.hpp
///   operators' calls                OperatorApi        operator_api.hpp (decided by OperatorCalls)
///   gateways' polls, leases, hosts  GatewayService     gateway_service.hpp
///   GET /resolve                    DirectoryService   directory_service.hpp
///   HTTP servers                    HttpListeners      http_listeners.hpp
///   requests over rpc               MemberRequests     member_requests.hpp
///   settings of the parts           control_settings.hpp
///   GET /status, GET /metrics       status.hpp
///
/// All functions must be called from the thread that runs the event loop `io`; callbacks run on it. The store writes on its own
/// thread (storage::StoreThread), which is not visible to other components.
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

/// Owns all components of one member. Life cycle: constructed -> start() succeeds: serving -> stop(): draining -> `done`: stopped.
/// Destruction stops it at any time, as a crash would: pending calls get no answer and no callback runs.
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

    /// Listens and opens the store; opening the store is retried automatically after disk errors. May be called again after an error.
    /// Errors: unavailable (an address can't be listened on; retry), invalid (the settings do not fit the role).
    [[nodiscard]] Result<void> start();
    /// Applies reloaded settings: only seeds, timing bounds and fault tolerance may change at run time.
    void reload(settings::ProcessSettings settings);
    /// Graceful shutdown: finishes pending calls and leaves the view, within about half of the grace period, then calls `done`.
    /// A second call does nothing.
    void stop(std::function<void()> done);

    /// Null until the store is open.
    [[nodiscard]] const replica::Replica* replica() const;
    /// Whether this member holds the singleton role that reads the platform's host list.
    [[nodiscard]] bool readsHostList() const;
    /// Number of gateway polls that wait for an update.
    [[nodiscard]] std::size_t pendingLongPolls() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Serves until SIGTERM or SIGINT; SIGHUP or a change of the file reloads the settings. Blocks the calling thread, which runs the event
/// loop. Returns the exit status: 0 after a graceful shutdown, 1 if it could not listen, 2 if the settings are invalid.
[[nodiscard]] int run(const std::string& settingsPath, Clock& clock, Logger& logger);

}  // namespace beechpoint::control
