// Messages between gateways and control members, and between control members: the bytes of before are read, and written again.
#include <gtest/gtest.h>

#include "control/directory_sample.hpp"
#include "control_messages/codec.hpp"
#include "control_messages/table_packing.hpp"
#include "control_samples.hpp"
#include "equality.hpp"
#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using control::PeerUpdate;
using control::PeerUpdateReply;
using control::PollReply;
using control::PollRequest;
using control::RequestKind;

class ControlMessagesTest : public ::testing::Test {
protected:
    // Written alike, read as `request`, and what was read is written alike.
    void check(const std::string& name, const PollRequest& request) {
        const std::string bytes = golden_.check(name, control::encode(request));
        const auto read = control::decodePollRequest(bodyOf(bytes, RequestKind::poll));
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), request);
        EXPECT_EQ(control::encode(read.value()), bytes);
    }
    void check(const std::string& name, const PollReply& reply) {
        const std::string bytes = golden_.check(name, control::encode(reply));
        const auto read = control::decodePollReply(bytes);
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), reply);
        EXPECT_EQ(control::encode(read.value()), bytes);
    }
    void check(const std::string& name, const PeerUpdate& peerUpdate) {
        const std::string bytes = golden_.check(name, control::encode(peerUpdate));
        const auto read = control::decodePeerUpdate(bodyOf(bytes, RequestKind::peerUpdate));
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), peerUpdate);
        EXPECT_EQ(control::encode(read.value()), bytes);
    }
    void check(const std::string& name, const PeerUpdateReply& reply) {
        const std::string bytes = golden_.check(name, control::encode(reply));
        const auto read = control::decodePeerUpdateReply(bytes);
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), reply);
        EXPECT_EQ(control::encode(read.value()), bytes);
    }

    // Packed fields of `packed` are read into the plain ones, as in `plain`.
    void checkPacked(const std::string& name, const PollReply& packed, const PollReply& plain) {
        const auto read = control::decodePollReply(golden_.check(name, control::encode(packed)));
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), plain);
    }
    void checkPacked(const std::string& name, const PeerUpdate& packed, const PeerUpdate& plain) {
        const std::string bytes = golden_.check(name, control::encode(packed));
        const auto read = control::decodePeerUpdate(bodyOf(bytes, RequestKind::peerUpdate));
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), plain);
    }

    void checkPackedBytes(const std::string& name, const std::string& plain) {
        const auto read = control::unpackBytes(golden_.check(name, control::packBytes(plain)));
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), plain);
    }

    static std::string bodyOf(const std::string& bytes, RequestKind kind) {
        const auto envelope = control::openEnvelope(bytes);
        if (!envelope) {
            ADD_FAILURE() << envelope.error().text();
            return {};
        }
        EXPECT_EQ(envelope.value().kind, kind);
        return std::string(envelope.value().body);
    }

    GoldenFile golden_{"control_messages"};
};

// The list, the directory and the changes as a gateway of today gets them: packed, with the age beside them.
PollReply packedReply(std::size_t count) {
    PollReply reply;
    reply.packedTable = control::packTable(sampleTableUpdate(count));
    reply.packedHostList = control::packHostList(sampleHostList(count));
    reply.packedHostChanges = control::packHostChanges(sampleHostChanges(count));
    reply.packedDirectory = control::packDirectory(sampleDirectory(count));
    reply.hostListReadAge = 14.5;
    return reply;
}

PollReply unpackedReply(std::size_t count) {
    PollReply reply;
    reply.table = sampleTableUpdate(count);
    reply.hostList = control::HostListSnapshot{{3, 4, 5}, 14.5, sampleHosts(count)};
    reply.hostChanges = control::HostListDelta{sampleHostChanges(count), 14.5};
    reply.directory = sampleDirectory(count);
    reply.hostListReadAge = 14.5;
    return reply;
}

PeerUpdate packedShare(std::size_t count) {
    PeerUpdate peerUpdate;
    peerUpdate.member = "control-1";
    peerUpdate.packedHostList = control::packHostList(sampleHostList(count));
    peerUpdate.packedHostChanges = control::packHostChanges(sampleHostChanges(count));
    peerUpdate.hostListReadAge = 14.5;
    return peerUpdate;
}

PeerUpdate unpackedShare(std::size_t count) {
    PeerUpdate peerUpdate;
    peerUpdate.member = "control-1";
    peerUpdate.hostList = control::HostListSnapshot{{3, 4, 5}, 14.5, sampleHosts(count)};
    peerUpdate.hostChanges = control::HostListDelta{sampleHostChanges(count), 14.5};
    peerUpdate.hostListReadAge = 14.5;
    return peerUpdate;
}

constexpr std::size_t kFew = 1;    // not compressed
constexpr std::size_t kMany = 60;  // compressed

TEST_F(ControlMessagesTest, PollRequestWithAllFields) { check("poll_request/full", samplePollRequest()); }

TEST_F(ControlMessagesTest, PollRequestWithDefaults) { check("poll_request/empty", PollRequest{}); }

