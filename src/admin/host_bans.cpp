#include "admin/host_bans.hpp"

#include <algorithm>
#include <iterator>

namespace beechpoint::admin {

HostEntry HostBans::seen(HostEntry host) const {
    if (host.entry.state == coordinator::ServerState::up && out_.contains(host.entry.id))
        host.entry.state = coordinator::ServerState::draining;
    return host;
}

HostList HostBans::overlay(const HostList& list) {
    if (list.kind == coordinator::ListKind::failed) return list;
    if (list.kind != coordinator::ListKind::changes) listed_.clear();
    HostList told{list.kind, {}};
    for (const HostEntry& host : list.entries) {
        if (host.entry.state == coordinator::ServerState::removed)
            listed_.erase(host.entry.id);
        else
            listed_[host.entry.id] = host;
        told.entries.push_back(seen(host));
    }
    return told;
}

HostList HostBans::take(Hosts out) {
    Hosts changed;
    std::set_symmetric_difference(out.begin(), out.end(), out_.begin(), out_.end(),
                                  std::inserter(changed, changed.end()));
    out_ = std::move(out);
    HostList told{coordinator::ListKind::changes, {}};
    for (const std::string& id : changed)
        if (const auto host = listed_.find(id); host != listed_.end())
            told.entries.push_back(seen(host->second));
    return told;
}

}  // namespace beechpoint::admin
