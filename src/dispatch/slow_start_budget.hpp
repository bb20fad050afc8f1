// This gateway's part of what a cold host may get from all gateways together.
//
// The rule, for every second: requests that were sent and arrived within it, over all gateways, are at most
// B = warmup_per_s x overshoot + slack. Each gateway sends at most k = floor(B / ceil(1.5 N)) in any kSpan, which is
// longer than a second by what a write may come later than the decision. The N' gateways that there really are send
// N' x k <= B as long as N' <= 1.5 N, that is, with N too small by a third. Where k is 0 (more gateways than requests), only
// gateways with a rank below B / 3 send, one in each span: ranks are unique within one list of gateways, so three lists
// that differ may be in use at once. Without N nothing is sent. A process counts only what it sent itself, so it
// sends nothing to cold hosts in its first span: what an earlier process of this gateway sent is over by then.
#pragma once

#include <deque>

#include "core/clock.hpp"

namespace beechpoint::dispatch {

// What all cold hosts of a service may get from this gateway.
class SlowStartShare {
public:
    static constexpr Millis kSpan = 1300;

    SlowStartShare() = default;
    SlowStartShare(double bound, int gateways, bool known, int rank);
    int perSpan() const { return perSpan_; }

private:
    int perSpan_ = 0;
};

// Sends to one host. Counted also while it is warm, since it may turn out cold any moment.
class SlowStartLog {
public:
    void sent(Millis now);
    bool allows(Millis now, const SlowStartShare& share);
    // When the next send may go, if none goes before; `now` if at once.
    Millis freeAt(Millis now, const SlowStartShare& share);

private:
    void drop(Millis now);

    static constexpr std::size_t kMaxSends = 256;  // no share is larger; older ones don't matter
    std::deque<Millis> sends_;
};

}  // namespace beechpoint::dispatch
