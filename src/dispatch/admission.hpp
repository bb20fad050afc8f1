// Whether a request is taken at its arrival. What would come too late is refused at once, the less urgent first, so
// that its client can come back; nothing is refused while places are free.
#pragma once

#include "core/clock.hpp"

namespace beechpoint::dispatch {

// What is expected for a request at the best host that it may go to.
struct Outlook {
    Millis wait = 0;        // until it begins to be worked on: without the reading of its own prompt, so that
                            // large prompts are refused no more often than small ones
    double takenShare = 0;  // of the places of all hosts that it may go to, over all gateways; 1: they say so
    Millis latencyTarget = 0;
    Millis deadline = 0;  // left
    int priorityClass = 0;
};

struct Verdict {
    bool refused = false;
    Millis retryAfter = 0;
};

Verdict admit(const Outlook& outlook);

// When a refused client is to come back: soon, and within the third of its time that it honours.
Millis retryAfter(Millis excess, Millis deadlineLeft);

// For how long a request may wait for a host before it is given up.
Millis patience(Millis latencyTarget, Millis deadlineLeft);

}  // namespace beechpoint::dispatch
