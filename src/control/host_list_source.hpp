// Reads the platform's host list while it is started, as host_discovery::Poller does. What decides when to read knows no more of it.
#pragma once

#include <cstdint>
#include <memory>

#include "host_discovery/host_list.hpp"

namespace beechpoint::control {

class HostListSource {
public:
    virtual ~HostListSource() = default;
    // Starting anew while it runs under the same fence changes nothing.
    virtual void start(std::uint64_t fencingToken, std::uint64_t lastNumber,
                       std::shared_ptr<const host_discovery::HostList> held) = 0;
    virtual void stop() = 0;
    virtual bool running() const = 0;
    virtual int failures() const = 0;  // since the last complete reading
    virtual void raiseNumber(std::uint64_t number) = 0;
};

}  // namespace beechpoint::control
