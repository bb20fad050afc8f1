// What is known of one class at one host: means that forget, and the outcomes that T(x) pairs.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <set>

namespace beechpoint::coordinator::policy {

using Nanos = std::int64_t;

constexpr double kWindowS = 10;  // failures and budgets are counted over this, seconds, as the design has it
constexpr double kFailMemoryS = kWindowS / 2;  // f's outcomes are as old on average as in such a window
constexpr double kTimeMemoryS = 3;  // t's window, seconds: queues build within this; older times mislead
constexpr std::size_t kPairs = 16;  // outcomes kept for T(x): a few seconds' worth
constexpr double kLongest = 1e6;    // seconds, some 12 days: beyond any wait or time-out

inline double seconds(Nanos n) { return static_cast<double>(n) * 1e-9; }
// Bounded: an estimate without bound (or none at all) is a long time, not whatever the cast makes of it.
inline Nanos nanos(double s) {
    return static_cast<Nanos>((s < kLongest ? std::max(s, -kLongest) : kLongest) * 1e9);
}

// A mean that forgets: weights fall by e in every memoryS.
struct Mean {
    double memoryS = kTimeMemoryS;
    double weight = 0, sum = 0;
    Nanos at = 0;
    double kept(Nanos now) const { return std::exp(-seconds(now - at) / memoryS); }
    double count(Nanos now) const { return weight * kept(now); }
    void add(Nanos now, double value) {
        const double keep = kept(now);
        weight = weight * keep + 1, sum = sum * keep + value, at = now;
    }
    double value(Nanos now, double prior, double priorWeight = 1) const {
        return (sum * kept(now) + priorWeight * prior) / (count(now) + priorWeight);
    }
};

struct Record {
    Mean t;
    Mean f{kFailMemoryS};
    std::deque<double> recent;  // seconds, newest last
    std::multiset<Nanos> out;   // when the attempts still out were sent
    Nanos lastServed = 0;
    // Seconds for which nothing has come although something is out.
    double silence(Nanos now) const {
        return out.empty() ? 0 : seconds(now - std::max(*out.begin(), lastServed));
    }
    void keepTime(double tookS) {
        recent.push_back(tookS);
        if (recent.size() > kPairs) recent.pop_front();
    }
};

}  // namespace beechpoint::coordinator::policy
