#include "control_messages/codec.hpp"

#include <gtest/gtest.h>

#include <limits>

#include "control/durable_records.hpp"
#include "control/replica_codec.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

leases::Gateway gateway() {
    leases::Gateway gateway;
    gateway.name = "g1";
    gateway.session = 0xffffffffffffffffu;
    gateway.zone = "z";
    gateway.region = "r";
    gateway.frontAddress = "10.0.0.1:80";
    gateway.ready = true;
    gateway.draining = true;
    gateway.load = {{"i-1", 7}};
    return gateway;
}

HostListSnapshot hostList() {
    HostListSnapshot list;
    list.version = {3, 4, 5};
    list.readAge = 12.5;
    host_discovery::Host host;
    host.instanceId = "i-1";
    host.service = "s";
    host.address = "10.0.0.9:80";
    host.zone = "z";
    host.revision = "v1";
    host.capacity = 64;
    host.state = host_discovery::HostState::draining;
    host.warmupLeft = 100;
    host.remaining = 5;
    host.phase = "both";
    host.models = {{"m", -1, {"a", "b"}}};
    list.hosts = {host, {}};
    return list;
}

TEST(Codec, DecodesAnEncodedPollRequest) {
    PollRequest request;
    request.gateway = gateway();
    request.position = {7, 9};
    request.hostList = {1, 2, 3};
    request.waitMs = 1000;
    request.requestsLoad = true;
    request.acceptsHostChanges = true;
    const std::string bytes = encode(request);
    const auto envelope = openEnvelope(bytes);
    ASSERT_TRUE(envelope.has_value());
    EXPECT_EQ(envelope.value().kind, RequestKind::poll);
    const auto read = decodePollRequest(envelope.value().body);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value().gateway, request.gateway);
    EXPECT_EQ(read.value().position, request.position);
    EXPECT_EQ(read.value().hostList, request.hostList);
    EXPECT_EQ(read.value().waitMs, request.waitMs);
    EXPECT_TRUE(read.value().requestsLoad);
    EXPECT_TRUE(read.value().acceptsHostChanges);
}

TEST(Codec, DecodesAnEncodedPollReply) {
    PollReply reply;
    reply.table = TableUpdate{{2, 3}, true, {{"a", "1"}, {"b", std::nullopt}}};
    reply.hostList = hostList();
    reply.hostListVersion = {3, 4, 5};
    reply.hostListAge = 1.5;
    reply.liveGatewayCount = 4;
    reply.maxLiveGateways = 5;
    reply.members = {"10.0.0.1:7000", "10.0.0.2:7000"};
    reply.otherGatewaysLoad = {{"i-1", 9}};
    reply.leaseMs = 3000;
    const auto read = decodePollReply(encode(reply));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value().status, PollStatus::ok);
    ASSERT_TRUE(read.value().table.has_value());
    EXPECT_EQ(read.value().table->position, reply.table->position);
    EXPECT_TRUE(read.value().table->whole);
    EXPECT_EQ(read.value().table->changes, reply.table->changes);
    ASSERT_TRUE(read.value().hostList.has_value());
    EXPECT_EQ(read.value().hostList->hosts, reply.hostList->hosts);
    EXPECT_EQ(read.value().hostList->readAge, 12.5);
    EXPECT_EQ(read.value().hostListVersion, reply.hostListVersion);
    EXPECT_EQ(read.value().hostListAge, reply.hostListAge);
    EXPECT_EQ(read.value().liveGatewayCount, reply.liveGatewayCount);
    EXPECT_EQ(read.value().maxLiveGateways, reply.maxLiveGateways);
    EXPECT_EQ(read.value().members, reply.members);
    EXPECT_EQ(read.value().otherGatewaysLoad, reply.otherGatewaysLoad);
    EXPECT_EQ(read.value().leaseMs, reply.leaseMs);
}

