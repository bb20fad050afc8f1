#include "lease_sessions/lease_manager.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace beechpoint::lease_sessions {

namespace {
constexpr std::size_t kMostWaiting = 2048;  // requests and renewals on their way at one leader
constexpr Millis kStale = 10'000;           // a request that was not settled by then is forgotten
constexpr std::size_t kGranting = 32;  // grants on their way at once: a thousand free duties make no burst
}  // namespace

LeaseManager::LeaseManager(Times times, std::string self, ProcessIncarnation processIncarnation,
                           raft::RaftConsensus& raft, const SessionTable& table)
    : times_(times),
      self_(std::move(self)),
      processIncarnation_(processIncarnation),
      raft_(raft),
      table_(table) {}

void LeaseManager::receive(Millis now, const Message& m, raft::Actions& raftActions,
                           std::vector<Message>& out) {
    followTable(now);
    if (const auto* ask = std::get_if<CommandRequest>(&m.body)) {
        const Command& c = ask->command;
        if (c.member != m.from || c.processIncarnation != m.processIncarnation || c.number == 0 ||
            c.singletonRole.size() > kMaxRoleNameBytes || c.to.size() > raft::kMaxMemberNameBytes)
            return;
        if (const auto known = table_.answer(c.member, c.processIncarnation, c.number);
            known && raft_.isReadyLeader())
            return out.push_back({self_, m.from, processIncarnation_,
                                  CommandReply{c.processIncarnation, c.number, *known, self_}});
        if (!raft_.isReadyLeader() || pendingCommands_.size() >= kMostWaiting)
            return out.push_back({self_, m.from, processIncarnation_,
                                  CommandReply{c.processIncarnation,
                                               c.number,
                                               {Verdict::retryLater, 0, 0},
                                               raft_.isLeader() ? "" : raft_.leader()}});
        for (const PendingCommand& w : pendingCommands_)
            if (w.member == c.member && w.processIncarnation == c.processIncarnation && w.number == c.number)
                return;  // on its way
        // Who opens the session it has anew counts from now: so does its end here.
        const Session* own = table_.session(c.member);
        if (const auto kept = sessions_.find(c.member); c.op == Operation::open && kept != sessions_.end() &&
                                                        own != nullptr &&
                                                        own->processIncarnation == c.processIncarnation)
            kept->second.until = std::max(kept->second.until, now + sessionDuration());
        if (raft_.propose(now, encodeCommand(c), raftActions))
            pendingCommands_.push_back({c.member, c.processIncarnation, c.number, now});
        answerCommitted(now, out);
    } else if (const auto* renew = std::get_if<RenewRequest>(&m.body)) {
        if (!raft_.isReadyLeader() || pendingRenewals_.size() >= kMostWaiting)
            return out.push_back({self_, m.from, processIncarnation_,
                                  RenewReply{m.processIncarnation,
                                             renew->number,
                                             Verdict::rejected,
                                             renew->session,
                                             raft_.isLeader() ? "" : raft_.leader(),
                                             {}}});
        const Session* s = table_.session(m.from);
        const auto kept = sessions_.find(m.from);
        if (s == nullptr || s->number != renew->session || s->processIncarnation != m.processIncarnation ||
            kept == sessions_.end() || kept->second.ending)
            return out.push_back(
                {self_, m.from, processIncarnation_,
                 RenewReply{
                     m.processIncarnation, renew->number, Verdict::noSession, renew->session, self_, {}}});
        // Counted at once, though the asker may never hear of it: that only makes its end later here.
        kept->second.until = std::max(kept->second.until, now + sessionDuration());
        pendingRenewals_[++lastToken_] = {m.from, m.processIncarnation, renew->number, renew->session, now};
        raft_.confirmLeadership(now, lastToken_, raftActions);
    }
}

void LeaseManager::leadershipConfirmed(Millis, std::uint64_t token, std::vector<Message>& out) {
    const auto found = pendingRenewals_.find(token);
    if (found == pendingRenewals_.end()) return;
    const PendingRenewal r = found->second;
    pendingRenewals_.erase(found);
    const auto kept = sessions_.find(r.member);
    if (kept == sessions_.end() || kept->second.number != r.session || kept->second.ending) return;
    RenewReply reply{r.processIncarnation, r.number, Verdict::done, r.session, self_, {}};
    const std::set<std::string>& held = table_.leasesOf(r.member);
    const std::vector<std::string> names(held.begin(), held.end());
    for (std::size_t i = 0; i < std::min(kMaxLeasesPerRenewal, names.size()); ++i) {
        const std::string& name = names[kept->second.nextReported++ % names.size()];
        reply.leases.emplace_back(name, table_.singletonRole(name)->fencingToken);
    }
    out.push_back({self_, r.member, processIncarnation_, std::move(reply)});
}

