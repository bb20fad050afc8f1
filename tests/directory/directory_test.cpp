#include "directory/directory.hpp"

#include <gtest/gtest.h>

namespace beechpoint::directory {
namespace {

leases::Gateway gateway(const std::string& address, const std::string& zone, const std::string& region) {
    leases::Gateway gateway;
    gateway.name = address;
    gateway.frontAddress = address;
    gateway.zone = zone;
    gateway.region = region;
    gateway.ready = true;
    return gateway;
}

using Addresses = std::vector<std::string>;

std::vector<leases::Gateway> fourGateways() {
    return {gateway("a1", "za", "r1"), gateway("a2", "za", "r1"), gateway("b1", "zb", "r1"),
            gateway("c1", "zc", "r2")};
}

TEST(Directory, NamesOnlyTheClientsZoneWhenItHasEnough) {
    EXPECT_EQ(resolve(fourGateways(), "za", "r1"), (Addresses{"a1", "a2"}));
}

TEST(Directory, NamesTheRegionThenAllWhenTheZoneHasTooFew) {
    EXPECT_EQ(resolve(fourGateways(), "zb", "r1"), (Addresses{"b1", "a1", "a2"}));
    EXPECT_EQ(resolve(fourGateways(), "zc", "r2"), (Addresses{"c1"}));
    EXPECT_EQ(resolve(fourGateways(), "ze", "r3"), (Addresses{"a1", "a2", "b1", "c1"}));
    EXPECT_EQ(resolve(fourGateways(), "zd", "r1"), (Addresses{"a1", "a2", "b1"}));
    EXPECT_EQ(resolve(fourGateways(), "", ""), (Addresses{"a1", "a2", "b1", "c1"}));
}

TEST(Directory, LeavesOutGatewaysThatAreNotReadyOrDraining) {
    auto gateways = fourGateways();
    gateways[0].ready = false;
    gateways[2].draining = true;
    EXPECT_EQ(resolve(gateways, "za", "r1"), (Addresses{"a2"}));
    gateways[1].ready = false;
    EXPECT_EQ(resolve(gateways, "za", "r1"), (Addresses{"c1"}));
    for (auto& each : gateways) each.ready = false;
    EXPECT_TRUE(resolve(gateways, "za", "r1").empty());
}

TEST(Directory, NamesAtMostTheLimit) {
    std::vector<leases::Gateway> many;
    for (int number = 0; number < 100; number++) many.push_back(gateway(std::to_string(number), "za", "r1"));
    EXPECT_EQ(resolve(many, "za", "r1").size(), kMaxResolved);
}

TEST(Directory, DecodesQueryParameters) {
    EXPECT_EQ(queryValue("name=x&region=r%201&zone=za", "region"), "r 1");
    EXPECT_EQ(queryValue("name=x&zone=za", "zone"), "za");
    EXPECT_EQ(queryValue("name=x&zone", "zone"), "");
    EXPECT_EQ(queryValue("", "zone"), "");
    EXPECT_EQ(queryValue("zone=%2", "zone"), "");
}

TEST(Directory, RendersTheResolveBody) {
    EXPECT_EQ(renderResolved({"10.1.0.12:8144"}, 2), R"({"addresses":["10.1.0.12:8144"],"ttl_s":2.0})");
}

}  // namespace
}  // namespace beechpoint::directory
