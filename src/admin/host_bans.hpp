// Track hosts taken out by hand, laid over discovery's list on its way to the exchange: a host that is out is
// draining there, whatever discovery says of it, until it is put back. Free of I/O: where the bans are kept is
// ban_file's business. It owns the list as discovery last gave it and the set of hosts that are out.
#pragma once

#include <map>
#include <set>
#include <string>

#include "core/exchange.hpp"

namespace beechpoint::admin {

class HostBans {
public:
    using Hosts = std::set<std::string, std::less<>>;
    static constexpr std::size_t kMost = 4096;  // more hosts than a list has: a call beyond is turned down

    // What the exchange is told when discovery says `list`.
    HostList overlay(const HostList& list);
    // Takes over a new set; returns what changes by it, to be told to the exchange.
    HostList take(Hosts out);
    const Hosts& out() const { return out_; }
    // Whether a call may name this host: discovery lists it, or it is out.
    bool knows(const std::string& id) const { return listed_.contains(id) || out_.contains(id); }

private:
    HostEntry seen(HostEntry host) const;

    std::map<std::string, HostEntry> listed_;  // as discovery gave them
    Hosts out_;
};

}  // namespace beechpoint::admin
