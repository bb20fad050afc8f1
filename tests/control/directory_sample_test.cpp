// Tests of the directory sample sent to a gateway.
#include "control/directory_sample.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "control_messages/codec.hpp"

namespace beechpoint::control {
namespace {

std::vector<leases::Gateway> gateways(std::size_t count, std::size_t zones, std::size_t regions) {
    std::vector<leases::Gateway> all;
    for (std::size_t number = 0; number < count; ++number) {
        leases::Gateway gateway;
        gateway.name = "g" + std::to_string(number);
        gateway.session = number + 1;
        gateway.zone = "z" + std::to_string(number % zones);
        gateway.region = "r" + std::to_string(number % zones % regions);
        gateway.frontAddress = gateway.name + ":80";
        gateway.ready = true;
        all.push_back(gateway);
    }
    return all;
}

std::map<std::string, std::size_t> byZone(const std::vector<leases::Gateway>& sample) {
    std::map<std::string, std::size_t> count;
    for (const leases::Gateway& gateway : sample) ++count[gateway.zone];
    return count;
}

TEST(DirectorySample, HasMostFromNearZonesAndSomeFromEachZone) {
    const auto count = byZone(directorySample(gateways(1000, 10, 5), "z0", "r0", 0));
    EXPECT_EQ(count.size(), 10u);
    EXPECT_EQ(count.at("z0"), kFromOwnZone);
    EXPECT_EQ(count.at("z5"), kFromOwnRegion);
    EXPECT_EQ(count.at("z1"), kFromElsewhere);
}

TEST(DirectorySample, HasAllGatewaysWhenTheyAreFew) {
    const auto all = gateways(6, 3, 3);
    EXPECT_EQ(directorySample(all, "z0", "r0", 0).size(), all.size());
}

TEST(DirectorySample, SendsAClientOfAnyZoneNoFartherThanTheFullDirectory) {
    const auto all = gateways(300, 26, 7);
    const auto sample = directorySample(all, "z3", "r3", 1);
    const auto regionOf = [&](const std::string& address) {
        return std::ranges::find(all, address, &leases::Gateway::frontAddress)->region;
    };
    for (std::size_t zone = 0; zone < 26; ++zone) {
        const std::string zoneName = "z" + std::to_string(zone);
        const std::string regionName = "r" + std::to_string(zone % 7);
        const auto addresses = directory::resolve(sample, zoneName, regionName);
        EXPECT_GE(addresses.size(), directory::kEnoughNear);
        for (const std::string& address : addresses) EXPECT_EQ(regionOf(address), regionName);
    }
}

TEST(DirectorySample, LeavesOutGatewaysThatAreNotUsable) {
    auto all = gateways(8, 2, 2);
    all[0].ready = false;
    all[2].draining = true;
    all[4].frontAddress.clear();
    const auto sample = directorySample(all, "z0", "r0", 0);
    EXPECT_EQ(byZone(sample).at("z0"), 1u);
}

TEST(DirectorySample, DiffersByGroup) {
    const auto all = gateways(64, 2, 2);
    std::set<std::string> sampled;
    for (std::size_t group = 0; group < kSampleGroups; ++group)
        for (const auto& gateway : directorySample(all, "z0", "r0", group))
            if (gateway.zone == "z1") sampled.insert(gateway.name);
    EXPECT_GT(sampled.size(), 2 * kFromElsewhere);
}

TEST(DirectorySamples, ChangeTheirDigestOnlyWithWhatClientsSee) {
    auto all = gateways(40, 2, 2);
    DirectorySamples samples;
    samples.update(all);
    const std::uint64_t before = samples.sampleFor(all[0]).digest;
    EXPECT_NE(before, 0u);
    samples.update(all);
    EXPECT_EQ(samples.sampleFor(all[0]).digest, before);
    all[2].draining = true;
    samples.update(all);
    EXPECT_NE(samples.sampleFor(all[0]).digest, before);
    all[2].draining = false;
    all[2].load = {{"i-1", 3}};
    samples.update(all);
    EXPECT_EQ(samples.sampleFor(all[0]).digest, before);
}

TEST(DirectorySamples, DecodeToTheirGatewaysWhenPacked) {
    const auto all = gateways(40, 2, 2);
    DirectorySamples samples;
    samples.update(all);
    const auto& sample = samples.sampleFor(all[0]);
    PollReply reply;
    reply.packedDirectory = sample.packed;
    const auto read = decodePollReply(encode(reply));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().directory, sample.gateways);
}

}  // namespace
}  // namespace beechpoint::control
