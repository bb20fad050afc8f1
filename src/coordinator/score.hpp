// Score, ranking and weighted draw of the retry design: s = t/t_user + f/f_user.
#pragma once

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace beechpoint::coordinator::policy {

constexpr double kDropAbove = 20;   // a, score units: a host scoring above leaves W
constexpr double kGainShare = 0.1;  // t_user as a share of the class's aim
constexpr double kOddsPower = 6;    // odds = (best s / s)^this: scale free, so that all slow alike stay even

struct Scored {
    int server = 0;
    double t = 0, f = 0, s = 0;
};

inline double scoreOf(double t, double f, double tUser, double fUser) { return t / tUser + f / fUser; }
inline std::vector<Scored> ranking(std::vector<Scored> list) {  // best first
    std::ranges::sort(list, {}, [](const Scored& r) { return std::tuple(r.s, r.server); });
    return list;
}
// W: those at or below a; if none passes, the best.
inline std::vector<Scored> passing(std::vector<Scored> list) {
    const auto end = std::find_if(list.begin(), list.end(), [](auto& r) { return r.s > kDropAbove; });
    list.erase(list.empty() ? end : std::max(end, list.begin() + 1), list.end());
    return list;
}
// One of w, which is not empty, with odds that fall as s rises; `uniform` in [0, 1).
inline int weightedDraw(const std::vector<Scored>& w, double uniform, double power = kOddsPower) {
    const auto odds = [&](const Scored& r) {
        return std::pow(std::max(w.front().s, 1e-9) / std::max(r.s, 1e-9), power);
    };
    double left = 0;
    for (const Scored& r : w) left += odds(r);
    left *= uniform;
    for (const Scored& r : w)
        if ((left -= odds(r)) < 0) return r.server;
    return w.front().server;
}

}  // namespace beechpoint::coordinator::policy
