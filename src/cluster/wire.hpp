// The rooms' messages as the bodies of datagrams.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gossip/membership.hpp"
#include "health_check/host_prober.hpp"
#include "lease_sessions/messages.hpp"
#include "raft/messages.hpp"

namespace beechpoint::cluster {

std::string write(const raft::Body& body);
std::string write(const lease_sessions::Body& body);
std::string write(const gossip::Body& body);
std::string write(const health_check::Body& body);
std::optional<raft::Body> readRaft(std::string_view bytes);
std::optional<lease_sessions::Body> readLeaseSessions(std::string_view bytes);
std::optional<gossip::Body> readMembership(std::string_view bytes);
std::optional<health_check::Body> readHostProber(std::string_view bytes);

}  // namespace beechpoint::cluster