// Trailing fields are written only if one of them is set; otherwise the bytes are those of an earlier version.
TEST(Codec, LeavesOutLastFieldsAtTheirDefaults) {
    constexpr char kArrayOf8 = static_cast<char>(0x98);
    PollRequest request;
    request.gateway = gateway();
    EXPECT_EQ(encode(request).at(1), kArrayOf8);
    request.transferOffset = 5;
    request.clusterId = 9;
    const std::string bytes = encode(request);
    EXPECT_EQ(bytes.at(1), static_cast<char>(0x9c)) << "all 12, up to the last that is used";
    const auto read = decodePollRequest(openEnvelope(bytes).value().body);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().transferOffset, 5u);
    EXPECT_EQ(read.value().clusterId, 9u);
    EXPECT_FALSE(read.value().acceptsChunks);
    request.transferOffset = 0;
    EXPECT_EQ(encode(request).at(1), static_cast<char>(0x99)) << "the cluster is the last one used";
}

TEST(Codec, LeavesAChunkOfATablePacked) {
    PollReply reply;
    reply.packedTable = "a chunk";
    reply.transferDigest = 7;
    reply.transferOffset = 3;
    reply.transferSize = 20;
    reply.memberIncarnation = 11;
    const auto read = decodePollReply(encode(reply));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().packedTable, "a chunk");
    EXPECT_FALSE(read.value().table);
    EXPECT_EQ(read.value().transferDigest, 7u);
    EXPECT_EQ(read.value().transferOffset, 3u);
    EXPECT_EQ(read.value().transferSize, 20u);
    EXPECT_EQ(read.value().memberIncarnation, 11u);
}

TEST(Codec, DecodesEncodedHostListChanges) {
    PollReply reply;
    reply.hostChanges = HostListDelta{{{1, 2, 3}, {3, 4, 5}, 1950, hostList().hosts, {"i-2", "i-3"}}, 12.5};
    const auto read = decodePollReply(encode(reply));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_FALSE(read.value().hostList.has_value());
    ASSERT_TRUE(read.value().hostChanges.has_value());
    EXPECT_EQ(read.value().hostChanges->changes, reply.hostChanges->changes);
    EXPECT_EQ(read.value().hostChanges->readAge, 12.5);
}

TEST(Codec, DecodesAnEncodedPeerUpdate) {
    PeerUpdate peerUpdate;
    peerUpdate.member = "c1";
    peerUpdate.session = 5;
    peerUpdate.epoch = 6;
    peerUpdate.leases = {{gateway(), 250}};
    peerUpdate.hostListVersion = {1, 1, 1};
    peerUpdate.hostListAge = 40;
    peerUpdate.hostList = hostList();
    peerUpdate.readsHostList = true;
    const std::string bytes = encode(peerUpdate);
    const auto envelope = openEnvelope(bytes);
    ASSERT_TRUE(envelope.has_value());
    EXPECT_EQ(envelope.value().kind, RequestKind::peerUpdate);
    const auto read = decodePeerUpdate(envelope.value().body);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value().member, "c1");
    ASSERT_EQ(read.value().leases.size(), 1u);
    EXPECT_EQ(read.value().leases.front().gateway, gateway());
    EXPECT_EQ(read.value().leases.front().age, 250);
    EXPECT_EQ(read.value().hostList->hosts, peerUpdate.hostList->hosts);
    EXPECT_TRUE(read.value().readsHostList);
    const auto answer = decodePeerUpdateReply(encode(PeerUpdateReply{{1, 2, 3}, true, {7}}));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value().hostListVersion, (host_discovery::HostListVersion{1, 2, 3}));
    EXPECT_TRUE(answer.value().acceptsIncrements);
    EXPECT_EQ(answer.value().unknownLeases, std::vector<std::uint64_t>{7});
}

