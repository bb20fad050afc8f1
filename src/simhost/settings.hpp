// Start-up settings: the wire's JSON to the module's settings. Unknown keys are skipped.
#pragma once

#include <string>

#include "firkeel/coordinator.hpp"

namespace firkeel::wire {

// Throws Malformed, naming the key, where one is missing or of the wrong type.
Settings readSettings(const std::string& json);

}  // namespace firkeel::wire
