// The datagrams between gatherers: every kind of message of every room, sealed under a header. Each kind comes with
// all fields set to distinct values, and with all of them at their defaults; every enumerator comes at least once.
#include <string>
#include <utility>
#include <vector>

#include "cluster/wire.hpp"
#include "golden_file.hpp"
#include "gossip/datagram.hpp"
#include "message_fields.hpp"

namespace beechpoint::golden {
namespace {

constexpr const char* kGroup = "beech.group-1";

template <class Body>
using Samples = std::vector<std::pair<std::string, Body>>;

// The header's numbers are as wide as they get.
gossip::Header headerOf(gossip::Channel room) {
    return {room, "gatherer-a", 0xfedcba9876543210, 0x123456789abcdef0};
}

// A message of each kind as it is made, with no field set; named by its number on the wire.
template <class... T>
void addDefaults(Samples<std::variant<T...>>& samples) {
    int kind = 0;
    (samples.emplace_back("default_" + std::to_string(kind++), T{}), ...);
}

Samples<raft::Body> electionSamples() {
    using namespace raft;
    return {{"pre_vote", PreVote{11, 300, 70'000}},
            {"pre_vote_reply_yes", PreVoteReply{12, true, 13}},
            {"pre_vote_reply_no", PreVoteReply{12, false, 13}},
            {"vote_ask", RequestVote{14, 5'000'000'000, 15}},
            {"vote_reply_yes", RequestVoteReply{16, true}},
            {"vote_reply_no", RequestVoteReply{16, false}}};
}

Samples<raft::Body> replicationSamples() {
    using namespace raft;
    const Entry longest{22, EntryKind::command, std::string(kMaxEntryBytes, '\xc3')};
    return {
        {"append_begin", AppendEntries{21, 22, 0xa1a2a3a4a5a6a7a8, 23, 24, true, {25, EntryKind::noOp, ""}}},
        {"append_command",
         AppendEntries{21, 22, 0xa1a2a3a4a5a6a7a8, 23, 24, true, {25, EntryKind::command, "data"}}},
        {"append_voters",
         AppendEntries{21, 22, 0xa1a2a3a4a5a6a7a8, 23, 24, true, {25, EntryKind::voters, "s1 s2 s3"}}},
        {"append_longest", AppendEntries{22, 1, 2, 3, 4, true, longest}},
        {"append_sign_of_life", AppendEntries{21, 22, 0xa1a2a3a4a5a6a7a8, 23, 24, false, {}}},
        {"append_reply_ok", AppendEntriesReply{26, true, 27, 28, false}},
        {"append_reply_counts", AppendEntriesReply{26, false, 27, 28, true}},
        {"pull", CatchUpRequest{29, 0xb1b2b3b4b5b6b7b8}},
        {"tail",
         CatchUpReply{30, 0xc1c2c3c4c5c6c7c8, 31, true, {32, EntryKind::command, std::string("a\0b", 3)}}},
        {"tail_at_the_end", CatchUpReply{30, 0xc1c2c3c4c5c6c7c8, 31, false, {}}}};
}

Samples<raft::Body> recoverySamples() {
    using namespace raft;
    return {
        {"state_ask", RecoveryRequest{0xd1d2d3d4d5d6d7d8}},
        {"state_reply_empty", RecoveryResponse{41, RecoveryStatus::empty, 42, 43, true, 44, 45, false}},
        {"state_reply_recovering",
         RecoveryResponse{41, RecoveryStatus::recovering, 42, 43, false, 44, 45, true}},
        {"state_reply_normal", RecoveryResponse{41, RecoveryStatus::normal, 42, 43, false, 44, 45, false}},
        {"found", FoundGroup{46, 0xe1e2e3e4e5e6e7e8}},
        {"piece",
         SnapshotChunk{47, 48, 49, 0xf1f2f3f4f5f6f7f8, 50, 260, 300, "the last bytes of a snapshot"}},
        {"piece_longest",
         SnapshotChunk{47, 48, 49, 51, 52, 130, 390, std::string(kSnapshotChunkBytes, '\x01')}},
        {"piece_reply", SnapshotChunkReply{53, 54, 260}}};
}

Samples<raft::Body> ledgerDefaults() {
    Samples<raft::Body> samples;
    addDefaults(samples);
    return samples;
}

Samples<lease_sessions::Body> askSamples() {
    using namespace lease_sessions;
    const auto ask = [](Operation op) {
        return CommandRequest{{op, "gatherer-b", 61, 62, 63, "layout", 64, "gatherer-c"}};
    };
    return {{"ask_open", ask(Operation::open)},       {"ask_close", ask(Operation::close)},
            {"ask_want", ask(Operation::define)},     {"ask_grant", ask(Operation::grant)},
            {"ask_give_up", ask(Operation::release)}, {"ask_hand", ask(Operation::transfer)}};
}

Samples<lease_sessions::Body> answerSamples() {
    using namespace lease_sessions;
    return {{"answer_yes", CommandReply{71, 72, {Verdict::done, 73, 74}, ""}},
            {"answer_no", CommandReply{71, 72, {Verdict::rejected, 73, 74}, "gatherer-d"}},
            {"answer_wait", CommandReply{71, 72, {Verdict::retryLater, 73, 74}, "gatherer-d"}},
            {"answer_gone", CommandReply{71, 72, {Verdict::noSession, 73, 74}, "gatherer-d"}},
            {"renew", RenewRequest{75, 76}},
            {"renewed_with_nothing_held", RenewReply{77, 78, Verdict::noSession, 79, "gatherer-e", {}}},
            {"renewed_with_two_held",
             RenewReply{77, 78, Verdict::done, 79, "gatherer-e", {{"layout", 80}, {"host-prober", 81}}}},
            {"granted", GrantNotice{82, 83, "host-prober", 0x0000000900000054}}};
}

Samples<lease_sessions::Body> dutiesDefaults() {
    Samples<lease_sessions::Body> samples;
    addDefaults(samples);
    return samples;
}

// One rumour of each kind of presence.
std::vector<gossip::Rumour> allRumours() {
    using enum gossip::Presence;
    return {{"g1", unknown, 91, 0},
            {"g2", alive, 92, 0},
            {"g3", suspect, 93, 0x9192939495969798},
            {"g4", dead, 94, 0},
            {"g5", left, 95, 0}};
}

Samples<gossip::Body> membershipSamples() {
    using namespace gossip;
    Samples<Body> samples = {{"ping", Ping{101, allRumours()}},
                             {"ping_without_rumours", Ping{101, {}}},
                             {"ping_ask", PingRequest{102, "g6", allRumours()}},
                             {"ping_ask_without_rumours", PingRequest{102, "g6", {}}},
                             {"ack", Ack{103, allRumours()}},
                             {"ack_without_rumours", Ack{103, {}}},
                             {"nack", Nack{104}}};
    addDefaults(samples);
    return samples;
}

Samples<health_check::Body> hostProberSamples() {
    using namespace health_check;
    Samples<Body> samples = {{"ask", HealthQuery{"host-17", 111}},
                             {"ask_longest", HealthQuery{std::string(kMaxHostIdBytes, 'h'), 112}},
                             {"word_there", HealthReport{"host-17", 113, true, 1500}},
                             {"word_away", HealthReport{"host-17", 113, false, 4'000'000'000}}};
    addDefaults(samples);
    return samples;
}

// Each sample as a datagram: as it was written before, and read back from those bytes.
template <class Body, class Read>
void checkDatagrams(gossip::Channel room, const std::string& prefix, const Samples<Body>& samples,
                    Read read) {
    const gossip::Header header = headerOf(room);
    for (const auto& [name, body] : samples) {
        SCOPED_TRACE(name);
        const std::string bytes = expectGolden("group_datagrams", prefix + "." + name,
                                               gossip::encodeDatagram(kGroup, header, cluster::write(body)));
        gossip::DropReason why = gossip::DropReason::none;
        const auto opened = gossip::decodeDatagram(kGroup, bytes, why);
        ASSERT_TRUE(opened) << gossip::nameOf(why);
        EXPECT_EQ(opened->header.channel, room);
        EXPECT_EQ(opened->header.sender, header.sender);
        EXPECT_EQ(opened->header.processIncarnation, header.processIncarnation);
        EXPECT_EQ(opened->header.groupNumber, header.groupNumber);
        const std::optional<Body> message = read(opened->body);
        ASSERT_TRUE(message);
        EXPECT_TRUE(sameMessage(*message, body));
    }
}

TEST(GroupDatagrams, LedgerElections) {
    checkDatagrams(gossip::Channel::raft, "ledger", electionSamples(), cluster::readRaft);
}

TEST(GroupDatagrams, LedgerReplication) {
    checkDatagrams(gossip::Channel::raft, "ledger", replicationSamples(), cluster::readRaft);
}

TEST(GroupDatagrams, LedgerRecoveryAndSnapshots) {
    checkDatagrams(gossip::Channel::raft, "ledger", recoverySamples(), cluster::readRaft);
}

TEST(GroupDatagrams, LedgerDefaults) {
    checkDatagrams(gossip::Channel::raft, "ledger", ledgerDefaults(), cluster::readRaft);
}

TEST(GroupDatagrams, DutiesRequests) {
    checkDatagrams(gossip::Channel::singletonRoles, "duties", askSamples(), cluster::readLeaseSessions);
}

TEST(GroupDatagrams, DutiesAnswers) {
    checkDatagrams(gossip::Channel::singletonRoles, "duties", answerSamples(), cluster::readLeaseSessions);
}

TEST(GroupDatagrams, DutiesDefaults) {
    checkDatagrams(gossip::Channel::singletonRoles, "duties", dutiesDefaults(), cluster::readLeaseSessions);
}

TEST(GroupDatagrams, Membership) {
    checkDatagrams(gossip::Channel::membership, "membership", membershipSamples(), cluster::readMembership);
}

TEST(GroupDatagrams, HostProber) {
    checkDatagrams(gossip::Channel::hostProber, "host_prober", hostProberSamples(), cluster::readHostProber);
}

// A member that has joined no group yet seals under number 0.
TEST(GroupDatagrams, HeaderOfAMemberWithoutAGroup) {
    const std::string bytes = expectGolden("group_datagrams", "header.without_a_group",
                                           gossip::encodeDatagram("g", {gossip::Channel::raft, "a", 1, 0},
                                                                  cluster::write(raft::RecoveryRequest{2})));
    gossip::DropReason why = gossip::DropReason::none;
    const auto opened = gossip::decodeDatagram("g", bytes, why);
    ASSERT_TRUE(opened) << gossip::nameOf(why);
    EXPECT_EQ(opened->header.sender, "a");
    EXPECT_EQ(opened->header.processIncarnation, 1u);
    EXPECT_EQ(opened->header.groupNumber, 0u);
}

// What an earlier version took for another group's it still does, and a damaged datagram is still refused.
TEST(GroupDatagrams, RefusalsOfAnEarlierVersionsBytes) {
    const Entries entries = loadFamily("group_datagrams");
    const auto found = entries.find("ledger.pre_vote");
    ASSERT_NE(found, entries.end());
    std::string bytes = found->second;
    gossip::DropReason why = gossip::DropReason::none;
    EXPECT_FALSE(gossip::decodeDatagram("another", bytes, why));
    EXPECT_EQ(why, gossip::DropReason::group);
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    EXPECT_FALSE(gossip::decodeDatagram(kGroup, bytes, why));
    EXPECT_EQ(why, gossip::DropReason::checksum);
}

}  // namespace
}  // namespace beechpoint::golden
