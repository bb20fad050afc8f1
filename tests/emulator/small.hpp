// A small scenario for tests, to be changed as each test needs.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "emulator/scenario.hpp"

namespace beechpoint::emulator::test {

// Three sites with two hosts each and a gatherer a site; hosts are warm, steady and without pauses of their
// own.
inline nlohmann::json smallJson() {
    return nlohmann::json::parse(R"({
      "name": "small", "lengthS": 20,
      "sites": [{"name": "north", "hosts": 2, "gatherers": 1}, {"name": "middle", "hosts": 2, "gatherers": 1},
                {"name": "south", "hosts": 2, "gatherers": 1}],
      "host": {"cores": 2, "slots": 4, "waitingRoom": 8, "crowdingLoss": 0, "connectionTax": 0, "handshakeWorkMs": 0,
               "speed": [1, 1], "pauseEveryMs": [1000, 1000], "pauseMs": [0, 0], "reportNoise": 0, "coldS": 10,
               "coldFrom": 0.3},
      "discovery": {"lagMs": [300, 300]},
      "classes": [{"name": "lookup", "share": 0.8, "aimMs": 1200, "giveUpMs": 3000, "parts": [2, 3], "workMs": [20, 30]},
                  {"name": "report", "share": 0.2, "worth": 2, "aimMs": 2000, "giveUpMs": 5000, "parts": [4, 4],
                   "workMs": [30, 40]}],
      "load": [{"atS": 0, "perS": 20}], "script": []})");
}

inline Scenario small(const std::function<void(nlohmann::json&)>& change = {}) {
    nlohmann::json json = smallJson();
    if (change) change(json);
    return readScenario(json.dump());
}

}  // namespace beechpoint::emulator::test
