// Checks JSON against the scenarios' schema. In a file of its own: the library's headers are costly to
// compile.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace beechpoint::emulator {

// Throws BadScenario with the JSON pointer of the place that is wrong.
void checkAgainstSchema(const nlohmann::json& json);

}  // namespace beechpoint::emulator
