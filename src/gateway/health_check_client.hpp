/// Health checks of hosts: a GET of the service's health path, as the dispatcher asks for it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "dispatch/messages.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

class HealthCheckClient {
public:
    /// Called once for each check, never from within check().
    using OnEnded = std::function<void(const dispatch::HealthCheckEnded&)>;

    /// `upstream` must outlive it.
    HealthCheckClient(upstream::Upstream& upstream, OnEnded onEnded);

    /// Healthy is the instance only if it answers 200 in time and names itself in X-Instance-Id: another instance may stand at
    /// its address by now. `hostHeader`: the address as the host list states it. `maxConnections`: to that host, those of
    /// requests included.
    void check(const std::string& instanceId, const upstream::HostAddress& host,
               const std::string& hostHeader, const std::string& path, std::size_t maxConnections);

private:
    upstream::Upstream& upstream_;
    OnEnded onEnded_;
};

}  // namespace beechpoint::gateway
