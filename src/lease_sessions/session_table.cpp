#include "lease_sessions/session_table.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>

namespace beechpoint::lease_sessions {

namespace {

using Wire = std::tuple<std::uint8_t, std::string, ProcessIncarnation, std::uint64_t, Index, std::string,
                        std::uint64_t, std::string>;

}  // namespace

std::string write(const Command& c) {
    msgpack::sbuffer out;
    msgpack::pack(out, Wire{static_cast<std::uint8_t>(c.op), c.member, c.processIncarnation, c.number,
                            c.session, c.singletonRole, c.fencingToken, c.to});
    return {out.data(), out.size()};
}
std::optional<Command> readCommand(const std::string& data) {
    try {
        const Wire w = msgpack::unpack(data.data(), data.size()).get().as<Wire>();
        if (std::get<0>(w) > static_cast<std::uint8_t>(Op::hand)) return std::nullopt;
        return Command{static_cast<Op>(std::get<0>(w)),
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

const SingletonRole* Table::singletonRole(const std::string& name) const {
    const auto found = singletonRoles_.find(name);
    return found == singletonRoles_.end() ? nullptr : &found->second;
}
const Session* Table::session(const std::string& member) const {
    const auto found = sessions_.find(member);
    return found == sessions_.end() ? nullptr : &found->second;
}
std::optional<Result> Table::answer(const std::string& member, ProcessIncarnation processIncarnation,
                                    std::uint64_t number) const {
    const auto found = answers_.find({member, processIncarnation});
    if (found == answers_.end() || found->second.number != number) return std::nullopt;
    return found->second.result;
}
const std::set<std::string>& Table::heldBy(const std::string& member) const {
    static const std::set<std::string> none;
    const auto found = held_.find(member);
    return found == held_.end() ? none : found->second;
}
// `member` empty: it becomes free. Both lists of duties by holder follow.
void Table::hold(const std::string& name, SingletonRole& singletonRole, const std::string& member,
                 Index session) {
    if (const auto before = held_.find(singletonRole.holder); before != held_.end()) {
        before->second.erase(name);
        if (before->second.empty()) held_.erase(before);
    }
    singletonRole.holder = member, singletonRole.session = session;
    member.empty() ? (void)free_.insert(name) : (void)free_.erase(name);
    if (!member.empty()) held_[member].insert(name);
}

void Table::apply(Index index, raft::Term, const std::string& data) {
    ++revision_;
    const std::optional<Command> c = readCommand(data);
    if (!c) {
        ++unknown_;  // of a newer version: passed on as it is, without effect here
        return;
    }
    if (c->number == 0) {
        carryOut(index, *c);
        return;
    }
    Answered& kept = answers_[{c->member, c->processIncarnation}];
    if (kept.number >= c->number) return;  // had its effect
    const Result result = carryOut(index, *c);
    kept = {c->number, result, index};
    if (answers_.size() <= kMostAnswers) return;
    answers_.erase(std::min_element(answers_.begin(), answers_.end(),
                                    [](auto& a, auto& b) { return a.second.at < b.second.at; }));
    ++evicted_;
}

std::uint64_t Table::raise(SingletonRole& d) const {
    return d.fencingToken = std::max(d.fencingToken, base_) + 1;
}

Result Table::carryOut(Index index, const Command& c) {
    const auto s = sessions_.find(c.member);
    const bool known = s != sessions_.end() && s->second.number == c.session;
    switch (c.op) {
        case Op::open: {
            if (s != sessions_.end())  // an earlier life's may still be acted on: it has to run out first
                return s->second.processIncarnation == c.processIncarnation
                           ? Result{Verdict::yes, 0, s->second.number}
                           : Result{Verdict::wait, 0, 0};
            if (sessions_.size() >= kMostSessions) return {Verdict::no, 0, 0};
            sessions_[c.member] = {index, c.processIncarnation};
            return {Verdict::yes, 0, index};
        }
        case Op::close:
            if (!known) return {Verdict::gone, 0, 0};
            for (const std::string& name : std::set<std::string>(heldBy(c.member)))
                release(name, singletonRoles_.at(name), c.number == 0);
            sessions_.erase(s);
            return {Verdict::yes, 0, c.session};
        case Op::want: {
            if (singletonRoles_.contains(c.singletonRole)) return {Verdict::yes, 0, 0};
            if (singletonRoles_.size() >= kMaxRoles || c.singletonRole.empty()) return {Verdict::no, 0, 0};
            hold(c.singletonRole, singletonRoles_[c.singletonRole], "", 0);
            return {Verdict::yes, 0, 0};
        }
        case Op::grant: {
            const auto d = singletonRoles_.find(c.singletonRole);
            if (!known) return {Verdict::gone, 0, 0};
            if (d == singletonRoles_.end() || !d->second.holder.empty())
                return {Verdict::no, d == singletonRoles_.end() ? 0 : d->second.fencingToken, c.session};
            hold(c.singletonRole, d->second, c.member, c.session);
            return {Verdict::yes, raise(d->second), c.session};
        }
        case Op::giveUp:
        case Op::hand: {
            const auto d = singletonRoles_.find(c.singletonRole);
            if (!known) return {Verdict::gone, 0, 0};
            if (d == singletonRoles_.end() || d->second.holder != c.member ||
                d->second.session != c.session || d->second.fencingToken != c.fencingToken)
                return {Verdict::no, d == singletonRoles_.end() ? 0 : d->second.fencingToken, c.session};
            release(c.singletonRole, d->second, false);
            if (c.op == Op::giveUp) return {Verdict::yes, c.fencingToken, c.session};
            const auto next = sessions_.find(c.to);  // not in session: it is free
            if (next == sessions_.end()) return {Verdict::wait, c.fencingToken, c.session};
            hold(c.singletonRole, d->second, c.to, next->second.number);
            return {Verdict::yes, raise(d->second), c.session};
        }
    }
    return {};
}
void Table::release(const std::string& name, SingletonRole& d, bool lost) {
    d.last = d.holder;
    d.lost = lost;
    hold(name, d, "", 0);
}

// ---- as a snapshot

namespace {
using SavedRole = std::tuple<std::string, std::string, Index, std::uint64_t, std::string, bool>;
using SavedSession = std::tuple<std::string, Index, ProcessIncarnation>;
using SavedAnswer =
    std::tuple<std::string, ProcessIncarnation, std::uint64_t, std::uint8_t, std::uint64_t, Index, Index>;
using Saved = std::tuple<std::vector<SavedRole>, std::vector<SavedSession>, std::vector<SavedAnswer>>;
}  // namespace

std::string Table::save() const {
    Saved s;
    for (const auto& [name, d] : singletonRoles_)
        std::get<0>(s).emplace_back(name, d.holder, d.session, d.fencingToken, d.last, d.lost);
    for (const auto& [name, x] : sessions_) std::get<1>(s).emplace_back(name, x.number, x.processIncarnation);
    for (const auto& [who, a] : answers_)
        std::get<2>(s).emplace_back(who.first, who.second, a.number,
                                    static_cast<std::uint8_t>(a.result.verdict), a.result.fencingToken,
                                    a.result.session, a.at);
    msgpack::sbuffer out;
    msgpack::pack(out, s);
    return {out.data(), out.size()};
}
bool Table::load(const std::string& saved) {
    Saved s;
    try {
        if (!saved.empty()) s = msgpack::unpack(saved.data(), saved.size()).get().as<Saved>();
    } catch (const std::exception&) {
        return false;
    }
    singletonRoles_.clear(), sessions_.clear(), answers_.clear(), held_.clear(), free_.clear();
    ++revision_;
    for (const auto& [name, holder, session, fencingToken, last, lost] : std::get<0>(s)) {
        SingletonRole& d = singletonRoles_[name];
        d.fencingToken = fencingToken, d.last = last, d.lost = lost;
        hold(name, d, holder, session);
    }
    for (const auto& [name, number, processIncarnation] : std::get<1>(s))
        sessions_[name] = {number, processIncarnation};
    for (const auto& [name, processIncarnation, number, verdict, fencingToken, session, at] : std::get<2>(s))
        answers_[{name, processIncarnation}] = {
            number, {static_cast<Verdict>(verdict), fencingToken, session}, at};
    return true;
}

}  // namespace beechpoint::lease_sessions
