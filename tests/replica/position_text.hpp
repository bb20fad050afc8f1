// Format of a position in failures and traces: EPOCH.SEQUENCE.
#pragma once

#include <fmt/format.h>

#include <string>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {

inline std::string text(Position position) { return fmt::format("{}.{}", position.epoch, position.sequence); }

}  // namespace beechpoint::replica
