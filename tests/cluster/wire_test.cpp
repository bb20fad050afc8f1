// What goes over the wire: every message comes back as it was, within one datagram; what does not fit is refused by name.
#include "cluster/wire.hpp"

#include <gtest/gtest.h>

#include "gossip/datagram.hpp"

namespace beechpoint::cluster {
namespace {

using gossip::DropReason;

const std::string kName(raft::kMaxMemberNameBytes, 'n'), kDuty(lease_sessions::kMaxRoleNameBytes, 'd');
constexpr std::uint64_t kBig = 0xffffffffffffffffULL, kIndex = 0xffffffffULL;

std::vector<raft::Body> raftBodies() {
    using namespace raft;
    const Entry entry{kIndex, EntryKind::command, std::string(kMaxEntryBytes, '\xff')};
    return {PreVote{kIndex, kIndex, kIndex},
            PreVoteReply{kIndex, true, kIndex},
            RequestVote{kIndex, kIndex, kIndex},
            RequestVoteReply{kIndex, true},
            AppendEntries{kIndex, kIndex, kBig, kIndex, kIndex, true, entry},
            AppendEntriesReply{kIndex, true, kIndex, kIndex, true},
            RecoveryRequest{kBig},
            RecoveryResponse{kBig, RecoveryStatus::normal, kIndex, kIndex, true, kIndex, kIndex, true},
            FoundGroup{kIndex, kBig},
            SnapshotChunk{kIndex, kIndex, kIndex, kBig, kBig, 1U << 24, 1U << 24,
                          std::string(kSnapshotChunkBytes, '\xff')},
            SnapshotChunkReply{kIndex, kIndex, 1U << 24},
            CatchUpRequest{kIndex, kBig},
            CatchUpReply{kIndex, kBig, kIndex, true, entry}};
}
std::vector<lease_sessions::Body> leaseSessionBodies() {
    using namespace lease_sessions;
    RenewReply renewed{kBig, kIndex, Verdict::done, kIndex, kName, {}};
    for (std::size_t i = 0; i < kMaxLeasesPerRenewal; ++i) renewed.leases.emplace_back(kDuty, kBig);
    return {CommandRequest{{Operation::transfer, kName, kBig, kIndex, kIndex, kDuty, kBig, kName}},
            CommandReply{kBig, kIndex, {Verdict::retryLater, kBig, kIndex}, kName},
            RenewRequest{kIndex, kIndex}, renewed, GrantNotice{kBig, kIndex, kDuty, kBig}};
}
std::string sealed(gossip::Channel room, const std::string& body) {
    return gossip::encodeDatagram("gatherers", {room, kName, kBig, kIndex}, body);
}

TEST(Wire, EveryMessageFitsOneDatagramAndDecodesToItself) {
    DropReason why;
    for (const raft::Body& b : raftBodies()) {
        const std::string bytes = sealed(gossip::Channel::raft, write(b));
        ASSERT_FALSE(bytes.empty()) << b.index();
        EXPECT_LE(bytes.size(), gossip::kMaxDatagramBytes);
        const auto opened = gossip::decodeDatagram("gatherers", bytes, why);
        ASSERT_TRUE(opened) << nameOf(why);
        EXPECT_EQ(opened->header.sender, kName);
        EXPECT_EQ(opened->header.processIncarnation, kBig);
        const auto back = readRaft(opened->body);
        ASSERT_TRUE(back) << b.index();
        EXPECT_EQ(back->index(), b.index());
        EXPECT_EQ(write(*back), write(b));
    }
    for (const lease_sessions::Body& b : leaseSessionBodies()) {
        const std::string bytes = sealed(gossip::Channel::singletonRoles, write(b));
        ASSERT_FALSE(bytes.empty()) << b.index();
        const auto opened = gossip::decodeDatagram("gatherers", bytes, why);
        ASSERT_TRUE(opened);
        const auto back = readLeaseSessions(opened->body);
        ASSERT_TRUE(back);
        EXPECT_EQ(write(*back), write(b));
    }
}
TEST(Wire, RejectsEveryChangedBitAndEveryTruncation) {
    const std::string good = sealed(gossip::Channel::raft, write(raftBodies()[4]));
    DropReason why;
    for (std::size_t i = 0; i < good.size(); ++i)
        for (int bit = 0; bit < 8; ++bit) {
            std::string bad = good;
            bad[i] = static_cast<char>(bad[i] ^ (1 << bit));
            EXPECT_FALSE(gossip::decodeDatagram("gatherers", bad, why)) << i;
        }
    for (std::size_t n = 0; n < good.size(); ++n)
        EXPECT_FALSE(gossip::decodeDatagram("gatherers", good.substr(0, n), why));
    EXPECT_FALSE(gossip::decodeDatagram("gatherers", good + "x", why));
}
TEST(Wire, NamesTheReasonOfADroppedDatagram) {
    const std::string good = sealed(gossip::Channel::raft, "x");
    DropReason why = DropReason::none;
    const auto refused = [&](std::string bytes, const char* group = "gatherers") {
        return gossip::decodeDatagram(group, bytes, why) ? DropReason::none : why;
    };
    EXPECT_EQ(refused(good), DropReason::none);
    EXPECT_EQ(refused(good, "others"), DropReason::group);
    EXPECT_EQ(refused(std::string(300, 'b')), DropReason::tooLong);
    EXPECT_EQ(refused("bg"), DropReason::tooShort);
    EXPECT_EQ(refused("xx" + good.substr(2)), DropReason::foreign);
    std::string version = good;
    version[2] = 2;
    EXPECT_EQ(refused(version), DropReason::version);
    EXPECT_EQ(gossip::encodeDatagram("gatherers", {}, std::string(300, 'x')), "");
}
TEST(Wire, UnreadableSnapshotChangesNothing) {
    lease_sessions::SessionTable table;
    table.apply(
        1, 1, lease_sessions::encodeCommand({lease_sessions::Operation::define, "a", 1, 1, 0, "one", 0, ""}));
    const std::string before = table.save();
    for (const std::string& bad : {std::string("\xc1"), std::string("\x93\x01\x02\x03"), before.substr(0, 3)})
        EXPECT_FALSE(table.load(bad));
    EXPECT_EQ(table.save(), before);
    EXPECT_TRUE(table.load(before));
}
TEST(Wire, RejectsInvalidBodies) {
    for (const std::string& bad :
         {std::string(), std::string("\xc1"), std::string("\x92\x63\x90"), std::string("\x92\x00\x91\x01"),
          std::string("\x92\xff\x90"), std::string(200, '\xdd')}) {
        EXPECT_FALSE(readRaft(bad));
        EXPECT_FALSE(readLeaseSessions(bad));
    }
    raft::AppendEntries long_;
    long_.entry.data = std::string(raft::kMaxEntryBytes + 1, 'x');
    EXPECT_FALSE(readRaft(write(raft::Body(long_))));
}

}  // namespace
}  // namespace beechpoint::cluster
