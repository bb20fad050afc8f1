#include "cluster/core.hpp"

#include <algorithm>
#include <stdexcept>

#include "cluster/wire.hpp"

namespace beechpoint::cluster {

namespace {

constexpr Millis kPullPerMember = 25;

Options checked(Options o, raft::ProcessIncarnation processIncarnation) {
    const auto need = [](bool ok, const std::string& what) {
        if (!ok) throw std::invalid_argument("group: " + what);
    };
    need(processIncarnation != 0, "a life must not be 0");
    need(!o.voters.empty() && o.voters.size() <= raft::kMaxVoters, "1 to 7 voters");
    for (const std::string& name : o.members)
        need(!name.empty() && name.size() <= raft::kMaxMemberNameBytes &&
                 name.find_first_of(" \n") == std::string::npos,
             "member '" + name + "': 1 to 19 bytes without blanks");
    const auto listed = [&](const std::string& n) {
        return std::count(o.members.begin(), o.members.end(), n) == 1;
    };
    need(listed(o.self), "self '" + o.self + "' must be among the members, once");
    // What the voters answer is a constant, however many learn from them.
    o.raft.pull = std::max(o.raft.pull, kPullPerMember * static_cast<double>(o.members.size()));
    for (const std::string& name : o.voters)
        need(listed(name), "voter '" + name + "' must be among the members, once");
    return o;
}

}  // namespace

Core::Core(Options options, raft::ProcessIncarnation processIncarnation, std::uint64_t seed, Millis now,
           const std::optional<raft::PersistentState>& kept)
    : options_(checked(std::move(options), processIncarnation)),
      processIncarnation_(processIncarnation),
      raft_(options_.raft, options_.self, processIncarnation, options_.voters, seed, now, table_, kept),
      leaseManager_(options_.times, options_.self, processIncarnation, raft_, table_),
      leaseClient_(options_.times, options_.self, processIncarnation, options_.voters,
                   seed ^ 0x9E3779B97F4A7C15ULL, now, options_.willing),
      membership_(options_.membership, options_.self, options_.members, seed ^ 0xD1B54A32D192ED03ULL, now),
      prober_(options_.prober, options_.self) {}

void Core::put(gossip::Channel room, const std::string& to, const std::string& body, Step& out) {
    std::string bytes =
        gossip::seal(options_.group, {room, options_.self, processIncarnation_, raft_.number()}, body);
    if (bytes.empty()) {
        ++traffic_.tooLong;
        return;
    }
    ++traffic_.sent;
    traffic_.sentBytes += bytes.size();
    out.send.push_back({to, std::move(bytes)});
}
void Core::put(const std::vector<gossip::Message>& said, Step& out) {
    for (const gossip::Message& m : said) put(gossip::Channel::membership, m.to, write(m.body), out);
    for (const gossip::PresenceChange& c : membership_.takeChanges()) {
        ++out.presenceChanges;
        out.notes.push_back("member " + c.member + " is " + nameOf(c.presence) + " (incarnation " +
                            std::to_string(c.incarnation) + ")");
    }
}

void Core::settle(Millis now, raft::Actions& actions, std::vector<lease_sessions::Message>& said, Step& out) {
    // Own words to oneself are carried out at once; each may bring more.
    for (std::size_t i = 0;; ++i) {
        for (const std::uint64_t token : std::exchange(actions.confirmed, {}))
            leaseManager_.confirmed(now, token, said);
        leaseManager_.advance(now, actions, said);
        if (raft_.next() <= now) raft_.advance(now, actions);
        if (i >= said.size() && actions.confirmed.empty()) break;
        if (i >= said.size()) {
            --i;
            continue;
        }
        const lease_sessions::Message m = said[i];
        if (m.to != options_.self) continue;
        if (std::holds_alternative<lease_sessions::Ask>(m.body) ||
            std::holds_alternative<lease_sessions::Renew>(m.body))
            leaseManager_.receive(now, m, actions, said);
        else
            leaseClient_.receive(now, m, said);
    }
    for (const raft::Message& m : actions.send) put(gossip::Channel::raft, m.to, write(m.body), out);
    for (const lease_sessions::Message& m : said)
        if (m.to != options_.self && !m.to.empty())
            put(gossip::Channel::singletonRoles, m.to, write(m.body), out);
    out.keep = out.keep || actions.keep;
    out.notes.insert(out.notes.end(), actions.notes.begin(), actions.notes.end());
}

void Core::receive(Millis now, std::string_view bytes, Step& out) {
    gossip::Refusal why = gossip::Refusal::none;
    const auto opened = gossip::open(options_.group, bytes, why);
    if (!opened) {
        ++traffic_.refused[why];
        return;
    }
    const gossip::Header& h = opened->header;
    if (std::find(options_.members.begin(), options_.members.end(), h.sender) == options_.members.end() ||
        h.sender == options_.self) {
        ++traffic_.refused[gossip::Refusal::header];
        return;
    }
    ++traffic_.received;
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    if (h.room == gossip::Channel::raft) {
        const auto body = readRaft(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        raft_.receive(now, {h.sender, options_.self, h.processIncarnation, h.number, *body}, actions);
    } else if (h.room == gossip::Channel::singletonRoles) {
        const auto body = readLeaseSessions(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        if (h.number != raft_.number() || h.number == 0) return;
        const lease_sessions::Message m{h.sender, options_.self, h.processIncarnation, *body};
        if (std::holds_alternative<lease_sessions::Ask>(*body) ||
            std::holds_alternative<lease_sessions::Renew>(*body))
            leaseManager_.receive(now, m, actions, said);
        else
            leaseClient_.receive(now, m, said);
    } else if (h.room == gossip::Channel::membership) {
        const auto body = readMembership(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        std::vector<gossip::Message> words;
        membership_.receive(now, {h.sender, options_.self, *body}, words);
        return put(words, out);
    } else if (h.room == gossip::Channel::hostProber) {
        const auto body = readHostProber(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        std::vector<health_check::Message> words;
        prober_.receive(now, {h.sender, options_.self, *body},
                        leaseClient_.mayAct(now, options_.proberDuty).has_value(), words);
        for (const health_check::Message& m : words)
            put(gossip::Channel::hostProber, m.to, write(m.body), out);
        return;
    }
    settle(now, actions, said, out);
}
void Core::advance(Millis now, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    if (raft_.next() <= now) raft_.advance(now, actions);
    if (raft_.number() != 0) {
        if (now - raft_.leaderHeard() < options_.raft.electionFrom) leaseClient_.leaderIs(raft_.leader());
        if (raft_.leads()) leaseClient_.leaderIs(options_.self);
        if (leaseClient_.next() <= now) leaseClient_.advance(now, said);
    }
    settle(now, actions, said, out);
    std::vector<gossip::Message> words;
    if (membership_.next() <= now) membership_.advance(now, words);
    put(words, out);
}
Millis Core::next() const {
    const Millis at = std::min({raft_.next(), leaseManager_.next(), membership_.next()});
    return raft_.number() != 0 ? std::min(at, leaseClient_.next()) : at;
}
bool Core::found(Millis now, std::uint64_t number, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    const bool done = raft_.found(now, number, actions);
    settle(now, actions, said, out);
    return done;
}
bool Core::changeVoters(Millis now, std::vector<std::string> voters, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    const bool done = raft_.changeVoters(now, std::move(voters), actions);
    settle(now, actions, said, out);
    return done;
}
void Core::leave(Millis now, Step& out, bool forGood) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    leaseClient_.leave(now, said);
    settle(now, actions, said, out);
    if (!forGood) return;
    std::vector<gossip::Message> words;
    membership_.leave(now, words);
    put(words, out);
}

bool Core::away(Millis now, const std::string& host, Step& out) {
    const lease_sessions::SingletonRole* singletonRole = table_.singletonRole(options_.proberDuty);
    std::vector<health_check::Message> words;
    const auto advice =
        prober_.wanted(now, host, singletonRole != nullptr ? singletonRole->holder : std::string(), words);
    for (const health_check::Message& m : words) put(gossip::Channel::hostProber, m.to, write(m.body), out);
    return advice == health_check::Advice::away;
}
void Core::resume(Millis now, Step& out) {
    leaseClient_.resume();
    advance(now, out);
}

}  // namespace beechpoint::cluster
