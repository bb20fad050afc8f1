/// Slow start: this gateway's share of the requests that a host that is warming up may get from all gateways.
///
/// The rule: in every second, a host receives at most B = warmup_per_s x overshoot + slack requests from all
/// gateways together. Each gateway sends at most k = floor(B / ceil(1.5 N)) in any kSpan, where N is the
/// known number of gateways; kSpan exceeds a second by the maximum delay between a decision and the write.
/// The actual N' gateways send N' x k <= B as long as N' <= 1.5 N, that is, if N is too small by at most a
/// third. If k is 0 (more gateways than requests), only gateways with a rank below B / 3 send, one request
/// per span: ranks are unique within one list of gateways, so up to three different lists may be in use at
/// once. While N is unknown nothing is sent. A process counts only its own sends, so it sends nothing to
/// hosts that are warming up during its first span, until the sends of a previous process no longer count.
#pragma once

#include <deque>

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// Limit on this gateway's sends to each warming-up host of a service.
class SlowStartShare {
public:
    static constexpr Millis kSpan = 1300;

    SlowStartShare() = default;
    /// `bound`: B above. `known`: whether `gateways` is known. `rank`: this gateway's index in the list, or
    /// -1.
    SlowStartShare(double bound, int gateways, bool known, int rank);
    /// Allowed sends in any kSpan: k above.
    [[nodiscard]] int perSpan() const { return perSpan_; }

private:
    int perSpan_ = 0;
};

/// Recent sends to one host. Also recorded while the host is warm, since a warm-up may start at any time.
class SlowStartLog {
public:
    /// Records an attempt that is sent to the host.
    void recordSend(Millis now);
    /// Whether the share allows another send now.
    [[nodiscard]] bool allows(Millis now, const SlowStartShare& share);
    /// Earliest time of the next send; `now` if it is allowed at once.
    [[nodiscard]] Millis nextAllowedAt(Millis now, const SlowStartShare& share);

private:
    void dropExpired(Millis now);

    static constexpr std::size_t kMaxSends = 256;  // kMaxPerSpan: no share is larger
    std::deque<Millis> sends_;
};

}  // namespace beechpoint::dispatch
