#include "cluster/wire.hpp"

#include <algorithm>

#include "gossip/fields.hpp"

namespace beechpoint::raft {

static auto fields(Entry& x) { return std::tie(x.term, x.kind, x.data); }
static auto fields(PreVote& x) { return std::tie(x.term, x.last, x.lastTerm); }
static auto fields(PreVoteReply& x) { return std::tie(x.term, x.yes, x.known); }
static auto fields(VoteRequest& x) { return std::tie(x.term, x.last, x.lastTerm); }
static auto fields(VoteReply& x) { return std::tie(x.term, x.yes); }
static auto fields(Append& x) {
    return std::tie(x.term, x.prev, x.prevDigest, x.commit, x.round, x.holds, x.entry);
}
static auto fields(AppendReply& x) { return std::tie(x.term, x.ok, x.match, x.round, x.counts); }
static auto fields(StateRequest& x) { return std::tie(x.nonce); }
static auto fields(StateReply& x) {
    return std::tie(x.nonce, x.standing, x.term, x.promised, x.leads, x.last, x.number, x.voter);
}
static auto fields(Found& x) { return std::tie(x.number, x.processIncarnation); }
static auto fields(SnapshotChunk& x) {
    return std::tie(x.term, x.index, x.indexTerm, x.digest, x.sum, x.offset, x.total, x.bytes);
}
static auto fields(SnapshotChunkReply& x) { return std::tie(x.term, x.index, x.offset); }
static auto fields(Pull& x) { return std::tie(x.last, x.digest); }
static auto fields(Tail& x) { return std::tie(x.prev, x.prevDigest, x.commit, x.holds, x.entry); }

}  // namespace beechpoint::raft

namespace beechpoint::lease_sessions {

static auto fields(Command& x) {
    return std::tie(x.op, x.member, x.processIncarnation, x.number, x.session, x.singletonRole,
                    x.fencingToken, x.to);
}
static auto fields(Result& x) { return std::tie(x.verdict, x.fencingToken, x.session); }
static auto fields(Ask& x) { return std::tie(x.command); }
static auto fields(Answer& x) { return std::tie(x.to, x.number, x.result, x.leader); }
static auto fields(Renew& x) { return std::tie(x.session, x.number); }
static auto fields(Renewed& x) { return std::tie(x.to, x.number, x.verdict, x.session, x.leader, x.held); }
static auto fields(Granted& x) { return std::tie(x.to, x.session, x.singletonRole, x.fencingToken); }

}  // namespace beechpoint::lease_sessions

namespace beechpoint::gossip {

static auto fields(Rumour& x) { return std::tie(x.member, x.presence, x.incarnation, x.by); }
static auto fields(Ping& x) { return std::tie(x.number, x.rumours); }
static auto fields(PingAsk& x) { return std::tie(x.number, x.target, x.rumours); }
static auto fields(Ack& x) { return std::tie(x.number, x.rumours); }
static auto fields(Nack& x) { return std::tie(x.number); }

}  // namespace beechpoint::gossip

namespace beechpoint::health_check {

static auto fields(Ask& x) { return std::tie(x.host, x.number); }
static auto fields(Word& x) { return std::tie(x.host, x.number, x.there, x.ageMs); }

}  // namespace beechpoint::health_check

#include "gossip/fields.hpp"

namespace beechpoint::cluster {

namespace {
template <class... T>
std::optional<std::variant<T...>> readAs(std::string_view bytes, const std::variant<T...>*) {
    return gossip::readVariant<T...>(bytes);
}
}  // namespace

std::string write(const raft::Body& body) { return gossip::writeVariant(body); }
std::string write(const lease_sessions::Body& body) { return gossip::writeVariant(body); }
std::string write(const gossip::Body& body) { return gossip::writeVariant(body); }
std::string write(const health_check::Body& body) { return gossip::writeVariant(body); }
std::optional<raft::Body> readRaft(std::string_view bytes) {
    auto body = readAs(bytes, static_cast<const raft::Body*>(nullptr));
    const auto senseless = [](const raft::Entry& e) {
        return e.data.size() > raft::kMaxEntryBytes || e.kind > raft::Kind::voters;
    };
    if (body) {
        if (const auto* a = std::get_if<raft::Append>(&*body); a && senseless(a->entry)) return std::nullopt;
        if (const auto* t = std::get_if<raft::Tail>(&*body); t && senseless(t->entry)) return std::nullopt;
        if (const auto* r = std::get_if<raft::StateReply>(&*body); r && r->standing > raft::Standing::normal)
            return std::nullopt;
    }
    return body;
}
std::optional<lease_sessions::Body> readLeaseSessions(std::string_view bytes) {
    auto body = readAs(bytes, static_cast<const lease_sessions::Body*>(nullptr));
    if (!body) return body;
    if (const auto* a = std::get_if<lease_sessions::Ask>(&*body);
        a && a->command.op > lease_sessions::Op::hand)
        return std::nullopt;
    return body;
}

std::optional<health_check::Body> readHostProber(std::string_view bytes) {
    return readAs(bytes, static_cast<const health_check::Body*>(nullptr));
}
std::optional<gossip::Body> readMembership(std::string_view bytes) {
    auto body = readAs(bytes, static_cast<const gossip::Body*>(nullptr));
    if (!body) return body;
    const std::vector<gossip::Rumour>* told = nullptr;
    if (const auto* p = std::get_if<gossip::Ping>(&*body)) told = &p->rumours;
    if (const auto* p = std::get_if<gossip::PingAsk>(&*body)) told = &p->rumours;
    if (const auto* p = std::get_if<gossip::Ack>(&*body)) told = &p->rumours;
    if (told != nullptr && (told->size() > gossip::kRumours ||
                            std::any_of(told->begin(), told->end(), [](const gossip::Rumour& r) {
                                return r.presence > gossip::Presence::left;
                            })))
        return std::nullopt;
    return body;
}

}  // namespace beechpoint::cluster
