#include "lease_sessions/session_table.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>

namespace beechpoint::lease_sessions {

namespace {

using Wire = std::tuple<std::uint8_t, std::string, ProcessIncarnation, std::uint64_t, Index, std::string,
                        std::uint64_t, std::string>;

}  // namespace

std::string encodeCommand(const Command& c) {
    msgpack::sbuffer out;
    msgpack::pack(out, Wire{static_cast<std::uint8_t>(c.op), c.member, c.processIncarnation, c.number,
                            c.session, c.singletonRole, c.fencingToken, c.to});
    return {out.data(), out.size()};
}
std::optional<Command> decodeCommand(const std::string& data) {
    try {
        const Wire w = msgpack::unpack(data.data(), data.size()).get().as<Wire>();
        if (std::get<0>(w) > static_cast<std::uint8_t>(Operation::transfer)) return std::nullopt;
        return Command{static_cast<Operation>(std::get<0>(w)),
                       std::get<1>(w),
                       std::get<2>(w),
                       std::get<3>(w),
                       std::get<4>(w),
                       std::get<5>(w),
                       std::get<6>(w),
                       std::get<7>(w)};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

const SingletonRole* SessionTable::singletonRole(const std::string& name) const {
    const auto found = singletonRoles_.find(name);
    return found == singletonRoles_.end() ? nullptr : &found->second;
}
const Session* SessionTable::session(const std::string& member) const {
    const auto found = sessions_.find(member);
    return found == sessions_.end() ? nullptr : &found->second;
}
std::optional<Result> SessionTable::answer(const std::string& member, ProcessIncarnation processIncarnation,
                                           std::uint64_t number) const {
    const auto found = appliedCommands_.find({member, processIncarnation});
    if (found == appliedCommands_.end() || found->second.number != number) return std::nullopt;
    return found->second.result;
}
const std::set<std::string>& SessionTable::leasesOf(const std::string& member) const {
    static const std::set<std::string> none;
    const auto found = leasesByHolder_.find(member);
    return found == leasesByHolder_.end() ? none : found->second;
}
// `member` empty: it becomes free. Both lists of duties by holder follow.
void SessionTable::assign(const std::string& name, SingletonRole& singletonRole, const std::string& member,
                          Index session) {
    if (const auto before = leasesByHolder_.find(singletonRole.holder); before != leasesByHolder_.end()) {
        before->second.erase(name);
        if (before->second.empty()) leasesByHolder_.erase(before);
    }
    singletonRole.holder = member, singletonRole.session = session;
    member.empty() ? (void)freeRoles_.insert(name) : (void)freeRoles_.erase(name);
    if (!member.empty()) leasesByHolder_[member].insert(name);
}

void SessionTable::apply(Index index, raft::Term, const std::string& data) {
    ++revision_;
    const std::optional<Command> c = decodeCommand(data);
    if (!c) {
        ++unreadableEntries_;  // of a newer version: passed on as it is, without effect here
        return;
    }
    if (c->number == 0) {
        execute(index, *c);
        return;
    }
    AppliedCommand& kept = appliedCommands_[{c->member, c->processIncarnation}];
    if (kept.number >= c->number) return;  // had its effect
    const Result result = execute(index, *c);
    kept = {c->number, result, index};
    if (appliedCommands_.size() <= kMaxAnswers) return;
    appliedCommands_.erase(
        std::min_element(appliedCommands_.begin(), appliedCommands_.end(),
                         [](auto& a, auto& b) { return a.second.appliedAt < b.second.appliedAt; }));
    ++evictedAnswers_;
}

std::uint64_t SessionTable::raiseToken(SingletonRole& d) const {
    return d.fencingToken = std::max(d.fencingToken, tokenBase_) + 1;
}

Result SessionTable::execute(Index index, const Command& c) {
    const auto s = sessions_.find(c.member);
    const bool known = s != sessions_.end() && s->second.number == c.session;
    switch (c.op) {
        case Operation::open: {
            if (s != sessions_.end())  // an earlier life's may still be acted on: it has to run out first
                return s->second.processIncarnation == c.processIncarnation
                           ? Result{Verdict::done, 0, s->second.number}
                           : Result{Verdict::retryLater, 0, 0};
            if (sessions_.size() >= kMaxSessions) return {Verdict::rejected, 0, 0};
            sessions_[c.member] = {index, c.processIncarnation};
            return {Verdict::done, 0, index};
        }
        case Operation::close:
            if (!known) return {Verdict::noSession, 0, 0};
            for (const std::string& name : std::set<std::string>(leasesOf(c.member)))
                release(name, singletonRoles_.at(name), c.number == 0);
            sessions_.erase(s);
            return {Verdict::done, 0, c.session};
        case Operation::define: {
            if (singletonRoles_.contains(c.singletonRole)) return {Verdict::done, 0, 0};
            if (singletonRoles_.size() >= kMaxRoles || c.singletonRole.empty())
                return {Verdict::rejected, 0, 0};
            assign(c.singletonRole, singletonRoles_[c.singletonRole], "", 0);
            return {Verdict::done, 0, 0};
        }
        case Operation::grant: {
            const auto d = singletonRoles_.find(c.singletonRole);
            if (!known) return {Verdict::noSession, 0, 0};
            if (d == singletonRoles_.end() || !d->second.holder.empty())
                return {Verdict::rejected, d == singletonRoles_.end() ? 0 : d->second.fencingToken,
                        c.session};
            assign(c.singletonRole, d->second, c.member, c.session);
            return {Verdict::done, raiseToken(d->second), c.session};
        }
        case Operation::release:
        case Operation::transfer: {
            const auto d = singletonRoles_.find(c.singletonRole);
            if (!known) return {Verdict::noSession, 0, 0};
            if (d == singletonRoles_.end() || d->second.holder != c.member ||
                d->second.session != c.session || d->second.fencingToken != c.fencingToken)
                return {Verdict::rejected, d == singletonRoles_.end() ? 0 : d->second.fencingToken,
                        c.session};
            release(c.singletonRole, d->second, false);
            if (c.op == Operation::release) return {Verdict::done, c.fencingToken, c.session};
            const auto next = sessions_.find(c.to);  // not in session: it is free
            if (next == sessions_.end()) return {Verdict::retryLater, c.fencingToken, c.session};
            assign(c.singletonRole, d->second, c.to, next->second.number);
            return {Verdict::done, raiseToken(d->second), c.session};
        }
    }
    return {};
}
void SessionTable::release(const std::string& name, SingletonRole& d, bool lost) {
    d.lastHolder = d.holder;
    d.sessionExpired = lost;
    assign(name, d, "", 0);
}

// ---- as a snapshot

namespace {
using SavedRole = std::tuple<std::string, std::string, Index, std::uint64_t, std::string, bool>;
using SavedSession = std::tuple<std::string, Index, ProcessIncarnation>;
using SavedAnswer =
    std::tuple<std::string, ProcessIncarnation, std::uint64_t, std::uint8_t, std::uint64_t, Index, Index>;
using Saved = std::tuple<std::vector<SavedRole>, std::vector<SavedSession>, std::vector<SavedAnswer>>;
}  // namespace

std::string SessionTable::save() const {
    Saved s;
    for (const auto& [name, d] : singletonRoles_)
        std::get<0>(s).emplace_back(name, d.holder, d.session, d.fencingToken, d.lastHolder,
                                    d.sessionExpired);
    for (const auto& [name, x] : sessions_) std::get<1>(s).emplace_back(name, x.number, x.processIncarnation);
    for (const auto& [who, a] : appliedCommands_)
        std::get<2>(s).emplace_back(who.first, who.second, a.number,
                                    static_cast<std::uint8_t>(a.result.verdict), a.result.fencingToken,
                                    a.result.session, a.appliedAt);
    msgpack::sbuffer out;
    msgpack::pack(out, s);
    return {out.data(), out.size()};
}
bool SessionTable::load(const std::string& saved) {
    Saved s;
    try {
        if (!saved.empty()) s = msgpack::unpack(saved.data(), saved.size()).get().as<Saved>();
    } catch (const std::exception&) {
        return false;
    }
    singletonRoles_.clear(), sessions_.clear(), appliedCommands_.clear(), leasesByHolder_.clear(),
        freeRoles_.clear();
    ++revision_;
    for (const auto& [name, holder, session, fencingToken, last, lost] : std::get<0>(s)) {
        SingletonRole& d = singletonRoles_[name];
        d.fencingToken = fencingToken, d.lastHolder = last, d.sessionExpired = lost;
        assign(name, d, holder, session);
    }
    for (const auto& [name, number, processIncarnation] : std::get<1>(s))
        sessions_[name] = {number, processIncarnation};
    for (const auto& [name, processIncarnation, number, verdict, fencingToken, session, at] : std::get<2>(s))
        appliedCommands_[{name, processIncarnation}] = {
            number, {static_cast<Verdict>(verdict), fencingToken, session}, at};
    return true;
}

}  // namespace beechpoint::lease_sessions
