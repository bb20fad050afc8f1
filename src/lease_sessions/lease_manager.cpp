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

Keeper::Keeper(Times times, std::string self, Life life, raft::Ledger& ledger, const Table& table)
    : times_(times), self_(std::move(self)), life_(life), ledger_(ledger), table_(table) {}

void Keeper::receive(Millis now, const Message& m, raft::Actions& ledgerOut, std::vector<Message>& out) {
    look(now);
    if (const auto* ask = std::get_if<Ask>(&m.body)) {
        const Command& c = ask->command;
        if (c.member != m.from || c.life != m.life || c.number == 0 || c.duty.size() > kMostDutyName ||
            c.to.size() > raft::kMostName)
            return;
        if (const auto known = table_.answer(c.member, c.life, c.number); known && ledger_.ready())
            return out.push_back({self_, m.from, life_, Answer{c.life, c.number, *known, self_}});
        if (!ledger_.ready() || waiting_.size() >= kMostWaiting)
            return out.push_back(
                {self_, m.from, life_,
                 Answer{c.life, c.number, {Verdict::wait, 0, 0}, ledger_.leads() ? "" : ledger_.leader()}});
        for (const Waiting& w : waiting_)
            if (w.member == c.member && w.life == c.life && w.number == c.number) return;  // on its way
        // Who opens the session it has anew counts from now: so does its end here.
        const Session* own = table_.session(c.member);
        if (const auto kept = sessions_.find(c.member);
            c.op == Op::open && kept != sessions_.end() && own != nullptr && own->life == c.life)
            kept->second.until = std::max(kept->second.until, now + runs());
        if (ledger_.propose(now, write(c), ledgerOut)) waiting_.push_back({c.member, c.life, c.number, now});
        answerSettled(now, out);
    } else if (const auto* renew = std::get_if<Renew>(&m.body)) {
        if (!ledger_.ready() || renewals_.size() >= kMostWaiting)
            return out.push_back({self_, m.from, life_,
                                  Renewed{m.life,
                                          renew->number,
                                          Verdict::no,
                                          renew->session,
                                          ledger_.leads() ? "" : ledger_.leader(),
                                          {}}});
        const Session* s = table_.session(m.from);
        const auto kept = sessions_.find(m.from);
        if (s == nullptr || s->number != renew->session || s->life != m.life || kept == sessions_.end() ||
            kept->second.ending)
            return out.push_back({self_, m.from, life_,
                                  Renewed{m.life, renew->number, Verdict::gone, renew->session, self_, {}}});
        // Counted at once, though the asker may never hear of it: that only makes its end later here.
        kept->second.until = std::max(kept->second.until, now + runs());
        renewals_[++token_] = {m.from, m.life, renew->number, renew->session, now};
        ledger_.confirm(now, token_, ledgerOut);
    }
}

void Keeper::confirmed(Millis, std::uint64_t token, std::vector<Message>& out) {
    const auto found = renewals_.find(token);
    if (found == renewals_.end()) return;
    const Renewal r = found->second;
    renewals_.erase(found);
    const auto kept = sessions_.find(r.member);
    if (kept == sessions_.end() || kept->second.number != r.session || kept->second.ending) return;
    Renewed reply{r.life, r.number, Verdict::yes, r.session, self_, {}};
    const std::set<std::string>& held = table_.heldBy(r.member);
    const std::vector<std::string> names(held.begin(), held.end());
    for (std::size_t i = 0; i < std::min(kGrantsTold, names.size()); ++i) {
        const std::string& name = names[kept->second.told++ % names.size()];
        reply.held.emplace_back(name, table_.duty(name)->fence);
    }
    out.push_back({self_, r.member, life_, std::move(reply)});
}

// What the table says, taken over: who is in session, and since when here.
void Keeper::look(Millis now) {
    if (!ledger_.ready()) {
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
        const Duty& d = *table_.duty(name);
        freeSince_.try_emplace(name, !d.last.empty() && !d.lost ? now - times_.settle : now);
    }
}
void Keeper::expire(Millis now, raft::Actions& ledgerOut) {
    for (auto& [member, s] : sessions_) {
        if (s.ending || now < s.until) continue;
        Command c;
        c.op = Op::close, c.member = member, c.session = s.number;
        if (!ledger_.propose(now, write(c), ledgerOut)) return;
        s.ending = true;  // from here on no renewal is confirmed
        ++expired_;
    }
}
void Keeper::grant(Millis now, raft::Actions& ledgerOut) {
    // One that was settled and is free all the same was turned down: it is tried again.
    std::erase_if(granting_, [&](const auto& g) { return g.second <= ledger_.commit(); });
    if (freeSince_.size() <= granting_.size()) return;
    std::map<std::string, std::size_t> load;
    for (const auto& [member, s] : sessions_)
        if (!s.ending && now >= s.since + times_.settle) load[member] = table_.heldBy(member).size();
    if (load.empty()) return;
    for (const auto& [name, since] : freeSince_) {
        if (granting_.size() >= kGranting) break;
        if (now < since + times_.settle || granting_.contains(name)) continue;
        const Duty& d = *table_.duty(name);
        const std::string* best = nullptr;
        std::tuple<bool, std::size_t, std::uint64_t> least;
        for (const auto& [member, count] : load) {
            const std::string both = name + "/" + member;
            const std::tuple rank{member == d.last, count, XXH3_64bits(both.data(), both.size())};
            if (best == nullptr || rank < least) best = &member, least = rank;
        }
        Command c;
        c.op = Op::grant, c.member = *best, c.session = sessions_[*best].number, c.duty = name;
        const auto index = ledger_.propose(now, write(c), ledgerOut);
        if (!index) return;
        granting_[name] = *index;
        ++load[*best];
    }
}
void Keeper::answerSettled(Millis now, std::vector<Message>& out) {
    std::erase_if(waiting_, [&](const Waiting& w) {
        const auto result = table_.answer(w.member, w.life, w.number);
        if (result) out.push_back({self_, w.member, life_, Answer{w.life, w.number, *result, self_}});
        return result || now > w.since + kStale;
    });
}
void Keeper::advance(Millis now, raft::Actions& ledgerOut, std::vector<Message>& out) {
    look(now);
    nextAt_ = 1e300;
    if (!led_) return;
    expire(now, ledgerOut);
    grant(now, ledgerOut);
    for (const std::string& name : std::exchange(granted_, {}))
        if (const Duty* d = table_.duty(name); d != nullptr && !d->holder.empty())
            out.push_back({self_, d->holder, life_,
                           Granted{table_.session(d->holder)->life, d->session, name, d->fence}});
    answerSettled(now, out);
    for (const auto& [member, s] : sessions_) {
        if (!s.ending) nextAt_ = std::min(nextAt_, s.until);
        if (now < s.since + times_.settle) nextAt_ = std::min(nextAt_, s.since + times_.settle);
    }
    for (const auto& [name, since] : freeSince_)
        if (now < since + times_.settle) nextAt_ = std::min(nextAt_, since + times_.settle);
}

}  // namespace beechpoint::lease_sessions
