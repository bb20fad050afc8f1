// The control role: one member of the chain that holds the configuration. It owns the replica with its store, the operator's API, the
// directory and what gateways poll, and wires them on one loop; it decides nothing itself.
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

class Control {
public:
    struct Options {
        std::uint64_t seed = 0;  // must differ at each start
        host_discovery::ListReader::Settings hostReading;
    };

    // `io`, `clock` and `logger` must outlive it.
    Control(asio::io_context& io, const Clock& clock, Logger& logger, settings::ProcessSettings settings,
            Options options);
    ~Control();
    Control(const Control&) = delete;
    Control& operator=(const Control&) = delete;

    // Listens and opens the store; the store is tried again while the disk refuses. Error (unavailable): an address
    // can't be listened on, to be tried again; (invalid): the settings do not fit the role.
    Result<void> start();
    // The settings were read anew: what may change in service is taken over.
    void reload(settings::ProcessSettings settings);
    // Ends: calls in hand are finished for at most about half of the grace time, then `done` is called.
    void stop(std::function<void()> done);

    const replica::Replica* replica() const;  // null until the store is open
    bool readsHosts() const;                  // holds the duty of reading the platform's list
    std::size_t pendingLongPolls() const;     // gateways' polls that wait for news

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

// Serves until SIGTERM. The exit status: 0 after an orderly end, 1 where it could not listen, 2 where the settings are not sound.
int run(const std::string& settingsPath, Clock& clock, Logger& logger);

}  // namespace beechpoint::control
