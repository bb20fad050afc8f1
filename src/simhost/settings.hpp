// Start-up settings: the wire's JSON to the module's settings. Unknown keys are skipped.
#pragma once

#include <string>

#include "firkeel/coordinator.hpp"

namespace firkeel::wire {

// Throws Malformed, naming the key, where one is missing or of the wrong type.
Settings readSettings(const std::string& json);

// What a program with connections of its own must keep to; the module has no need of it.
struct ConnectionSettings {
    Nanos idle = 0;       // idle connections are closed after this; 0: never
    int callsAtOnce = 1;  // on one connection
    int partsInCall = 1;
};
ConnectionSettings readConnectionSettings(const std::string& json);

}  // namespace firkeel::wire
