#include "emulator/group_director.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace beechpoint::emulator {

namespace {
constexpr Millis kLook = 10;  // between looks at who acts, while somebody is waited for
constexpr Millis kForgotten = 30'000;
}  // namespace

GroupDirector::GroupDirector(GroupScenario scenario, std::uint64_t seed, GroupStage& stage)
    : scenario_(std::move(scenario)), random_(seed), stage_(stage) {
    for (const GroupFault& f : scenario_.script) at(f.at, [this, f](Millis now) { fault(now, f, false); });
    const Millis end = scenario_.length - scenario_.quiet;
    if (scenario_.faultEvery > 0) at(3000, [this](Millis now) { drawFault(now); });
    if (scenario_.operationsEvery > 0) at(3000, [this](Millis now) { operate(now); });
    at(end, [this](Millis now) { heal(now); });
}

Millis GroupDirector::next() const { return due_.empty() ? 1e300 : due_.top().at; }
void GroupDirector::advance(Millis now) {
    while (!due_.empty() && due_.top().at <= now) {
        const auto call = due_.top().call;
        due_.pop();
        call(now);
    }
    std::erase_if(watched_, [&](const Watch& w) {
        const int by = stage_.holds(w.singletonRole);
        if (now > w.since + kForgotten) return true;
        if (by < 0 || by == w.old) return false;
        (times_.*w.kind).push_back(now - w.since);
        return true;
    });
    if (!watched_.empty() && next() > now + kLook) at(now + kLook, [](Millis) {});
}

// Where nobody leads or holds anything at that moment, it is whoever is drawn.
int GroupDirector::pick(const std::string& whom) {
    const int any = static_cast<int>(unit() * scenario_.members),
              singletonRole = static_cast<int>(unit() * scenario_.singletonRoles);
    if (whom[0] == 'g') return std::stoi(whom.substr(1));
    int found = -1;
    if (whom == "leader") found = stage_.leads();
    for (int d = 0; whom == "holder" && found < 0 && d < scenario_.singletonRoles; ++d)
        found = stage_.holds((singletonRole + d) % scenario_.singletonRoles);
    return found >= 0 ? found : any;
}
bool GroupDirector::mayForget(int member) const {
    if (member >= scenario_.voters) return true;
    int whole = 0;
    for (int i = 0; i < scenario_.voters; ++i)
        whole += i != member && !ending_.contains(i) && stage_.runs(i) && stage_.whole(i) ? 1 : 0;
    return whole > scenario_.voters / 2;
}
void GroupDirector::meets(Millis now, const std::string& what, int member) {
    ++times_.faults[what];
    if (trace) trace(now, fmt::format("{}: g{}", what, member));
    if (member < 0) return;
    if (const std::string role = stage_.roleOf(member); !role.empty()) ++times_.met[what + " at a " + role];
    for (int d = 0; d < scenario_.singletonRoles; ++d)
        if (stage_.holds(d) == member) {
            ++times_.met[what + " at a holder"];
            break;
        }
}
void GroupDirector::watch(Millis now, int member, std::vector<Millis> GroupTimes::*kind) {
    for (int d = 0; d < scenario_.singletonRoles; ++d)
        if (stage_.holds(d) == member) watched_.push_back({d, member, now, kind});
}
void GroupDirector::cutOff(int member, bool hears, bool heard, bool on) {
    for (int i = 0; i < scenario_.members; ++i) {
        if (i == member) continue;
        if (!hears) stage_.cutPair(i, member, on);
        if (!heard) stage_.cutPair(member, i, on);
    }
}

