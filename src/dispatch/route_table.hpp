/// What is known of each route's requests over all hosts. Bounded: the least recently used one is evicted.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/clock.hpp"
#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

/// Owns the records; references are valid until the next use() or prune().
class RouteTable {
public:
    /// The route's record, made where there is none, and marked as used now.
    RouteRecord& use(const std::string& name, Millis now);
    /// Forgets those that were not used since `oldest`.
    void prune(Millis oldest);

private:
    static constexpr std::size_t kMaxRoutes = 4096;

    void evictOne();

    std::unordered_map<std::string, RouteRecord> routes_;
    RouteId last_ = 0;
};

}  // namespace beechpoint::dispatch