TEST_F(ControlMessagesTest, PollRequestWithEachFlag) {
    PollRequest request;
    request.requestsLoad = true;
    check("poll_request/wants_load", request);
    request = {};
    request.acceptsHostChanges = true;
    check("poll_request/takes_host_changes", request);
    request = {};
    request.acceptsPackedState = true;
    check("poll_request/takes_packed_state", request);
}

TEST_F(ControlMessagesTest, PollRequestOfAGatewayInEachState) {
    PollRequest request;
    request.gateway = sampleGateway();
    request.gateway.draining = false;
    check("poll_request/gateway_ready", request);
    request.gateway.ready = false;
    request.gateway.draining = true;
    check("poll_request/gateway_draining", request);
}

TEST_F(ControlMessagesTest, PollReplyWithAllPlainFields) { check("poll_reply/full", samplePollReply()); }

TEST_F(ControlMessagesTest, PollReplyWithDefaults) { check("poll_reply/empty", PollReply{}); }

TEST_F(ControlMessagesTest, PollReplyOfAMemberThatIsNotFresh) {
    PollReply reply;
    reply.status = control::PollStatus::notFresh;
    check("poll_reply/not_fresh", reply);
}

TEST_F(ControlMessagesTest, PollReplyWithEachOptionalFieldAlone) {
    const PollReply full = samplePollReply();
    PollReply reply;
    reply.table = full.table;
    check("poll_reply/table", reply);
    reply = {};
    reply.table = TableUpdate{{7, 301}, false, {{"route/removed", std::nullopt}}};
    check("poll_reply/table_changes", reply);
    reply = {};
    reply.hostList = full.hostList;
    check("poll_reply/host_list", reply);
    reply = {};
    reply.hostListAge = full.hostListAge;
    check("poll_reply/host_list_age", reply);
    reply = {};
    reply.liveGatewayCount = full.liveGatewayCount;
    check("poll_reply/live_gateways", reply);
    reply = {};
    reply.maxLiveGateways = full.maxLiveGateways;
    check("poll_reply/largest_live", reply);
    reply = {};
    reply.directory = full.directory;
    check("poll_reply/directory", reply);
    reply = {};
    reply.hostChanges = full.hostChanges;
    check("poll_reply/host_changes", reply);
}

TEST_F(ControlMessagesTest, PollReplyWithPackedFields) {
    checkPacked("poll_reply/packed", packedReply(kFew), unpackedReply(kFew));
}

TEST_F(ControlMessagesTest, PollReplyWithCompressedFields) {
    checkPacked("poll_reply/compressed", packedReply(kMany), unpackedReply(kMany));
}

TEST_F(ControlMessagesTest, ALargeTableIsCompressedByThePollReplyItself) {
    PollReply reply;
    reply.table = sampleTableUpdate(kMany);
    check("poll_reply/compressed_table", reply);
}

TEST_F(ControlMessagesTest, ShareWithAllPlainFields) { check("share/full", sampleShare()); }

TEST_F(ControlMessagesTest, ShareWithDefaults) { check("share/empty", PeerUpdate{}); }

TEST_F(ControlMessagesTest, ShareWithEachOptionalFieldAlone) {
    const PeerUpdate full = sampleShare();
    PeerUpdate peerUpdate;
    peerUpdate.hostListAge = full.hostListAge;
    check("share/host_list_age", peerUpdate);
    peerUpdate = {};
    peerUpdate.hostList = full.hostList;
    check("share/host_list", peerUpdate);
}

TEST_F(ControlMessagesTest, ShareWithPackedFields) {
    checkPacked("share/packed", packedShare(kFew), unpackedShare(kFew));
}

TEST_F(ControlMessagesTest, ShareWithCompressedFields) {
    checkPacked("share/compressed", packedShare(kMany), unpackedShare(kMany));
}

TEST_F(ControlMessagesTest, PeerUpdateReply) {
    check("share_reply/full", sampleShareReply());
    check("share_reply/empty", PeerUpdateReply{});
}

TEST_F(ControlMessagesTest, RequestsBeginWithTheirKind) {
    EXPECT_EQ(control::encode(PollRequest{}).front(), 1);
    EXPECT_EQ(static_cast<int>(RequestKind::replica), 2);
    EXPECT_EQ(control::encode(PeerUpdate{}).front(), 3);
}

// The bytes of the compressed form are also those of the zstd library.
TEST_F(ControlMessagesTest, PackedState) {
    checkPackedBytes("packed/plain", "state");
    checkPackedBytes("packed/largest_plain", std::string(511, 'x'));
    checkPackedBytes("packed/compressed", std::string(512, 'x'));
}

TEST_F(ControlMessagesTest, IdsOfWhatAGatewaySays) {
    const std::string id = std::to_string(leases::registrationId(sampleGateway()));
    EXPECT_EQ(golden_.check("lease_id/full", id), id);
    const std::string empty = std::to_string(leases::registrationId({}));
    EXPECT_EQ(golden_.check("lease_id/empty", empty), empty);
}

TEST_F(ControlMessagesTest, DigestOfTheDirectory) {
    control::DirectorySamples samples;
    samples.update(sampleDirectory(3));
    const std::string digest = std::to_string(samples.sampleFor(sampleGateway()).digest);
    EXPECT_EQ(golden_.check("directory_digest", digest), digest);
}

}  // namespace
}  // namespace beechpoint::golden
