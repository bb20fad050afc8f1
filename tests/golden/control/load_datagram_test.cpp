// Datagrams between gateways with what waits at hosts: the bytes of before are read, and written again.
#include "gateway/load_datagram.hpp"

#include <gtest/gtest.h>

#include "dispatch/prefix_affinity.hpp"
#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using gateway::LoadDatagram;
using gateway::LoadKind;

// Figures that the form holds exactly.
LoadDatagram sampleDatagram(LoadKind kind) {
    LoadDatagram datagram;
    datagram.kind = kind;
    datagram.source = 0x0102030405060708u;
    datagram.sequence = 0x11121314u;
    datagram.full = true;
    datagram.hosts = {{0x21222324u, 5, 1.5}, {0x31323334u, 255, 0.25}};
    datagram.speeds = {{0x41424344u, 1.25}, {0x51525354u, 0.5}};
    return datagram;
}

LoadDatagram largestDatagram() {
    LoadDatagram datagram = sampleDatagram(LoadKind::gateway);
    datagram.hosts.clear();
    datagram.speeds.clear();
    for (std::uint32_t host = 0; host < LoadDatagram::kMaxHosts; ++host)
        datagram.hosts.push_back({host, static_cast<int>(host), host / 4.0});
    for (std::uint32_t host = 0; host < LoadDatagram::kMaxSpeeds; ++host)
        datagram.speeds.push_back({host, host / 64.0});
    return datagram;
}

// Written alike, read as `datagram`, and what was read is written alike.
void check(const std::string& name, const LoadDatagram& datagram) {
    GoldenFile golden("load_datagrams");
    const std::string bytes = golden.check(name, gateway::encode(datagram));
    const auto read = gateway::decodeLoad(bytes);
    ASSERT_TRUE(read) << name;
    EXPECT_EQ(*read, datagram) << name;
    EXPECT_EQ(gateway::encode(*read), bytes) << name;
}

TEST(LoadDatagramTest, EachKind) {
    check("gateway", sampleDatagram(LoadKind::gateway));
    check("zone", sampleDatagram(LoadKind::zone));
    check("handed_on", sampleDatagram(LoadKind::forwarded));
}

TEST(LoadDatagramTest, Defaults) { check("empty", LoadDatagram{}); }

TEST(LoadDatagramTest, EachPartAlone) {
    LoadDatagram datagram;
    datagram.full = true;
    check("whole", datagram);
    datagram = {};
    datagram.hosts = sampleDatagram(LoadKind::gateway).hosts;
    check("hosts", datagram);
    datagram = {};
    datagram.speeds = sampleDatagram(LoadKind::gateway).speeds;
    check("speeds", datagram);
}

TEST(LoadDatagramTest, TheLargest) { check("largest", largestDatagram()); }

TEST(LoadDatagramTest, FiguresAreRoundedUpAndBounded) {
    GoldenFile golden("load_datagrams");
    LoadDatagram datagram;
    datagram.hosts = {{1, 1'000'000, 1e9}, {2, -1, -1}, {3, 1, 0.00001}};
    datagram.speeds = {{4, 1e9}, {5, -1}, {6, 0.001}};
    const auto read = gateway::decodeLoad(golden.check("bounded", gateway::encode(datagram)));
    ASSERT_TRUE(read);
    const std::vector<dispatch::HostLoad> hosts = {{1, 255, 1677.7215}, {2, 0, 0}, {3, 1, 0.0001}};
    const std::vector<dispatch::HostSpeed> speeds = {{4, 255 / 64.0}, {5, 0}, {6, 1 / 64.0}};
    EXPECT_EQ(read->hosts, hosts);
    EXPECT_EQ(read->speeds, speeds);
}

TEST(LoadDatagramTest, MoreThanFitAreLeftOut) {
    GoldenFile golden("load_datagrams");
    LoadDatagram datagram = largestDatagram();
    datagram.hosts.push_back({1000, 1, 1});
    datagram.speeds.push_back({1000, 1});
    const auto read = gateway::decodeLoad(golden.check("largest", gateway::encode(datagram)));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, largestDatagram());
}

TEST(LoadDatagramTest, NamesOfHostsAndZones) {
    GoldenFile golden("load_datagrams");
    const std::string key = std::to_string(dispatch::hostKey("host-001"));
    EXPECT_EQ(golden.check("host_key", key), key);
    const std::string source = std::to_string(dispatch::rendezvousWeight(0x0102030405060708u, "zone-a"));
    EXPECT_EQ(golden.check("zone_source", source), source);
}

}  // namespace
}  // namespace beechpoint::golden
