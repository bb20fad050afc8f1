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
                           raft::RaftConsensus& raft, const Table& table)
    : times_(times),
      self_(std::move(self)),
      processIncarnation_(processIncarnation),
      raft_(raft),
      table_(table) {}

void LeaseManager::receive(Millis now, const Message& m, raft::Actions& raftActions,
                           std::vector<Message>& out) {
    look(now);
    if (const auto* ask = std::get_if<Ask>(&m.body)) {
        const Command& c = ask->command;
        if (c.member != m.from || c.processIncarnation != m.processIncarnation || c.number == 0 ||
            c.singletonRole.size() > kMaxRoleNameBytes || c.to.size() > raft::kMaxMemberNameBytes)
            return;
        if (const auto known = table_.answer(c.member, c.processIncarnation, c.number);
            known && raft_.ready())
            return out.push_back(
                {self_, m.from, processIncarnation_, Answer{c.processIncarnation, c.number, *known, self_}});
        if (!raft_.ready() || waiting_.size() >= kMostWaiting)
            return out.push_back({self_, m.from, processIncarnation_,
                                  Answer{c.processIncarnation,
                                         c.number,
                                         {Verdict::wait, 0, 0},
                                         raft_.leads() ? "" : raft_.leader()}});
        for (const Waiting& w : waiting_)
            if (w.member == c.member && w.processIncarnation == c.processIncarnation && w.number == c.number)
                return;  // on its way
        // Who opens the session it has anew counts from now: so does its end here.
        const Session* own = table_.session(c.member);
        if (const auto kept = sessions_.find(c.member); c.op == Op::open && kept != sessions_.end() &&
                                                        own != nullptr &&
                                                        own->processIncarnation == c.processIncarnation)
            kept->second.until = std::max(kept->second.until, now + runs());
        if (raft_.propose(now, write(c), raftActions))
            waiting_.push_back({c.member, c.processIncarnation, c.number, now});
        answerSettled(now, out);
    } else if (const auto* renew = std::get_if<Renew>(&m.body)) {
        if (!raft_.ready() || renewals_.size() >= kMostWaiting)
            return out.push_back({self_, m.from, processIncarnation_,
                                  Renewed{m.processIncarnation,
                                          renew->number,
                                          Verdict::no,
                                          renew->session,
                                          raft_.leads() ? "" : raft_.leader(),
                                          {}}});
        const Session* s = table_.session(m.from);
        const auto kept = sessions_.find(m.from);
        if (s == nullptr || s->number != renew->session || s->processIncarnation != m.processIncarnation ||
            kept == sessions_.end() || kept->second.ending)
            return out.push_back(
                {self_, m.from, processIncarnation_,
                 Renewed{m.processIncarnation, renew->number, Verdict::gone, renew->session, self_, {}}});
        // Counted at once, though the asker may never hear of it: that only makes its end later here.
        kept->second.until = std::max(kept->second.until, now + runs());
        renewals_[++token_] = {m.from, m.processIncarnation, renew->number, renew->session, now};
        raft_.confirm(now, token_, raftActions);
    }
}

void LeaseManager::confirmed(Millis, std::uint64_t token, std::vector<Message>& out) {
    const auto found = renewals_.find(token);
    if (found == renewals_.end()) return;
    const Renewal r = found->second;
    renewals_.erase(found);
    const auto kept = sessions_.find(r.member);
    if (kept == sessions_.end() || kept->second.number != r.session || kept->second.ending) return;
    Renewed reply{r.processIncarnation, r.number, Verdict::yes, r.session, self_, {}};
    const std::set<std::string>& held = table_.heldBy(r.member);
    const std::vector<std::string> names(held.begin(), held.end());
    for (std::size_t i = 0; i < std::min(kGrantsTold, names.size()); ++i) {
        const std::string& name = names[kept->second.told++ % names.size()];
        reply.held.emplace_back(name, table_.singletonRole(name)->fencingToken);
    }
    out.push_back({self_, r.member, processIncarnation_, std::move(reply)});
}

