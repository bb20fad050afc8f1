/// This gateway's part of what a host that is warming up may get from all gateways together (slow start).
///
/// The rule, for every second: requests that were sent and arrived within it, over all gateways, are at most
/// B = warmup_per_s x overshoot + slack. Each gateway sends at most k = floor(B / ceil(1.5 N)) in any kSpan, which is
/// longer than a second by what a write may come later than the decision. The N' gateways that there really are send
/// N' x k <= B as long as N' <= 1.5 N, that is, with N too small by a third. Where k is 0 (more gateways than requests), only
/// gateways with a rank below B / 3 send, one in each span: ranks are unique within one list of gateways, so three lists
/// that differ may be in use at once. Without N nothing is sent. A process counts only what it sent itself, so it
/// sends nothing to hosts that are warming up in its first span: what an earlier process of this gateway sent is over by then.
#pragma once

#include <deque>

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// What each host of a service that is warming up may get from this gateway.
class SlowStartShare {
public:
    static constexpr Millis kSpan = 1300;

    SlowStartShare() = default;
    /// `bound`: B above. `known`: whether the number of gateways is. `rank`: this gateway's in their list, or -1.
    SlowStartShare(double bound, int gateways, bool known, int rank);
    /// k above: sends in any kSpan.
    [[nodiscard]] int perSpan() const { return perSpan_; }

private:
    int perSpan_ = 0;
};

/// Sends to one host. Counted also while it is warm, since it may have to warm up any moment.
class SlowStartLog {
public:
    /// An attempt is sent to the host.
    void sent(Millis now);
    /// Whether the share allows one more now.
    [[nodiscard]] bool allows(Millis now, const SlowStartShare& share);
    /// When the next send may go, if none goes before; `now` if at once.
    [[nodiscard]] Millis freeAt(Millis now, const SlowStartShare& share);

private:
    void drop(Millis now);

    static constexpr std::size_t kMaxSends = 256;  // no share is larger, so older sends do not matter
    std::deque<Millis> sends_;
};

}  // namespace beechpoint::dispatch
