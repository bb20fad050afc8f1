// Start-up settings: the platform's JSON to the decision module's settings. Unknown keys are skipped. Shared by the
// gatherer's configuration, the simulator's adapter and the emulator; it knows none of them.
#pragma once

#include <stdexcept>
#include <string>

#include "coordinator/coordinator.hpp"

namespace beechpoint::coordinator {

// The settings can't be read. what() names the key and what was expected.
struct BadSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws BadSettings where a key is missing or of the wrong type.
Settings readSettings(const std::string& json);

// What a program with connections of its own must keep to; the module has no need of it.
struct ConnectionSettings {
    Nanos idle = 0;       // idle connections are closed after this; 0: never
    int callsAtOnce = 1;  // on one connection
    int partsInCall = 1;
};
// Throws BadSettings, as readSettings() does.
ConnectionSettings readConnectionSettings(const std::string& json);

}  // namespace beechpoint::coordinator
