// What is checked from outside at every step, and whether all has come to rest at the end.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "emulator/group_world.hpp"
#include "emulator/group_world_member.hpp"

namespace beechpoint::emulator {

void GroupWorld::violate(const std::string& kind, const std::string& text) {
    if (++report_.broken[kind] == 1)
        report_.violations.push_back(fmt::format("{:.0f} ms: {}: {}", now_, kind, text));
}

int GroupWorld::leader() const {
    int best = -1;
    for (int i = 0; i < plan_.members; ++i)
        if (alive(i) && core(i).raft().isReadyLeader() &&
            (best < 0 || core(i).raft().currentTerm() > core(best).raft().currentTerm()))
            best = i;
    return best;
}

int GroupWorld::holder(const std::string& singletonRole) const {
    for (int i = 0; i < plan_.members; ++i) {
        const Member& m = *members_[static_cast<std::size_t>(i)];
        if (m.core && !m.stopped && m.core->leaseClient().mayAct(m.local(now_), singletonRole)) return i;
    }
    return -1;
}

void GroupWorld::checkMember(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    const raft::RaftConsensus& l = m.core->raft();
    collect(member);
    if (l.isLeader()) {
        const auto [it, fresh] = leaders_.try_emplace({l.groupNumber(), l.currentTerm()}, member);
        if (fresh) ++report_.leaders;
        if (it->second != member)
            violate("two leaders",
                    fmt::format("g{} and g{} in term {}", it->second, member, l.currentTerm()));
        raft::Index most = 0;
        for (auto t = most_.lower_bound({l.groupNumber(), 0});
             t != most_.end() && t->first < std::pair{l.groupNumber(), l.currentTerm()}; ++t)
            most = std::max(most, t->second);
        if (fresh && l.lastLogIndex() < most)
            violate("settled entry lost",
                    fmt::format("g{} leads with {} entries of {}", member, l.lastLogIndex(), most));
    }
    for (raft::Index i = m.seen + 1; i <= l.commitIndex(); ++i) {
        const raft::Digest d = l.digestAt(i);
        if (d == 0) continue;
        const auto [it, fresh] = settled_.try_emplace({l.groupNumber(), i}, d);
        if (fresh) ++report_.commits;
        if (it->second != d) violate("settled entries differ", fmt::format("entry {} at g{}", i, member));
    }
    if (trace) {
        std::string may;
        for (const auto& [singletonRole, fencingToken] : m.core->leaseClient().heldLeases())
            may += fmt::format(" {}/{}", singletonRole, fencingToken & 0xffffffff);
        if (may != m.told)
            trace(fmt::format("{:9.1f} g{} holds{} session until {:.0f}", now_, member, may,
                              m.world(m.core->leaseClient().sessionUntil())));
        m.told = may;
    }
    m.seen = std::max(m.seen, l.commitIndex());
    if (l.isLeader()) {
        raft::Index& most = most_[{l.groupNumber(), l.currentTerm()}];
        most = std::max(most, l.commitIndex());
    }
    report_.terms = std::max<std::uint64_t>(report_.terms, l.currentTerm());
    if (m.core->traffic().tooLong > m.tooLong)
        violate("datagram too long", fmt::format("g{}", member)), m.tooLong = m.core->traffic().tooLong;
    if (l.groupNumber() == 0) return;
    // As the driver does (group/group.cpp): what there is to be and is not is asked for, and again if the asking came to nothing.
    if (!m.core->leaseClient().inSession(m.local(now_)) || m.local(now_) < m.wantAt) return;
    m.wantAt = m.local(now_) + cluster::kDefineRolesInterval;
    for (int d = 0; d < plan_.singletonRoles; ++d)
        if (m.core->table().singletonRole(singletonRoleName(d)) == nullptr)
            m.core->leaseClient().defineRole(singletonRoleName(d));
}

void GroupWorld::actOnLeases(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (!m.core || m.stopped) return;
    for (const auto& [singletonRole, fencingToken] : m.core->leaseClient().heldLeases()) {
        if (!m.core->leaseClient().mayAct(m.local(now_), singletonRole)) continue;
        for (int i = 0; i < plan_.members; ++i) {
            const Member& o = *members_[static_cast<std::size_t>(i)];
            if (i == member || !o.core || o.stopped) continue;
            if (o.core->leaseClient().mayAct(o.local(now_), singletonRole))
                violate("two holders", fmt::format("{}: g{} and g{}", singletonRole, member, i));
        }
        carryOutAct(member, singletonRole, fencingToken, false);
    }
}

void GroupWorld::carryOutAct(int member, const std::string& singletonRole, std::uint64_t fencingToken,
                             bool late) {
    Resource& r = resources_[singletonRole];
    if (fencingToken < r.fencingToken) {
        if (!late)
            violate("two holders", fmt::format("{}: g{} acts under {} after {}", singletonRole, member,
                                               fencingToken, r.fencingToken));
        ++report_.lateActs;
        if (plan_.fencesChecked) return;  // turned away
        violate("fence went back", fmt::format("{}: g{} under {} after {}", singletonRole, member,
                                               fencingToken, r.fencingToken));
    }
    ++report_.acts;
    if (fencingToken > r.fencingToken) {
        if (r.holder >= 0) {
            ++report_.handOvers;
            report_.gaps.push_back(now_ - r.last);
        }
    } else if (r.holder >= 0 && r.holder != member && fencingToken == r.fencingToken) {
        violate("one number, two holders",
                fmt::format("{}: g{} and g{} under {}", singletonRole, r.holder, member, fencingToken));
    }
    r.fencingToken = std::max(r.fencingToken, fencingToken);
    r.holder = member;
    r.last = now_;
}

void GroupWorld::checkRest() {
    const int lead = leader();
    const auto why = [&](std::string text) { report_.restless = std::move(text); };
    if (lead < 0) return why("nobody leads");
    const raft::Index settled = core(lead).raft().commitIndex();
    for (int i = 0; i < plan_.members; ++i) {
        const raft::RaftConsensus& l = core(i).raft();
        const bool voter = core(lead).raft().isVoter(name(i));
        if (voter && l.role() < raft::Role::follower)
            return why(fmt::format("g{} is {}", i, nameOf(l.role())));
        if (l.commitIndex() + (voter ? 8 : 64) < settled)
            return why(fmt::format("g{} has {} of {} entries", i, l.commitIndex(), settled));
    }
    for (int d = 0; d < plan_.singletonRoles; ++d)
        if (holder(singletonRoleName(d)) < 0) {
            const lease_sessions::SingletonRole* singletonRole =
                core(lead).table().singletonRole(singletonRoleName(d));
            return why(fmt::format("nobody acts on {}; the leader g{} has: {}", singletonRoleName(d), lead,
                                   singletonRole == nullptr        ? "no such duty"
                                   : singletonRole->holder.empty() ? "free"
                                                                   : "held by " + singletonRole->holder));
        }
    report_.rested = true;
}

void GroupWorld::finish() {
    checkRest();
    for (int i = 0; i < plan_.members; ++i) {
        Member& m = *members_[static_cast<std::size_t>(i)];
        if (!m.core) continue;
        collect(i);
        for (auto& [number, call] : std::exchange(m.calls, {})) {
            call.second.known = false;
            history_[call.first].push_back(call.second);
        }
        for (const auto& [reason, count] : m.core->traffic().refused) report_.refused += count;
        report_.snapshots += m.core->raft().counters().snapshotsInstalled;
        report_.mostBytesPerS =
            std::max(report_.mostBytesPerS, static_cast<double>(m.sentBytes) / std::max(now_ / 1000, 0.001));
    }
    if (quietSince_ >= 0 && now_ > quietSince_)
        for (const auto& m : members_) {
            const double rate =
                static_cast<double>(m->sentBytes - m->beforeQuiet) / ((now_ - quietSince_) / 1000);
            report_.restMean += rate / plan_.members;
            report_.restMost = std::max(report_.restMost, rate);
        }
    for (const auto& [singletonRole, ops] : history_)
        if (!linearizable(ops))
            violate("not linearizable",
                    fmt::format("{}: {} operations\n{}", singletonRole, ops.size(), textOf(ops)));
}

}  // namespace beechpoint::emulator
