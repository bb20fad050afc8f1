// Faults drawn by the seed.
#include <fmt/format.h>

#include <algorithm>

#include "emulator/group_world.hpp"
#include "emulator/group_world_member.hpp"

namespace beechpoint::emulator {

// As many voters as a majority needs must have their memory: more at once is beyond what is promised.
bool GroupWorld::mayForget(int member) const {
    if (plan_.lasting) return true;
    const int lead = leader();
    if (lead < 0) return false;
    const auto& voters = core(lead).raft().voters();
    std::size_t whole = 0;
    for (const std::string& v : voters) {
        const int i = std::stoi(v.substr(1));
        if (i == member || !alive(i)) continue;
        whole += core(i).raft().role() >= raft::Role::follower ? 1 : 0;
    }
    return whole > voters.size() / 2;
}

void GroupWorld::meets(int member, const std::string& kind) {
    ++report_.faults[kind];
    if (trace) trace(fmt::format("{:9.1f} g{} fault: {}", now_, member, kind));
    if (!alive(member)) return;
    const auto& l = core(member).raft();
    ++report_.met[kind + " at a " + nameOf(l.role())];
    if (!core(member).leaseClient().heldLeases().empty()) ++report_.met[kind + " at a holder"];
    if (core(member).leaseClient().pending() > 0) ++report_.met[kind + " during a request"];
}

void GroupWorld::wipe(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    m.files = FaultyFiles(random_());
    m.first.clear();
}

void GroupWorld::killAndRestart(int member) {
    if (alive(member) && mayForget(member)) {
        meets(member, "kill");
        FaultyFiles& files = members_[static_cast<std::size_t>(member)]->files;
        kill(member);
        if (plan_.lasting && unit() < 0.5) {
            ++report_.faults["machine crash"];
            files.crash();
        }
        at(now_ + between(100, 5000), [this, member] { restart(member); });
    }
}

void GroupWorld::standStill(int member) {
    if (alive(member)) {
        meets(member, "stop");
        stop(member);
        at(now_ + (unit() < 0.2 ? between(4000, 10'000) : between(50, 3000)),
           [this, member] { proceed(member); });
    }
}

void GroupWorld::cutOffForAWhile(int member) {
    const int how = static_cast<int>(unit() * 3);
    const char* const kinds[] = {"cut both ways", "cut: hears nothing", "cut: is not heard"};
    meets(member, kinds[how]);
    cutOff(member, how == 2, how == 1);
    at(now_ + between(300, 6000), [this, member] {
        for (int i = 0; i < plan_.members; ++i) cut(i, member, false), cut(member, i, false);
    });
}

void GroupWorld::cutInTwo(int member) {
    meets(member, "cut in two");
    std::vector<std::pair<int, int>> made;
    const std::uint64_t side = random_();
    for (int a = 0; a < plan_.members; ++a)
        for (int b = 0; b < plan_.members; ++b)
            if ((side >> a & 1) != (side >> b & 1) && cuts_.insert({a, b}).second) made.emplace_back(a, b);
    at(now_ + between(500, 5000), [this, made] {
        for (const auto& c : made) cuts_.erase(c);
    });
}

void GroupWorld::loseSome(int member) {
    meets(member, "loss");
    loss_ = between(0.05, 0.4);
    at(now_ + between(1000, 4000), [this] { loss_ = 0; });
}

void GroupWorld::delaySome(int member) {
    meets(member, "delay");
    spike_ = between(50, 600);
    at(now_ + between(500, 3000), [this] { spike_ = 0; });
}

void GroupWorld::failDisk(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    meets(member, "disk fails");
    if (unit() < 0.6)
        m.files.crashAt(m.files.calls() + 1 + static_cast<std::uint64_t>(unit() * 6));
    else
        m.files.failing(0.3);
}

void GroupWorld::endOrderly(int member) {
    if (alive(member) && !members_[static_cast<std::size_t>(member)]->stopped && mayForget(member)) {
        meets(member, "orderly end");
        leave(member);
        at(now_ + 250, [this, member] {
            if (!mayForget(member)) return;
            kill(member);
            at(now_ + between(100, 2000), [this, member] { restart(member); });
        });
    }
}

void GroupWorld::operate(int member) {
    const std::string singletonRole = singletonRoleName(static_cast<int>(unit() * plan_.singletonRoles));
    const int by = holder(singletonRole);
    if (by >= 0 && unit() < 0.6)
        giveUp(by, singletonRole, unit() < 0.5 ? name(member) : "");
    else if (alive(member))
        take(member, singletonRole);
}

void GroupWorld::changeOneVoter(int member) {
    const int lead = leader();
    std::vector<std::string> voters = core(lead).raft().voters();
    const auto it = std::find(voters.begin(), voters.end(), name(member));
    if (it != voters.end() && voters.size() > 3)
        voters.erase(it);
    else if (it == voters.end() && voters.size() < 5)
        voters.push_back(name(member));
    meets(member, "voters changed");
    step(lead, [&](cluster::Core& c, Millis t, cluster::Step& out) { c.changeVoters(t, voters, out); });
}

// One fault, of a kind and at a member that the seed draws.
void GroupWorld::fault() {
    const int member = static_cast<int>(unit() * plan_.members);
    const double which = unit();
    if (which < 0.18) {
        killAndRestart(member);
    } else if (which < 0.34) {
        standStill(member);
    } else if (which < 0.5) {
        cutOffForAWhile(member);
    } else if (which < 0.58) {
        cutInTwo(member);
    } else if (which < 0.66) {
        loseSome(member);
    } else if (which < 0.72) {
        delaySome(member);
    } else if (which < 0.745 && plan_.lasting) {
        failDisk(member);
    } else if (which < 0.77 && !old_.empty()) {
        meets(member, "old datagrams");
        replayOld();
    } else if (which < 0.84) {
        endOrderly(member);
    } else if (which < 0.95) {
        operate(member);
    } else if (plan_.changesVoters && leader() >= 0) {
        changeOneVoter(member);
    }
}

}  // namespace beechpoint::emulator
