#include "cluster/wire.hpp"

#include <algorithm>

#include "gossip/fields.hpp"

namespace beechpoint::raft {

static auto fields(Entry& x) { return std::tie(x.term, x.kind, x.data); }
static auto fields(PreVote& x) { return std::tie(x.term, x.lastLogIndex, x.lastLogTerm); }
static auto fields(PreVoteReply& x) { return std::tie(x.term, x.voteGranted, x.newestTerm); }
static auto fields(RequestVote& x) { return std::tie(x.term, x.lastLogIndex, x.lastLogTerm); }
static auto fields(RequestVoteReply& x) { return std::tie(x.term, x.voteGranted); }
static auto fields(AppendEntries& x) {
    return std::tie(x.term, x.prevLogIndex, x.prevLogDigest, x.leaderCommit, x.heartbeatRound, x.hasEntry,
                    x.entry);
}
static auto fields(AppendEntriesReply& x) {
    return std::tie(x.term, x.success, x.matchIndex, x.heartbeatRound, x.canVote);
}
static auto fields(RecoveryRequest& x) { return std::tie(x.nonce); }
static auto fields(RecoveryResponse& x) {
    return std::tie(x.nonce, x.status, x.term, x.promisedTerm, x.isLeader, x.lastLogIndex, x.groupNumber,
                    x.askerIsVoter);
}
static auto fields(FoundGroup& x) { return std::tie(x.groupNumber, x.processIncarnation); }
static auto fields(SnapshotChunk& x) {
    return std::tie(x.term, x.lastIncludedIndex, x.lastIncludedTerm, x.lastIncludedDigest, x.checksum,
                    x.offset, x.totalBytes, x.bytes);
}
static auto fields(SnapshotChunkReply& x) { return std::tie(x.term, x.lastIncludedIndex, x.nextOffset); }
static auto fields(CatchUpRequest& x) { return std::tie(x.commitIndex, x.commitDigest); }
static auto fields(CatchUpReply& x) {
    return std::tie(x.prevLogIndex, x.prevLogDigest, x.commitIndex, x.hasEntry, x.entry);
}

}  // namespace beechpoint::raft

namespace beechpoint::lease_sessions {

static auto fields(Command& x) {
    return std::tie(x.op, x.member, x.processIncarnation, x.number, x.session, x.singletonRole,
                    x.fencingToken, x.to);
}
static auto fields(Result& x) { return std::tie(x.verdict, x.fencingToken, x.session); }
static auto fields(CommandRequest& x) { return std::tie(x.command); }
static auto fields(CommandReply& x) { return std::tie(x.to, x.number, x.result, x.leader); }
static auto fields(RenewRequest& x) { return std::tie(x.session, x.number); }
static auto fields(RenewReply& x) {
    return std::tie(x.to, x.number, x.verdict, x.session, x.leader, x.leases);
}
static auto fields(GrantNotice& x) { return std::tie(x.to, x.session, x.singletonRole, x.fencingToken); }

}  // namespace beechpoint::lease_sessions

namespace beechpoint::gossip {

static auto fields(Rumour& x) { return std::tie(x.member, x.presence, x.incarnation, x.suspectedBy); }
static auto fields(Ping& x) { return std::tie(x.number, x.rumours); }
static auto fields(PingRequest& x) { return std::tie(x.number, x.target, x.rumours); }
static auto fields(Ack& x) { return std::tie(x.number, x.rumours); }
static auto fields(Nack& x) { return std::tie(x.number); }

}  // namespace beechpoint::gossip

namespace beechpoint::health_check {

static auto fields(HealthQuery& x) { return std::tie(x.host, x.number); }
static auto fields(HealthReport& x) { return std::tie(x.host, x.number, x.reachable, x.ageMs); }

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
        return e.data.size() > raft::kMaxEntryBytes || e.kind > raft::EntryKind::voters;
    };
    if (body) {
        if (const auto* a = std::get_if<raft::AppendEntries>(&*body); a && senseless(a->entry))
            return std::nullopt;
        if (const auto* t = std::get_if<raft::CatchUpReply>(&*body); t && senseless(t->entry))
            return std::nullopt;
        if (const auto* r = std::get_if<raft::RecoveryResponse>(&*body);
            r && r->status > raft::RecoveryStatus::normal)
            return std::nullopt;
    }
    return body;
}
std::optional<lease_sessions::Body> readLeaseSessions(std::string_view bytes) {
    auto body = readAs(bytes, static_cast<const lease_sessions::Body*>(nullptr));
    if (!body) return body;
    if (const auto* a = std::get_if<lease_sessions::CommandRequest>(&*body);
        a && a->command.op > lease_sessions::Operation::transfer)
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
    if (const auto* p = std::get_if<gossip::PingRequest>(&*body)) told = &p->rumours;
    if (const auto* p = std::get_if<gossip::Ack>(&*body)) told = &p->rumours;
    if (told != nullptr && (told->size() > gossip::kMaxRumours ||
                            std::any_of(told->begin(), told->end(), [](const gossip::Rumour& r) {
                                return r.presence > gossip::Presence::left;
                            })))
        return std::nullopt;
    return body;
}

}  // namespace beechpoint::cluster
