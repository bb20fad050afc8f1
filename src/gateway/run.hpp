// The gateway role as a process: reads its settings, serves until SIGTERM, reads the settings again on SIGHUP.
#pragma once

#include <string>

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "gateway/gateway.hpp"

namespace beechpoint::gateway {

// The exit status: 0 after an orderly end.
int run(const std::string& settingsPath, const Policy& policy, Clock& clock, Logger& log);

}  // namespace beechpoint::gateway
