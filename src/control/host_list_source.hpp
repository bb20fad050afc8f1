/// Reads the platform's host list while it is started. HostListReaderRole, which decides when to read, knows no more of the reading; in the program
/// it is a host_discovery::Poller (polled_host_list.hpp), in tests a fake. What is read is handed to HostListDistributor::offer() by its owner.
#pragma once

#include <cstdint>
#include <memory>

#include "host_discovery/host_list.hpp"

namespace beechpoint::control {

class HostListSource {
public:
    virtual ~HostListSource() = default;

    /// Begins to read. Changes nothing where it runs under the same fencing token already.
    /// @param fencingToken epoch of the view; the versions of the lists bear it
    /// @param lastNumber the highest version number known under that token; numbers go on from there
    /// @param held the newest list known, which a reading is compared with; null: none
    virtual void start(std::uint64_t fencingToken, std::uint64_t lastNumber,
                       std::shared_ptr<const host_discovery::HostList> held) = 0;
    virtual void stop() = 0;
    [[nodiscard]] virtual bool running() const = 0;
    /// Failed readings since the last complete one.
    [[nodiscard]] virtual int failures() const = 0;
    /// Another reader under the same fencing token has reached this version number.
    virtual void raiseNumber(std::uint64_t number) = 0;
};

}  // namespace beechpoint::control
