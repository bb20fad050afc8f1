// All processes restart at once: N gateways' links and the gateway services of a few control members, the same code as in the program, over
// a virtual network. A member sends on a link of bounded bandwidth, first in first out, and spends processor time on each message; what a
// gateway no longer waits for is sent all the same. Counts messages and bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/clock.hpp"

namespace beechpoint::recovery {

struct ModelSettings {
    std::size_t gateways = 30;
    std::size_t members = 5;
    std::size_t regions = 2;
    std::size_t zones = 6;
    std::size_t routes = 300;
    std::size_t hosts = 3000;
    double bytesPerMs = 3750;     // of a member's link: 30 Mbit/s
    Millis costPerMessage = 0.3;  // of a member
    Millis oneWay = 5;
    Millis startSpread = 300;      // gateways start within it
    Millis freshAfter = 1000;      // the members' tables are fresh from then on
    Millis listAfter = 200;        // from the start of a reading of the platform's list to its end
    Millis unresponsiveUntil = 0;  // member 0 receives requests and answers none until then
    Millis length = 15'000;
};

struct ModelResult {
    std::size_t served = 0;                              // gateways that have table and host list
    Millis lastServedAt = 0;                             // since the members' start
    std::uint64_t answers = 0, answerBytes = 0;          // to gateways, until the last one was served
    std::uint64_t peerUpdates = 0, peerUpdateBytes = 0;  // between members, until then
    std::uint64_t timeouts = 0;                          // polls without an answer in time
    std::uint64_t largestAnswer = 0;
    std::uint64_t quietAnswerBytes = 0, quietPeerUpdateBytes = 0;  // in the last 5 s
};

ModelResult run(const ModelSettings& settings);

}  // namespace beechpoint::recovery
