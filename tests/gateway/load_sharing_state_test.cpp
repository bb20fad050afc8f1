// Who is sent the load that waits at the hosts: datagrams, the zone's speaker, and what is forwarded.
#include "gateway/load_sharing_state.hpp"

#include <gtest/gtest.h>

#include <set>

namespace beechpoint::gateway {
namespace {

using Outgoing = LoadSharingState::Outgoing;

leases::Gateway gateway(const std::string& name, const std::string& zone, const std::string& region,
                        std::uint64_t session) {
    leases::Gateway made;
    made.name = name;
    made.zone = zone;
    made.region = region;
    made.session = session;
    made.frontAddress = "10.0.0." + std::to_string(session) + ":80";
    made.ready = true;
    return made;
}

const std::vector<leases::Gateway> kAll{gateway("a1", "a", "r", 1), gateway("a2", "a", "r", 2),
                                        gateway("b3", "b", "r", 3), gateway("b4", "b", "r", 4),
                                        gateway("c5", "c", "far", 5)};

LoadSharingState stateOf(const leases::Gateway& self) {
    LoadSharingState state({self.name, self.zone, self.region, self.session});
    state.gateways(kAll);
    return state;
}

std::multiset<std::string> receivers(const std::vector<Outgoing>& out, LoadKind kind) {
    std::multiset<std::string> addresses;
    for (const Outgoing& each : out)
        if (decodeLoad(each.bytes)->kind == kind) addresses.insert(each.address);
    return addresses;
}

TEST(LoadDatagram, DecodesWhatItEncoded) {
    const LoadDatagram datagram{LoadKind::zone, 0x123456789ABCDEF0, 77, true, {{5, 2, 0.25}, {6, 255, 100}},
                                {{5, 1.5}}};
    EXPECT_EQ(decodeLoad(encode(datagram)), datagram);
}

TEST(LoadDatagram, IsDroppedWhenTruncatedExtendedOrCorrupt) {
    const std::string bytes = encode({LoadKind::gateway, 1, 1, false, {{5, 2, 0.25}}, {{6, 2}}});
    for (std::size_t size = 0; size < bytes.size(); ++size) EXPECT_FALSE(decodeLoad(bytes.substr(0, size)));
    EXPECT_FALSE(decodeLoad(bytes + "x"));
    for (const std::size_t offset : {0u, 1u}) {
        std::string corrupt = bytes;
        corrupt[offset] = 9;
        EXPECT_FALSE(decodeLoad(corrupt));
    }
}

TEST(LoadDatagram, EncodesBoundedFiguresInAtMost1200Bytes) {
    LoadDatagram datagram{LoadKind::gateway, 1, 1, false, {}, {}};
    for (std::uint32_t host = 0; host < 1000; ++host) {
        datagram.hosts.push_back({host, 100'000, 1e9});
        datagram.speeds.push_back({host, 1e9});
    }
    const std::string bytes = encode(datagram);
    EXPECT_LE(bytes.size(), 1200u);
    EXPECT_EQ(decodeLoad(bytes)->hosts.size(), LoadDatagram::kMaxHosts);
    EXPECT_EQ(decodeLoad(bytes)->hosts.front().waiting, 255);
}

TEST(LoadSharing, SendsChangedLoadToItsZoneAtOnce) {
    LoadSharingState state = stateOf(kAll[0]);
    const auto out = state.ownLoad({{{7, 1, 0.1}}, {}});
    EXPECT_EQ(receivers(out, LoadKind::gateway), std::multiset<std::string>{"10.0.0.2"});
    EXPECT_EQ(decodeLoad(out.front().bytes)->hosts, (std::vector<dispatch::HostLoad>{{7, 1, 0.1}}));
}

TEST(LoadSharing, LowestSessionSendsZoneDigestToOneGatewayOfEachOtherZone) {
    LoadSharingState first = stateOf(kAll[0]), second = stateOf(kAll[1]);
    first.onTimer(1000);
    second.onTimer(1000);
    for (const Outgoing& each : first.ownLoad({{{7, 1, 0.5}}, {}})) second.received(1010, each.bytes);
    for (const Outgoing& each : second.ownLoad({{{7, 2, 0.25}, {8, 1, 0.1}}, {{7, 1.5}}}))
        first.received(1010, each.bytes);
    EXPECT_TRUE(receivers(second.onTimer(1100), LoadKind::zone).empty());
    const auto out = first.onTimer(1100);
    EXPECT_EQ(receivers(out, LoadKind::zone).size(), 1u);  // of zone b; the far one is sent one less often
    const auto digest = decodeLoad(out.back().bytes);
    EXPECT_TRUE(digest->full);
    EXPECT_EQ(digest->hosts, (std::vector<dispatch::HostLoad>{{7, 3, 0.75}, {8, 1, 0.1}}));
    EXPECT_EQ(digest->speeds, (std::vector<dispatch::HostSpeed>{{7, 1.5}}));
    EXPECT_EQ(receivers(first.onTimer(1250), LoadKind::zone).count("10.0.0.5"), 1u);
}

TEST(LoadSharing, NextGatewaySendsDigestWhenSpeakerTimedOut) {
    LoadSharingState first = stateOf(kAll[0]), second = stateOf(kAll[1]);
    for (const Outgoing& each : first.onTimer(1000)) second.received(1000, each.bytes);
    second.ownLoad({{{8, 1, 0.1}}, {}});
    EXPECT_TRUE(receivers(second.onTimer(1100), LoadKind::zone).empty());
    EXPECT_FALSE(receivers(second.onTimer(1100 + LoadSharingState::kPeerTimeout), LoadKind::zone).empty());
}

TEST(LoadSharing, SendsEmptyDigestOnceWhenNothingWaitsAnyMore) {
    LoadSharingState state = stateOf(kAll[0]);
    state.onTimer(1000);
    state.ownLoad({{{8, 1, 0.1}}, {}});
    EXPECT_FALSE(receivers(state.onTimer(1100), LoadKind::zone).empty());
    state.ownLoad({{{8, 0, 0}}, {}});
    const auto last = state.onTimer(1150);
    ASSERT_EQ(receivers(last, LoadKind::zone).size(), 1u);
    EXPECT_TRUE(decodeLoad(last.back().bytes)->hosts.empty());
    EXPECT_EQ(receivers(state.onTimer(1199), LoadKind::zone).size(), 0u);
}

TEST(LoadSharing, SendsSpeedsOnceAndAtMostMaxSpeeds) {
    LoadSharingState state = stateOf(kAll[0]);
    state.onTimer(1000);
    std::vector<dispatch::HostSpeed> many(200, {8, 1.25});
    state.ownLoad({{{8, 1, 0.1}}, many});
    const auto first = state.onTimer(1060);
    EXPECT_EQ(decodeLoad(first.back().bytes)->speeds.size(), LoadDatagram::kMaxSpeeds);
    const auto second = state.onTimer(1120);
    EXPECT_TRUE(decodeLoad(second.back().bytes)->speeds.empty());
}

TEST(LoadSharing, ForwardsZoneDigestOnceAndNotAForwardedOne) {
    LoadSharingState state = stateOf(kAll[0]);
    const std::string bytes = encode({LoadKind::zone, 99, 1, true, {{7, 1, 0.5}}, {}});
    const auto received = state.received(1000, bytes);
    ASSERT_TRUE(received.load);
    EXPECT_EQ(received.load->source, 99u);
    EXPECT_EQ(receivers(received.forward, LoadKind::forwarded), std::multiset<std::string>{"10.0.0.2"});
    EXPECT_FALSE(state.received(1001, bytes).load);  // doubled
    LoadSharingState other = stateOf(kAll[1]);
    const auto forwarded = other.received(1002, received.forward.front().bytes);
    EXPECT_TRUE(forwarded.load);
    EXPECT_TRUE(forwarded.forward.empty());
}

TEST(LoadSharing, DropsOldSequencesForeignBytesAndItsOwn) {
    LoadSharingState state = stateOf(kAll[0]);
    EXPECT_TRUE(state.received(1000, encode({LoadKind::gateway, 2, 5, false, {{7, 1, 0.5}}, {}})).load);
    EXPECT_FALSE(state.received(1001, encode({LoadKind::gateway, 2, 4, false, {{7, 9, 0.5}}, {}})).load);
    EXPECT_FALSE(state.received(1001, "anything at all").load);
    EXPECT_FALSE(state.received(1001, encode({LoadKind::gateway, 1, 9, false, {}, {}})).load);  // its own
}

}  // namespace
}  // namespace beechpoint::gateway