void GroupDirector::fault(Millis now, const GroupFault& f, bool drawn) {
    if (healed_) return;
    const int m = pick(f.whom);
    const auto lasts = [&](Millis least, Millis most) {
        return now + (f.lasts >= 0 ? f.lasts : between(least, most));
    };
    const bool forgets = f.what == "wiped" || !scenario_.folder;
    if (f.what == "kill" || f.what == "wiped") {
        if (!stage_.runs(m) || (drawn && forgets && !mayForget(m))) return;
        meets(now, f.what, m);
        watch(now, m, &GroupTimes::afterKill);
        stage_.kill(m);
        if (f.what == "wiped") stage_.wipe(m);
        at(lasts(100, 5000), [this, m](Millis) { stage_.start(m); });
    } else if (f.what == "end") {
        if (!stage_.runs(m) || (drawn && forgets && !mayForget(m))) return;
        meets(now, f.what, m);
        watch(now, m, &GroupTimes::afterEnd);
        stage_.end(m);
        ending_.insert(m);
        at(now + 700, [this, m](Millis) {
            stage_.kill(m);  // where it still lives
            ending_.erase(ending_.find(m));
        });
        at(std::max(lasts(800, 3000), now + 750), [this, m](Millis) { stage_.start(m); });
    } else if (f.what == "upgrade" || f.what == "failedUpgrade") {
        if (!stage_.runs(m) || (drawn && forgets && !mayForget(m))) return;
        meets(now, f.what, m);
        watch(now, m, &GroupTimes::afterUpgrade);
        stage_.upgrade(m);
        ending_.insert(m);
        at(now + 2000, [this, m, fails = f.what == "failedUpgrade"](Millis) {
            fails ? stage_.endNewest(m) : stage_.end(m);
            ending_.erase(ending_.find(m));
        });
    } else if (f.what == "stop") {
        if (!stage_.runs(m)) return;
        meets(now, f.what, m);
        stage_.stop(m);
        at(drawn && unit() < 0.2 ? now + between(4000, 10'000) : lasts(50, 3000),
           [this, m](Millis) { stage_.proceed(m); });
    } else if (f.what == "cut" || f.what == "deaf" || f.what == "mute") {
        meets(now, f.what, m);
        const bool hears = f.what == "mute", heard = f.what == "deaf";
        cutOff(m, hears, heard, true);
        at(lasts(300, 6000), [this, m, hears, heard](Millis) { cutOff(m, hears, heard, false); });
    } else if (f.what == "split") {
        meets(now, f.what, m);
        const std::uint64_t side = random_();
        const auto cut = [this, side](bool on) {
            for (int a = 0; a < scenario_.members; ++a)
                for (int b = 0; b < scenario_.members; ++b)
                    if ((side >> a & 1) != (side >> b & 1)) stage_.cutPair(a, b, on);
        };
        cut(true);
        at(lasts(500, 5000), [cut](Millis) { cut(false); });
    } else if (f.what == "loss") {
        meets(now, f.what, -1);
        stage_.lose(f.amount > 0 ? f.amount : between(0.05, 0.4));
        at(lasts(1000, 4000), [this](Millis) { stage_.lose(scenario_.loss); });
    } else if (f.what == "delay") {
        meets(now, f.what, -1);
        stage_.delay(f.amount > 0 ? f.amount : between(50, 600));
        at(lasts(500, 3000), [this](Millis) { stage_.delay(0); });
    } else {
        meets(now, f.what, -1);
        stage_.replayOld();
    }
}
void GroupDirector::drawFault(Millis now) {
    if (healed_) return;
    double sum = 0;
    for (const auto& [what, weight] : scenario_.weights) sum += weight;
    double at_ = unit() * sum;
    GroupFault f;
    for (const auto& [what, weight] : scenario_.weights) {
        f.what = what;
        if ((at_ -= weight) < 0) break;
    }
    const double who = unit();  // half of them where it hurts
    f.whom = who < 0.25 ? "leader" : who < 0.5 ? "holder" : "any";
    fault(now, f, true);
    at(now - scenario_.faultEvery * std::log(1 - unit()), [this](Millis t) { drawFault(t); });
}
void GroupDirector::operate(Millis now) {
    if (healed_) return;
    const int singletonRole = static_cast<int>(unit() * scenario_.singletonRoles),
              by = stage_.holds(singletonRole);
    const int other = static_cast<int>(unit() * scenario_.members);
    if (by >= 0 && unit() < 0.6)
        stage_.giveDuty(by, singletonRole, unit() < 0.5 && other != by ? other : -1);
    else if (stage_.runs(other))
        stage_.takeDuty(other, singletonRole);
    at(now + scenario_.operationsEvery * (0.5 + unit()), [this](Millis t) { operate(t); });
}
// All that still lasts ends now; what is due later finds nothing to do.
void GroupDirector::heal(Millis now) {
    healed_ = true;
    if (trace) trace(now, "all faults end");
    for (int a = 0; a < scenario_.members; ++a)
        for (int b = 0; b < scenario_.members; ++b)
            if (a != b) stage_.cutPair(a, b, false);
    stage_.lose(scenario_.loss);
    stage_.delay(0);
    for (int i = 0; i < scenario_.members; ++i) {
        stage_.proceed(i);
        stage_.start(i);
    }
}

}  // namespace beechpoint::emulator
