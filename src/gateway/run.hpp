/// The gateway role as a process: reads its settings, serves until SIGTERM or SIGINT, reads the settings again on SIGHUP.
#pragma once

#include <string>

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "gateway/gateway.hpp"

namespace beechpoint::gateway {

/// Blocks until the end. The exit status: 0 after a graceful shutdown, 1 where the settings can't be read. Throws where it can't
/// listen.
[[nodiscard]] int run(const std::string& settingsPath, const Policy& policy, Clock& clock, Logger& log);

}  // namespace beechpoint::gateway