// What the table says, taken over: who is in session, and since when here.
void LeaseManager::followTable(Millis now) {
    if (!raft_.isReadyLeader()) {
        if (isLeading_)
            sessions_.clear(), pendingRenewals_.clear(), pendingCommands_.clear(), pendingGrants_.clear(),
                freeSince_.clear(), grantsToNotify_.clear();
        isLeading_ = false;
        return;
    }
    if (isLeading_ && tableRevision_ == table_.revision()) return;
    const Millis from = !isLeading_ && !times_.extendOnElection ? now - sessionDuration() : now;
    isLeading_ = true;
    tableRevision_ = table_.revision();
    for (const auto& [member, s] : table_.sessions()) {
        TrackedSession& k = sessions_[member];
        if (k.number != s.number) k = {s.number, now, from + sessionDuration(), false, 0};
    }
    std::erase_if(sessions_, [&](const auto& s) {
        const Session* in = table_.session(s.first);
        return in == nullptr || in->number != s.second.number;
    });
    std::erase_if(freeSince_, [&](const auto& f) { return !table_.freeRoles().contains(f.first); });
    std::erase_if(pendingGrants_, [&](const auto& g) {
        if (table_.freeRoles().contains(g.first)) return false;
        grantsToNotify_.push_back(g.first);
        return true;
    });
    // What was given up in order is granted at once; what was lost, or is new, waits for things to settle.
    for (const std::string& name : table_.freeRoles()) {
        const SingletonRole& d = *table_.singletonRole(name);
        freeSince_.try_emplace(name,
                               !d.lastHolder.empty() && !d.sessionExpired ? now - times_.stabilization : now);
    }
}
void LeaseManager::expireSessions(Millis now, raft::Actions& raftActions) {
    for (auto& [member, s] : sessions_) {
        if (s.ending || now < s.until) continue;
        Command c;
        c.op = Operation::close, c.member = member, c.session = s.number;
        if (!raft_.propose(now, encodeCommand(c), raftActions)) return;
        s.ending = true;  // from here on no renewal is confirmed
        ++expired_;
    }
}
void LeaseManager::grantFreeRoles(Millis now, raft::Actions& raftActions) {
    // One that was settled and is free all the same was turned down: it is tried again.
    std::erase_if(pendingGrants_, [&](const auto& g) { return g.second <= raft_.commitIndex(); });
    if (freeSince_.size() <= pendingGrants_.size()) return;
    std::map<std::string, std::size_t> load;
    for (const auto& [member, s] : sessions_)
        if (!s.ending && now >= s.since + times_.stabilization) load[member] = table_.leasesOf(member).size();
    if (load.empty()) return;
    for (const auto& [name, since] : freeSince_) {
        if (pendingGrants_.size() >= kGranting) break;
        if (now < since + times_.stabilization || pendingGrants_.contains(name)) continue;
        const SingletonRole& d = *table_.singletonRole(name);
        const std::string* best = nullptr;
        std::tuple<bool, std::size_t, std::uint64_t> least;
        for (const auto& [member, count] : load) {
            const std::string both = name + "/" + member;
            const std::tuple rank{member == d.lastHolder, count, XXH3_64bits(both.data(), both.size())};
            if (best == nullptr || rank < least) best = &member, least = rank;
        }
        Command c;
        c.op = Operation::grant, c.member = *best, c.session = sessions_[*best].number,
        c.singletonRole = name;
        const auto index = raft_.propose(now, encodeCommand(c), raftActions);
        if (!index) return;
        pendingGrants_[name] = *index;
        ++load[*best];
    }
}
void LeaseManager::answerCommitted(Millis now, std::vector<Message>& out) {
    std::erase_if(pendingCommands_, [&](const PendingCommand& w) {
        const auto result = table_.answer(w.member, w.processIncarnation, w.number);
        if (result)
            out.push_back({self_, w.member, processIncarnation_,
                           CommandReply{w.processIncarnation, w.number, *result, self_}});
        return result || now > w.since + kStale;
    });
}
void LeaseManager::advance(Millis now, raft::Actions& raftActions, std::vector<Message>& out) {
    followTable(now);
    deadline_ = 1e300;
    if (!isLeading_) return;
    expireSessions(now, raftActions);
    grantFreeRoles(now, raftActions);
    for (const std::string& name : std::exchange(grantsToNotify_, {}))
        if (const SingletonRole* d = table_.singletonRole(name); d != nullptr && !d->holder.empty())
            out.push_back({self_, d->holder, processIncarnation_,
                           GrantNotice{table_.session(d->holder)->processIncarnation, d->session, name,
                                       d->fencingToken}});
    answerCommitted(now, out);
    for (const auto& [member, s] : sessions_) {
        if (!s.ending) deadline_ = std::min(deadline_, s.until);
        if (now < s.since + times_.stabilization)
            deadline_ = std::min(deadline_, s.since + times_.stabilization);
    }
    for (const auto& [name, since] : freeSince_)
        if (now < since + times_.stabilization) deadline_ = std::min(deadline_, since + times_.stabilization);
}

}  // namespace beechpoint::lease_sessions
