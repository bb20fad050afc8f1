// The width test of the retry design: how many hosts get a request at once.
#pragma once

#include <cstddef>
#include <vector>

#include "coordinator/record.hpp"
#include "coordinator/score.hpp"

namespace beechpoint::coordinator::policy {

constexpr std::size_t kLeastPairs = 8;  // fewer say nothing about T(x)

// v: the largest x for which the x-th host at once still cuts the mean time T by t_user. recentOf(server) is
// the deque of its recent times; T(x) is the mean of the least of the top x, paired from the newest back.
int width(const std::vector<Scored>& w, double gainTarget, auto recentOf) {
    std::size_t pairs = kPairs;
    double before = 0;
    int v = 1;
    for (std::size_t x = 1; x <= w.size(); ++x) {
        pairs = std::min(pairs, recentOf(w[x - 1].server).size());
        if (pairs < kLeastPairs) break;
        double mean = 0;
        for (std::size_t i = 1; i <= pairs; ++i) {
            double least = 1e30;
            for (std::size_t j = 0; j < x; ++j)
                least = std::min(least, recentOf(w[j].server).rbegin()[i - 1]);
            mean += least / static_cast<double>(pairs);
        }
        if (x > 1 && before - mean >= gainTarget) v = static_cast<int>(x);
        before = mean;
    }
    return v;
}

}  // namespace beechpoint::coordinator::policy
