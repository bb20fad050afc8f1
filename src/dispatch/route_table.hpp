/// Statistics of each route's requests over all hosts. Bounded: the least recently used record is evicted.
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
    /// The route's record, created if there is none. Marks it as used now.
    RouteRecord& use(const std::string& name, Millis now);
    /// Removes records that were not used since `oldest`.
    void prune(Millis oldest);

private:
    static constexpr std::size_t kMaxRoutes = 4096;

    void evictOne();

    std::unordered_map<std::string, RouteRecord> routes_;
    RouteId last_ = 0;
};

}  // namespace beechpoint::dispatch