TEST(Codec, UnpacksPackedFieldsOfAPollReply) {
    PollReply reply;
    const HostListSnapshot snapshot = hostList();
    reply.packedHostList = packHostList(*toHostList(snapshot, 0));
    reply.hostListReadAge = 70;
    reply.packedDirectory = packDirectory({gateway()});
    reply.retryAfterMs = 250;
    reply.members = {"a:1", "b:1"};
    reply.memberRegions = {"r1", ""};
    const auto read = decodePollReply(encode(reply));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    ASSERT_TRUE(read.value().hostList.has_value());
    EXPECT_EQ(read.value().hostList->version, snapshot.version);
    EXPECT_EQ(read.value().hostList->hosts, snapshot.hosts);
    EXPECT_EQ(read.value().hostList->readAge, 70);
    EXPECT_EQ(read.value().directory, std::vector<leases::Gateway>{gateway()});
    EXPECT_EQ(read.value().retryAfterMs, 250);
    EXPECT_EQ(read.value().memberRegions, reply.memberRegions);
    EXPECT_TRUE(read.value().packedHostList.empty());
    reply.packedHostList.resize(reply.packedHostList.size() / 2);
    EXPECT_FALSE(decodePollReply(encode(reply)).has_value());
}

TEST(Codec, DecodesEncodedIncrementsOfAPeerUpdate) {
    PeerUpdate peerUpdate;
    peerUpdate.renewals = {{7, 250}, {8, 0}};
    host_discovery::HostListChanges changes;
    changes.base = {1, 1, 1};
    changes.version = {1, 2, 1};
    changes.removed = {"i-1"};
    peerUpdate.packedHostChanges = packHostChanges(changes);
    peerUpdate.hostListReadAge = 30;
    const std::string bytes = encode(peerUpdate);
    const auto read = decodePeerUpdate(openEnvelope(bytes).value().body);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value().renewals, peerUpdate.renewals);
    ASSERT_TRUE(read.value().hostChanges.has_value());
    EXPECT_EQ(read.value().hostChanges->changes, changes);
    EXPECT_EQ(read.value().hostChanges->readAge, 30);
    peerUpdate.packedHostChanges = "x";
    const std::string corrupt = encode(peerUpdate);
    EXPECT_FALSE(decodePeerUpdate(openEnvelope(corrupt).value().body).has_value());
}

TEST(Codec, NumberThatIsNotFiniteMakesMessageMalformed) {
    for (const double number :
         {std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::quiet_NaN()}) {
        PollReply lease;
        lease.leaseMs = number;
        EXPECT_FALSE(decodePollReply(encode(lease))) << number;
        PollReply age;
        age.hostListAge = number;
        EXPECT_FALSE(decodePollReply(encode(age))) << number;
        PollReply hosts;
        HostListSnapshot list = hostList();
        list.hosts.front().warmupLeft = number;
        hosts.packedHostList = packHostList(*toHostList(list, 0));
        EXPECT_FALSE(decodePollReply(encode(hosts))) << number;
        PollRequest request;
        request.waitMs = number;
        EXPECT_FALSE(decodePollRequest(openEnvelope(encode(request)).value().body)) << number;
    }
}

TEST(Codec, ReturnsErrorWhenBytesAreNoMessage) {
    EXPECT_FALSE(openEnvelope("").has_value());
    EXPECT_FALSE(openEnvelope(std::string("\0x", 2)).has_value());
    EXPECT_FALSE(openEnvelope("\x09x").has_value());
    const std::string request = encode(PollRequest{});
    for (std::size_t size = 0; size + 1 < request.size(); size++)
        EXPECT_FALSE(decodePollRequest(request.substr(1, size)).has_value()) << size;
    EXPECT_FALSE(decodePollReply("\xff").has_value());
    EXPECT_FALSE(decodePollReply("\x91\x07").has_value());  // a status that is not known
    EXPECT_FALSE(decodePeerUpdate("nonsense").has_value());
}

replica::Member member(const std::string& name) {
    return {name, 11, 12, "10.0.0.1:7000", "10.0.0.1:8146", "z", name != "uncounted"};
}

replica::View view() { return {4, {member("a"), member("b")}, {3, 9}, {member("a"), member("c")}}; }

