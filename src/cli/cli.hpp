/// The sub-commands of the gatherer, a file each. Each returns the program's exit status.
#pragma once

#include <string>
#include <vector>

#include "config.hpp"

namespace beechpoint::cli {

inline constexpr int kUsage = 2;  ///< exit status: the command line is wrong

/// Blocks until SIGTERM. `path`: the configuration's file, read again on SIGHUP.
[[nodiscard]] int serve(const Config& config, const std::string& path, Clock& clock, Logger& log);
// `words`: show, found NUMBER, take DUTY, give DUTY [MEMBER]. `endpoint`: the operators' endpoint of a running gatherer, ADDRESS:PORT.
int group(const std::vector<std::string>& words, const std::string& endpoint);

}  // namespace beechpoint::cli
