// What is known of one class at one host: its mean time t, its failure share f, and the outcomes that T(x) pairs.
#pragma once

#include <cstddef>
#include <deque>
#include <set>

#include "policy/mean.hpp"

namespace firkeel::policy {

constexpr double kFailMemoryS = kWindowS / 2;  // f's outcomes are as old on average as in such a window
constexpr std::size_t kPairs = 16;             // outcomes kept for T(x): a few seconds' worth

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

}  // namespace firkeel::policy
