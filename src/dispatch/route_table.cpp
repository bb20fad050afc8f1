#include "dispatch/route_table.hpp"

namespace beechpoint::dispatch {

RouteRecord& RouteTable::use(const std::string& name, Millis now) {
    if (routes_.size() >= kMaxRoutes && !routes_.contains(name)) evictOne();
    RouteRecord& record = routes_[name];
    if (record.id == 0) record.id = ++last_;
    record.usedAt = now;
    return record;
}

void RouteTable::evictOne() {
    auto oldest = routes_.begin();
    for (auto entry = routes_.begin(); entry != routes_.end(); ++entry)
        if (entry->second.usedAt < oldest->second.usedAt) oldest = entry;
    routes_.erase(oldest);
}

void RouteTable::prune(Millis oldest) {
    std::erase_if(routes_, [&](const auto& entry) { return entry.second.usedAt < oldest; });
}

}  // namespace beechpoint::dispatch