std::vector<replica::Body> bodies() {
    const replica::ProposalNumber proposal{2, "a", 12};
    replica::Status status;
    status.sealed = status.diskFailing = status.leaving = true;
    status.syncedEpoch = 4;
    status.storedItems = 2;
    status.committed = {4, 5};
    status.reachablePeers = {"a"};
    status.unresponsivePeers = {"b"};
    status.stalledMember = "b";
    status.stored = {4, 3};
    const Batch batch{{4, 6}, {{"k", "v"}, {"gone", std::nullopt}}};
    replica::Promise promise;
    promise.proposal = proposal;
    promise.target = 5;
    promise.value = view();
    promise.accepted = proposal;
    promise.syncedEpoch = 3;
    promise.position = {4, 6};
    promise.appliedPosition = {4, 5};
    promise.diskFailing = true;
    return {replica::Heartbeat{1, 2.5},
            replica::HeartbeatReply{1, 2.5, 3, status},
            replica::Join{},
            replica::Prepare{proposal, view(), {"s1", "s2"}, true},
            promise,
            replica::Reject{proposal, 5, proposal},
            replica::Accept{proposal, view(), {}, view()},
            replica::Accepted{proposal, 5},
            replica::Decided{view()},
            replica::Propose{true, {4, 5}, batch},
            replica::Commit{{4, 6}},
            replica::SyncRequest{{1, 1}, true},
            replica::SyncReply{{1, 1}, TableUpdate{{4, 6}, false, batch.changes}}};
}

TEST(ReplicaCodec, DecodesEveryEncodedMessage) {
    std::vector<replica::Message> messages;
    for (const replica::Body& body : bodies()) messages.push_back({member("uncounted"), 4, body});
    ASSERT_EQ(messages.size(), std::variant_size_v<replica::Body>);
    const std::string bytes = encodeMessages(messages);
    const auto read = decodeMessages(bytes);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    ASSERT_EQ(read.value().size(), messages.size());
    for (std::size_t index = 0; index < messages.size(); index++) {
        EXPECT_EQ(read.value()[index].from, member("uncounted"));
        EXPECT_EQ(read.value()[index].body.index(), index);
    }
    EXPECT_EQ(encodeMessages(read.value()), bytes);
    const auto& promise = std::get<replica::Promise>(read.value()[4].body);
    EXPECT_EQ(promise.value, view());
    EXPECT_EQ(promise.accepted, (replica::ProposalNumber{2, "a", 12}));
    EXPECT_EQ(promise.syncedEpoch, 3u);
    EXPECT_EQ(promise.position, (Position{4, 6}));
    EXPECT_EQ(promise.appliedPosition, (Position{4, 5}));
    EXPECT_TRUE(promise.diskFailing);
    EXPECT_TRUE(std::get<replica::HeartbeatReply>(read.value()[1].body).status.leaving);
    EXPECT_EQ(std::get<replica::HeartbeatReply>(read.value()[1].body).status.stored, (Position{4, 3}));
    const auto& request = std::get<replica::SyncRequest>(read.value()[11].body);
    EXPECT_EQ(request.position, (Position{1, 1}));
    EXPECT_TRUE(request.full);
}

// The routes of 2,700 tenants and all applied operations that are retained, in one message.
TEST(ReplicaCodec, EncodesALargeFullTableWithinTheMessageLimit) {
    constexpr std::size_t kTenants = 2'700;
    constexpr std::size_t kRouteBytes = 550;
    constexpr std::size_t kAppliedOperations = 2'048;
    constexpr std::size_t kDigestBytes = 64;
    TableUpdate fullTable{{9, 9}, true, {}};
    for (std::size_t tenant = 0; tenant < kTenants; tenant++)
        fullTable.changes.push_back(
            {fmt::format("route/tenant-{:05}", tenant), std::string(kRouteBytes, 'r')});
    for (std::size_t operation = 0; operation < kAppliedOperations; operation++)
        fullTable.changes.push_back({fmt::format("taken/{}", operation), std::string(kDigestBytes, 'd')});
    const std::string bytes = encodeMessages({{member("a"), 4, replica::SyncReply{{1, 1}, fullTable}}});
    EXPECT_GT(bytes.size(), kTenants * kRouteBytes);
    EXPECT_LT(bytes.size(), rpc::kMaxMessageBytes / 4);
    const auto read = decodeMessages(bytes);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(std::get<replica::SyncReply>(read.value()[0].body).update.changes, fullTable.changes);
}

