/// Interface of a reader of the platform's host list, started and stopped by HostListReaderRole. The program uses a host_discovery::Poller
/// (polled_host_list.hpp), tests a fake. Its owner passes the lists to HostListDistributor::offer().
#pragma once

#include <cstdint>
#include <memory>

#include "host_discovery/host_list.hpp"

namespace beechpoint::control {

class HostListSource {
public:
    virtual ~HostListSource() = default;

    /// Starts reading. No effect if it already runs under the same fencing token.
    /// @param fencingToken epoch of the view; part of the lists' versions
    /// @param lastNumber the highest version number known under that token; numbering continues from there
    /// @param held the newest known list, with which a new one is compared; null: none
    virtual void start(std::uint64_t fencingToken, std::uint64_t lastNumber,
                       std::shared_ptr<const host_discovery::HostList> held) = 0;
    virtual void stop() = 0;
    [[nodiscard]] virtual bool running() const = 0;
    /// Failed readings since the last complete one.
    [[nodiscard]] virtual int failures() const = 0;
    /// Raises the version number to one that another reader under the same fencing token has reached.
    virtual void raiseNumber(std::uint64_t number) = 0;
};

}  // namespace beechpoint::control
