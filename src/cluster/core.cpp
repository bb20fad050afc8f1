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
    o.raft.catchUpInterval =
        std::max(o.raft.catchUpInterval, kPullPerMember * static_cast<double>(o.members.size()));
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
                   seed ^ 0x9E3779B97F4A7C15ULL, now, options_.holdsRoles),
      membership_(options_.membership, options_.self, options_.members, seed ^ 0xD1B54A32D192ED03ULL, now),
      prober_(options_.prober, options_.self) {}

void Core::enqueue(gossip::Channel room, const std::string& to, const std::string& body, Step& out) {
    std::string bytes = gossip::encodeDatagram(
        options_.group, {room, options_.self, processIncarnation_, raft_.groupNumber()}, body);
    if (bytes.empty()) {
        ++traffic_.tooLong;
        return;
    }
    ++traffic_.sent;
    traffic_.sentBytes += bytes.size();
    out.send.push_back({to, std::move(bytes)});
}
void Core::enqueue(const std::vector<gossip::Message>& said, Step& out) {
    for (const gossip::Message& m : said) enqueue(gossip::Channel::membership, m.to, write(m.body), out);
    for (const gossip::PresenceChange& c : membership_.takeChanges()) {
        ++out.presenceChanges;
        out.events.push_back("member " + c.member + " is " + nameOf(c.presence) + " (incarnation " +
                             std::to_string(c.incarnation) + ")");
    }
}

void Core::finishStep(Millis now, raft::Actions& actions, std::vector<lease_sessions::Message>& said,
                      Step& out) {
    // Own words to oneself are carried out at once; each may bring more.
    for (std::size_t i = 0;; ++i) {
        for (const std::uint64_t token : std::exchange(actions.confirmedTokens, {}))
            leaseManager_.leadershipConfirmed(now, token, said);
        leaseManager_.advance(now, actions, said);
        if (raft_.nextDeadline() <= now) raft_.advance(now, actions);
        if (i >= said.size() && actions.confirmedTokens.empty()) break;
        if (i >= said.size()) {
            --i;
            continue;
        }
        const lease_sessions::Message m = said[i];
        if (m.to != options_.self) continue;
        if (std::holds_alternative<lease_sessions::CommandRequest>(m.body) ||
            std::holds_alternative<lease_sessions::RenewRequest>(m.body))
            leaseManager_.receive(now, m, actions, said);
        else
            leaseClient_.receive(now, m, said);
    }
    for (const raft::Message& m : actions.send) enqueue(gossip::Channel::raft, m.to, write(m.body), out);
    for (const lease_sessions::Message& m : said)
        if (m.to != options_.self && !m.to.empty())
            enqueue(gossip::Channel::singletonRoles, m.to, write(m.body), out);
    out.mustPersist = out.mustPersist || actions.mustPersist;
    out.events.insert(out.events.end(), actions.events.begin(), actions.events.end());
}

void Core::receive(Millis now, std::string_view bytes, Step& out) {
    gossip::DropReason why = gossip::DropReason::none;
    const auto opened = gossip::decodeDatagram(options_.group, bytes, why);
    if (!opened) {
        ++traffic_.refused[why];
        return;
    }
    const gossip::Header& h = opened->header;
    if (std::find(options_.members.begin(), options_.members.end(), h.sender) == options_.members.end() ||
        h.sender == options_.self) {
        ++traffic_.refused[gossip::DropReason::header];
        return;
    }
    ++traffic_.received;
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    if (h.channel == gossip::Channel::raft) {
        const auto body = readRaft(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        raft_.receive(now, {h.sender, options_.self, h.processIncarnation, h.groupNumber, *body}, actions);
    } else if (h.channel == gossip::Channel::singletonRoles) {
        const auto body = readLeaseSessions(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        if (h.groupNumber != raft_.groupNumber() || h.groupNumber == 0) return;
        const lease_sessions::Message m{h.sender, options_.self, h.processIncarnation, *body};
        if (std::holds_alternative<lease_sessions::CommandRequest>(*body) ||
            std::holds_alternative<lease_sessions::RenewRequest>(*body))
            leaseManager_.receive(now, m, actions, said);
        else
            leaseClient_.receive(now, m, said);
    } else if (h.channel == gossip::Channel::membership) {
        const auto body = readMembership(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        std::vector<gossip::Message> words;
        membership_.receive(now, {h.sender, options_.self, *body}, words);
        return enqueue(words, out);
    } else if (h.channel == gossip::Channel::hostProber) {
        const auto body = readHostProber(opened->body);
        if (!body) {
            ++traffic_.unreadable;
            return;
        }
        std::vector<health_check::Message> words;
        prober_.receive(now, {h.sender, options_.self, *body},
                        leaseClient_.mayAct(now, options_.proberDuty).has_value(), words);
        for (const health_check::Message& m : words)
            enqueue(gossip::Channel::hostProber, m.to, write(m.body), out);
        return;
    }
    finishStep(now, actions, said, out);
}
void Core::advance(Millis now, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    if (raft_.nextDeadline() <= now) raft_.advance(now, actions);
    if (raft_.groupNumber() != 0) {
        if (now - raft_.lastLeaderContact() < options_.raft.electionTimeoutMin)
            leaseClient_.setLeader(raft_.leader());
        if (raft_.isLeader()) leaseClient_.setLeader(options_.self);
        if (leaseClient_.nextDeadline() <= now) leaseClient_.advance(now, said);
    }
    finishStep(now, actions, said, out);
    std::vector<gossip::Message> words;
    if (membership_.nextDeadline() <= now) membership_.advance(now, words);
    enqueue(words, out);
}
Millis Core::nextDeadline() const {
    const Millis at =
        std::min({raft_.nextDeadline(), leaseManager_.nextDeadline(), membership_.nextDeadline()});
    return raft_.groupNumber() != 0 ? std::min(at, leaseClient_.nextDeadline()) : at;
}
bool Core::foundGroup(Millis now, std::uint64_t number, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    const bool done = raft_.foundGroup(now, number, actions);
    finishStep(now, actions, said, out);
    return done;
}
bool Core::changeVoters(Millis now, std::vector<std::string> voters, Step& out) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    const bool done = raft_.changeVoters(now, std::move(voters), actions);
    finishStep(now, actions, said, out);
    return done;
}
void Core::leave(Millis now, Step& out, bool forGood) {
    raft::Actions actions;
    std::vector<lease_sessions::Message> said;
    leaseClient_.endSession(now, said);
    finishStep(now, actions, said, out);
    if (!forGood) return;
    std::vector<gossip::Message> words;
    membership_.leave(now, words);
    enqueue(words, out);
}

bool Core::isTakenAsUnreachable(Millis now, const std::string& host, Step& out) {
    const lease_sessions::SingletonRole* singletonRole = table_.singletonRole(options_.proberDuty);
    std::vector<health_check::Message> words;
    const auto advice = prober_.probeWanted(
        now, host, singletonRole != nullptr ? singletonRole->holder : std::string(), words);
    for (const health_check::Message& m : words)
        enqueue(gossip::Channel::hostProber, m.to, write(m.body), out);
    return advice == health_check::Advice::treatAsUnreachable;
}
void Core::resume(Millis now, Step& out) {
    leaseClient_.resume();
    advance(now, out);
}

}  // namespace beechpoint::cluster
