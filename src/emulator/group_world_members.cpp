// Members: their steps, what they keep, how they start, stand still and end, and the operators' calls at them.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "emulator/group_world.hpp"
#include "emulator/group_world_member.hpp"

namespace beechpoint::emulator {

void GroupWorld::step(int member, const std::function<void(cluster::Core&, Millis, cluster::Step&)>& call) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (!m.core || m.stopped) return;
    cluster::Step out;
    call(*m.core, m.local(now_), out);
    carry(member, out);
    checkMember(member);
    schedule(member);
}

void GroupWorld::carry(int member, const cluster::Step& step) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (step.mustPersist && plan_.lasting && !persist(member)) return;
    if (trace)
        for (const std::string& note : step.events) trace(fmt::format("{:9.1f} g{} {}", now_, member, note));
    for (const cluster::Datagram& d : step.send) {
        const int to = std::stoi(d.to.substr(1));
        m.sentBytes += d.bytes.size();
        report_.longest = std::max<std::uint64_t>(report_.longest, d.bytes.size());
        transit(member, to, d.bytes);
    }
}

// False: the machine stopped in the middle, or its disk failed, and nothing of that step ever left it.
bool GroupWorld::persist(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    const raft::StateWrite write = m.journal->encodeChanges(m.core->raft(), 4096);
    bool kept = false;
    try {
        kept = m.folder->persist(write);
    } catch (const Crash&) {
        ++report_.met["crash in a write at a " + std::string(nameOf(m.core->raft().role()))];
        m.files.crash();
    }
    if (kept) {
        if (m.first.empty() && m.core->raft().groupNumber() != 0) m.first = m.files.all();
        return true;
    }
    at(now_, [this, member] { kill(member); });
    at(now_ + between(200, 2000), [this, member] { restart(member); });
    m.stopped = true;  // takes in nothing more
    return false;
}

void GroupWorld::schedule(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    const Millis next = m.core->nextDeadline();
    if (next > 1e200) return;
    Event e;
    e.at = std::max(now_ + 0.05, m.world(next));
    e.order = ++order_;
    e.member = member;
    e.epoch = ++m.epoch;
    events_.push(std::move(e));
}

void GroupWorld::kill(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (!m.core) return;
    collect(member);
    for (auto& [number, call] : m.calls) {
        call.second.known = false;
        history_[call.first].push_back(call.second);
        ++report_.outcomes["not known"];
    }
    m.calls.clear();
    m.core.reset();
    m.stopped = false;
    m.buffer.clear();
    m.begun.clear();
    ++m.epoch;
}

void GroupWorld::restart(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (m.core) return;
    m.processIncarnation = random_() | 1;
    m.seen = 0;
    m.wantAt = -1e300;
    std::optional<raft::PersistentState> kept;
    if (plan_.lasting) {
        m.files.crashAt(0), m.files.failing(0);
        if (plan_.forgetsState && !m.first.empty()) {
            m.files = FaultyFiles(random_());
            for (const auto& [path, bytes] : m.first) m.files.put(path, bytes);
        }
        std::string note;
        m.folder.emplace(m.files, "folder", m.options.group, m.options.self);
        m.journal.emplace(m.options.group, m.options.self, m.processIncarnation);
        raft::ReadState read = m.folder->load(note);
        ++report_.folders[nameOf(read.outcome)];
        kept = std::move(read.state);
        if (trace && !note.empty()) trace(fmt::format("{:9.1f} g{} {}", now_, member, note));
    }
    m.core = std::make_unique<cluster::Core>(m.options, m.processIncarnation, random_(), m.local(now_), kept);
    if (trace) trace(fmt::format("{:9.1f} g{} starts", now_, member));
    schedule(member);
    Event e;
    e.at = now_ + between(0, kActEvery);
    e.order = ++order_, e.kind = Event::Kind::act, e.member = member;
    e.epoch = m.processIncarnation;
    events_.push(std::move(e));
}

void GroupWorld::stop(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (!m.core || m.stopped) return;
    // At the worst moment: between the check and the act.
    for (const auto& [singletonRole, fencingToken] : m.core->leaseClient().heldLeases())
        if (m.core->leaseClient().mayAct(m.local(now_), singletonRole))
            m.begun.emplace_back(singletonRole, fencingToken);
    m.stopped = true;
}

void GroupWorld::proceed(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    if (!m.core || !m.stopped) return;
    m.stopped = false;
    for (const auto& [singletonRole, fencingToken] : std::exchange(m.begun, {}))
        carryOutAct(member, singletonRole, fencingToken, true);
    actOnLeases(member);  // its first thought after waking, before it has read anything
    for (const std::string& bytes : std::exchange(m.buffer, {}))
        step(member, [&](cluster::Core& c, Millis t, cluster::Step& out) { c.receive(t, bytes, out); });
    step(member, [](cluster::Core& c, Millis t, cluster::Step& out) { c.advance(t, out); });
}

void GroupWorld::leave(int member) {
    step(member, [](cluster::Core& c, Millis t, cluster::Step& out) { c.leave(t, out); });
}

void GroupWorld::resume(int member) {
    step(member, [](cluster::Core& c, Millis t, cluster::Step& out) { c.resume(t, out); });
}

void GroupWorld::found(int member, std::uint64_t number) {
    step(member, [&](cluster::Core& c, Millis t, cluster::Step& out) { c.foundGroup(t, number, out); });
}

void GroupWorld::take(int member, const std::string& singletonRole) {
    step(member, [&](cluster::Core& c, Millis t, cluster::Step& out) {
        DutyOp op;
        op.kind = DutyOp::Kind::take, op.member = name(member), op.from = now_;
        members_[static_cast<std::size_t>(member)]->calls[c.leaseClient().acquire(singletonRole)] = {
            singletonRole, op};
        c.advance(t, out);
    });
}

void GroupWorld::giveUp(int member, const std::string& singletonRole, const std::string& to) {
    step(member, [&](cluster::Core& c, Millis t, cluster::Step& out) {
        const auto held = c.leaseClient().heldLeases().find(singletonRole);
        if (held == c.leaseClient().heldLeases().end()) return;
        DutyOp op;
        op.kind = DutyOp::Kind::giveUp, op.member = name(member), op.from = now_,
        op.fencingToken = held->second;
        members_[static_cast<std::size_t>(member)]->calls[c.leaseClient().release(singletonRole, to)] = {
            singletonRole, op};
        c.advance(t, out);
    });
}

void GroupWorld::collect(int member) {
    Member& m = *members_[static_cast<std::size_t>(member)];
    for (const lease_sessions::CommandOutcome& o : m.core->leaseClient().takeOutcomes()) {
        const auto call = m.calls.find(o.request);
        if (call == m.calls.end()) continue;
        auto [singletonRole, op] = call->second;
        m.calls.erase(call);
        op.to = now_;
        op.known = o.known;
        // Handed to one that was not in session: it is free, which is a yes to giving up.
        op.yes =
            o.known &&
            (o.result.verdict == lease_sessions::Verdict::done ||
             (op.kind == DutyOp::Kind::giveUp && o.result.verdict == lease_sessions::Verdict::retryLater));
        if (op.kind == DutyOp::Kind::take) op.fencingToken = o.result.fencingToken;
        history_[singletonRole].push_back(op);
        ++report_.outcomes[!o.known ? "not known" : op.yes ? "yes" : "no"];
    }
}

}  // namespace beechpoint::emulator
