// The rooms' messages as the bodies of datagrams.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "duties/messages.hpp"
#include "ledger/messages.hpp"
#include "host_prober/host_prober.hpp"
#include "peers/membership.hpp"

namespace beechpoint::group {

std::string write(const ledger::Body& body);
std::string write(const duties::Body& body);
std::string write(const peers::Body& body);
std::string write(const host_prober::Body& body);
std::optional<ledger::Body> readLedger(std::string_view bytes);
std::optional<duties::Body> readDuties(std::string_view bytes);
std::optional<peers::Body> readMembership(std::string_view bytes);
std::optional<host_prober::Body> readHostProber(std::string_view bytes);

}  // namespace beechpoint::group