// An earlier version writes six fields for a member.
TEST(ReplicaCodec, DecodesAMemberWithoutItsLastFieldAsCounted) {
    const std::string bytes =
        "\x91\x93\x96\xa1"
        "a"
        "\x0b\x0c\xad"
        "10.0.0.1:7000"
        "\xad"
        "10.0.0.1:8146"
        "\xa1"
        "z"
        "\x04\x92\x02\x90";
    const auto read = decodeMessages(bytes);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value()[0].from, member("a"));
    EXPECT_TRUE(read.value()[0].from.countsAsLoss);
}

// An earlier version writes three fields for a view: its voters are its members.
TEST(ReplicaCodec, DecodesAViewWithoutVotersWithItsMembersAsElectorate) {
    replica::View older = view();
    older.voters.clear();
    std::string bytes = encodeView({{}, older});
    ASSERT_EQ(bytes.substr(0, 3), "\x92\x90\x94");
    bytes[2] = '\x93';
    bytes.pop_back();
    const auto read = decodeView(bytes);
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read.value().view, older);
    EXPECT_EQ(read.value().view.effectiveVoters(), older.members);
}

TEST(ReplicaCodec, ReturnsErrorWhenBytesAreNoMessage) {
    EXPECT_FALSE(decodeMessages("").has_value());
    EXPECT_FALSE(decodeMessages("\x91\x93").has_value());
    const std::vector<replica::Message> many(kMaxReplicaMessages + 1, {member("a"), 1, replica::Join{}});
    EXPECT_FALSE(decodeMessages(encodeMessages(many)).has_value());
    EXPECT_FALSE(decodeView("x").has_value());
    EXPECT_FALSE(decodeVote("x").has_value());
}

TEST(DurableRecords, ReadBackWhatWasStored) {
    replica::DurableUpdate update;
    update.table = TableUpdate{{4, 5}, true, {{"k", "v"}}};
    update.pending = Batch{{4, 6}, {{"l", "w"}}};
    update.syncedEpoch = 4;
    update.control = replica::ControlRecord{7, {"s1"}, view(), {5, {2, "a", 12}, {}, view()}};
    const storage::Update stored = storeUpdate(update);
    storage::Contents contents;
    contents.incarnation = stored.incarnation;
    contents.view = stored.view;
    contents.vote = stored.vote;
    contents.syncedEpoch = stored.syncedEpoch;
    contents.position = stored.snapshot->position;
    contents.table = stored.snapshot->table;
    contents.pending = stored.pending;
    const auto state = durableState(contents);
    ASSERT_TRUE(state.has_value()) << state.error().text();
    EXPECT_EQ(state.value().control, *update.control);
    EXPECT_EQ(state.value().syncedEpoch, 4u);
    EXPECT_EQ(state.value().table, (Table{{"k", "v"}}));
    EXPECT_EQ(state.value().position, (Position{4, 5}));
    EXPECT_EQ(state.value().pending, update.pending);
}

TEST(DurableRecords, FoldADeltaAndClearItsPendingBatch) {
    replica::DurableUpdate update;
    update.table = TableUpdate{{4, 6}, false, {{"l", "w"}, {"k", std::nullopt}}};
    update.clearPending = true;
    update.force = false;
    const storage::Update stored = storeUpdate(update);
    ASSERT_TRUE(stored.fold.has_value());
    EXPECT_EQ(*stored.fold, (Batch{{4, 6}, update.table->changes}));
    EXPECT_FALSE(stored.snapshot.has_value());
    EXPECT_TRUE(stored.clearPending);
    EXPECT_FALSE(stored.forceSync);
    EXPECT_FALSE(stored.view.has_value());
}

TEST(DurableRecords, ReturnErrorWhenARecordIsCorrupt) {
    storage::Contents contents;
    contents.view = "x";
    ASSERT_FALSE(durableState(contents).has_value());
    EXPECT_EQ(durableState(contents).error().kind, ErrorKind::storage);
}

}  // namespace
}  // namespace beechpoint::control
