// What a run's records and the rules checker are told. Numbers as in clients.hpp and world.hpp.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "emulator/clients.hpp"
#include "emulator/directory.hpp"

namespace beechpoint::emulator {

struct RunEvent {
    enum class Kind {
        taken,  // a gatherer has the whole request
        final,  // its client has the whole answer
        left,   // its client has gone
        gathererUp,
        gathererDown,
        told,        // discovery wrote a host's state to a gatherer
        sent,        // an attempt was written to a host
        given,       // a host answered an attempt with a value
        turnedAway,  // a host sent an attempt away unseen: it never ran
        pushedOver,  // a cold host fell over
        unasked      // a part that no client asked for, or of a slice that its host does not hold
    };
    Kind kind = Kind::taken;
    Millis at = 0;
    int gatherer = -1;
    std::uint64_t tryNumber = 0;
    int host = -1;
    std::string hostName;
    int slice = -1;
    bool cold = false;                                   // sent: the host is not warm yet
    TryPtr request;                                      // taken
    TryEnd end = TryEnd::failed;                         // final
    bool whole = false;                                  // final
    std::vector<std::pair<int, std::string>> parts;      // final: slice and value
    std::string value;                                   // given
    ListedHost::State state = ListedHost::State::ready;  // told
};

}  // namespace beechpoint::emulator
