// A request that the dispatcher holds, and its attempts.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/prefix_affinity.hpp"

namespace beechpoint::dispatch {

struct Attempt {
    int host = 0;  // in the host table, valid while out
    std::string instance;
    Millis sentAt = 0;
    double expectedS = 0;  // to the first event, as predicted at the sending
    int status = 0;        // of the head; 0: none yet
    bool out = true;
    bool cancelled = false;
    bool mayHaveRun = true;
    bool mayHaveArrived = true;
    bool firstByte = false;
    bool unusable = false;  // its head is no proper answer
};

struct Request {
    RequestArrived asked;
    std::string service;  // the one that was drawn
    SharedPrefix shared;
    double promptTokens = 0;
    double bytes = 0;  // both ways, as guessed at arrival
    Millis arrivedAt = 0, latencyTargetAt = 0, deadlineAt = 0;

    std::vector<Attempt> attempts;
    int width = 1;
    bool copiesAlone = false;
    bool waiting = false;  // for a host that may take it
    Millis giveUpAt = 0;   // while waiting
    bool open = false;     // the client has a head
    int relayed = -1;      // the attempt whose answer goes to the client
    std::string lastEventId;

    Attempt& attempt(int number) { return attempts[static_cast<std::size_t>(number)]; }
    const Attempt& attempt(int number) const { return attempts[static_cast<std::size_t>(number)]; }
    bool streaming() const { return asked.type == RequestType::streaming; }
    bool resumable() const { return streaming() && asked.resumable; }
    bool idempotent() const { return asked.type == RequestType::idempotent || resumable(); }
    int outCount() const {
        return static_cast<int>(
            std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; }));
    }
    // Hosts that it was sent to, as far as is known.
    int hostsUsed() const {
        return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                              [](const Attempt& a) { return a.mayHaveArrived; }));
    }
    bool mayHaveRun() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.mayHaveRun; });
    }
    bool triedAt(const std::string& instance) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.instance == instance; });
    }
    bool outAt(const std::string& instance) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.out && a.instance == instance; });
    }
};

}  // namespace beechpoint::dispatch
