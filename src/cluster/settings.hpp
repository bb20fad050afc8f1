// What an operator's file says of the group: its section "group" (deploy/group.json is one to start from).
#pragma once

#include <asio/ip/udp.hpp>
#include <map>
#include <string>
#include <vector>

namespace beechpoint::cluster {

struct Settings {
    std::string name = "gatherers";  // of the group
    asio::ip::udp::endpoint listen;
    std::map<std::string, asio::ip::udp::endpoint>
        members;                              // all, this one too; where each is reached from here
    std::vector<std::string> voters;          // 1 to 7, that a new group begins with
    bool holds = true;                        // this member holds duties
    std::vector<std::string> singletonRoles;  // that there are to be
    std::string proberDuty;  // the duty of the zone's host prober; empty: each looks at dead hosts itself
    std::string folder;      // that lasts over a restart; empty: this member comes back with nothing
};

}  // namespace beechpoint::cluster
