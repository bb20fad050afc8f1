// Score, ranking and weighted draw of the retry design: s = t/t_user + f/f_user.
#pragma once

#include <tuple>
#include <vector>

#include "policy/mean.hpp"

namespace firkeel::policy {

constexpr double kDropAbove = 20;   // a, score units: a host scoring above leaves W
constexpr double kGainShare = 0.1;  // t_user as a share of the class's aim
constexpr double kOddsPower = 6;    // odds = (best s / s)^this: scale free, so that all slow alike stay even

struct Scored {
    int server = 0;
    double t = 0, f = 0, s = 0;
};

inline void sortByScore(std::vector<Scored>& list) {  // best first
    std::sort(list.begin(), list.end(),
              [](auto& a, auto& b) { return std::tie(a.s, a.server) < std::tie(b.s, b.server); });
}
// W: those at or below a; if none passes, the best.
inline std::vector<Scored> passing(std::vector<Scored> list) {
    const auto end = std::find_if(list.begin(), list.end(), [](auto& r) { return r.s > kDropAbove; });
    list.erase(list.empty() ? end : std::max(end, list.begin() + 1), list.end());
    return list;
}
// One of w, which is not empty, with odds that fall as s rises; `uniform` in [0, 1).
inline int weightedDraw(const std::vector<Scored>& w, double uniform) {
    const auto odds = [&](const Scored& r) {
        return std::pow(std::max(w.front().s, 1e-9) / std::max(r.s, 1e-9), kOddsPower);
    };
    double left = 0;
    for (const Scored& r : w) left += odds(r);
    left *= uniform;
    for (const Scored& r : w)
        if ((left -= odds(r)) < 0) return r.server;
    return w.front().server;
}

}  // namespace firkeel::policy
