// The failure tree of the retry design: where a request goes after an attempt failed.
#pragma once

#include <vector>

#include "coordinator/score.hpp"

namespace beechpoint::coordinator::policy {

constexpr double kDegrade = 5;       // b, score units: retry the first where the second is worse by so much
constexpr double kErroneous = 0.05;  // c, failure share: copies fail over alone from here on

// Whether a failure is acted upon while others are out: with v above one only where copies are alone.
inline bool failsOver(int out, int width, bool copiesAlone) { return out == 0 || (width > 1 && copiesAlone); }
// The next host. w is the passing part of all, not empty; tried(server) tells where the request has been.
inline int nextTarget(const std::vector<Scored>& all, const std::vector<Scored>& w, int failed, auto tried) {
    const int first = w.front().server;
    if (w.size() == 1 || (w.size() < all.size() && w[1].s - w[0].s >= kDegrade)) return first;
    for (const Scored& r : w)
        if (!tried(r.server)) return r.server;
    return first == failed ? w[1].server : first;
}

}  // namespace beechpoint::coordinator::policy
