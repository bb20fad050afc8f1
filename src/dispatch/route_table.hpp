// What is known of each route's requests over all hosts. Bounded: the one unused the longest gives way.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/clock.hpp"
#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

class RouteTable {
public:
    RouteRecord& use(const std::string& name, Millis now);
    // Forgets those that were not used since `oldest`.
    void prune(Millis oldest);

private:
    static constexpr std::size_t kMaxRoutes = 4096;

    void evictOne();

    std::unordered_map<std::string, RouteRecord> routes_;
    RouteId last_ = 0;
};

}  // namespace beechpoint::dispatch
