// The program's one clock: milliseconds as a floating-point number, never going back. Tests set it.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace beechpoint {

using Millis = double;

class Clock {
public:
    Clock() : began_(std::chrono::steady_clock::now()), unixAtStart_(unixNow()) {}

    Millis now() const {
        if (fixed_) return *fixed_;
        const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - began_;
        return kOrigin + passed.count();
    }
    // Unix time to this clock. The origin lies far enough back that a host started before this program still
    // has a positive time: the module takes 0 and less for "long ago", which would call a cold host warm.
    Millis fromUnix(Millis unixMs) const { return unixMs - unixAtStart_ + kOrigin; }

    Millis toUnix(Millis time) const { return time - kOrigin + unixAtStart_; }

    void set(Millis now) { fixed_ = now; }
    void setUnixAtStart(Millis unixMs) { unixAtStart_ = unixMs; }

    static constexpr Millis kOrigin = 1e9;  // 11 days: longer than any host is cold

private:
    static Millis unixNow() {
        return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    std::chrono::steady_clock::time_point began_;
    Millis unixAtStart_;
    std::optional<Millis> fixed_;
};

// For timers: never negative, and rounded up, so that a timer is not early.
inline std::chrono::microseconds toMicroseconds(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(std::max(ms, 0.0) * 1000) + 1);
}

// The module counts in nanoseconds; only its boundary does.
inline std::int64_t toNanos(Millis ms) { return std::llround(ms * 1e6); }
inline Millis fromNanos(std::int64_t ns) { return static_cast<double>(ns) * 1e-6; }

}  // namespace beechpoint
