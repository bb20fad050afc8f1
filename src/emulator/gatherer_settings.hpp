// What a scenario tells a gatherer, in the form that the platform's configuration has.
#pragma once

#include <string>

#include "emulator/directory.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

// The `settings` object as JSON, for gatherer number `me`.
std::string gathererSettings(const Scenario& scenario, int me);

}  // namespace beechpoint::emulator