// What the table says, taken over: who is in session, and since when here.
void LeaseManager::look(Millis now) {
    if (!raft_.ready()) {
        if (led_)
            sessions_.clear(), renewals_.clear(), waiting_.clear(), granting_.clear(), freeSince_.clear(),
                granted_.clear();
        led_ = false;
        return;
    }
    if (led_ && seen_ == table_.revision()) return;
    const Millis from = !led_ && !times_.prolong ? now - runs() : now;
    led_ = true;
    seen_ = table_.revision();
    for (const auto& [member, s] : table_.sessions()) {
        Kept& k = sessions_[member];
        if (k.number != s.number) k = {s.number, now, from + runs(), false, 0};
    }
    std::erase_if(sessions_, [&](const auto& s) {
        const Session* in = table_.session(s.first);
        return in == nullptr || in->number != s.second.number;
    });
    std::erase_if(freeSince_, [&](const auto& f) { return !table_.free().contains(f.first); });
    std::erase_if(granting_, [&](const auto& g) {
        if (table_.free().contains(g.first)) return false;
        granted_.push_back(g.first);
        return true;
    });
    // What was given up in order is granted at once; what was lost, or is new, waits for things to settle.
    for (const std::string& name : table_.free()) {
        const SingletonRole& d = *table_.singletonRole(name);
        freeSince_.try_emplace(name, !d.last.empty() && !d.lost ? now - times_.settle : now);
    }
}
void LeaseManager::expire(Millis now, raft::Actions& raftActions) {
    for (auto& [member, s] : sessions_) {
        if (s.ending || now < s.until) continue;
        Command c;
        c.op = Op::close, c.member = member, c.session = s.number;
        if (!raft_.propose(now, write(c), raftActions)) return;
        s.ending = true;  // from here on no renewal is confirmed
        ++expired_;
    }
}
void LeaseManager::grant(Millis now, raft::Actions& raftActions) {
    // One that was settled and is free all the same was turned down: it is tried again.
    std::erase_if(granting_, [&](const auto& g) { return g.second <= raft_.commit(); });
    if (freeSince_.size() <= granting_.size()) return;
    std::map<std::string, std::size_t> load;
    for (const auto& [member, s] : sessions_)
        if (!s.ending && now >= s.since + times_.settle) load[member] = table_.heldBy(member).size();
    if (load.empty()) return;
    for (const auto& [name, since] : freeSince_) {
        if (granting_.size() >= kGranting) break;
        if (now < since + times_.settle || granting_.contains(name)) continue;
        const SingletonRole& d = *table_.singletonRole(name);
        const std::string* best = nullptr;
        std::tuple<bool, std::size_t, std::uint64_t> least;
        for (const auto& [member, count] : load) {
            const std::string both = name + "/" + member;
            const std::tuple rank{member == d.last, count, XXH3_64bits(both.data(), both.size())};
            if (best == nullptr || rank < least) best = &member, least = rank;
        }
        Command c;
        c.op = Op::grant, c.member = *best, c.session = sessions_[*best].number, c.singletonRole = name;
        const auto index = raft_.propose(now, write(c), raftActions);
        if (!index) return;
        granting_[name] = *index;
        ++load[*best];
    }
}
void LeaseManager::answerSettled(Millis now, std::vector<Message>& out) {
    std::erase_if(waiting_, [&](const Waiting& w) {
        const auto result = table_.answer(w.member, w.processIncarnation, w.number);
        if (result)
            out.push_back({self_, w.member, processIncarnation_,
                           Answer{w.processIncarnation, w.number, *result, self_}});
        return result || now > w.since + kStale;
    });
}
void LeaseManager::advance(Millis now, raft::Actions& raftActions, std::vector<Message>& out) {
    look(now);
    nextAt_ = 1e300;
    if (!led_) return;
    expire(now, raftActions);
    grant(now, raftActions);
    for (const std::string& name : std::exchange(granted_, {}))
        if (const SingletonRole* d = table_.singletonRole(name); d != nullptr && !d->holder.empty())
            out.push_back(
                {self_, d->holder, processIncarnation_,
                 Granted{table_.session(d->holder)->processIncarnation, d->session, name, d->fencingToken}});
    answerSettled(now, out);
    for (const auto& [member, s] : sessions_) {
        if (!s.ending) nextAt_ = std::min(nextAt_, s.until);
        if (now < s.since + times_.settle) nextAt_ = std::min(nextAt_, s.since + times_.settle);
    }
    for (const auto& [name, since] : freeSince_)
        if (now < since + times_.settle) nextAt_ = std::min(nextAt_, since + times_.settle);
}

}  // namespace beechpoint::lease_sessions
