// Reading discovery's host lists, and addresses.
#include "discovery/hostlist.hpp"

#include <gtest/gtest.h>

#include "backend/pool.hpp"
#include "core/clock.hpp"

using namespace beechpoint;

namespace {

TEST(HostListing, KeepsStartOfAHostOlderThanTheProcess) {
    Clock clock;
    clock.setUnixAtStart(5000);
    const std::string entry =
        R"({"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","cell":3,"lifecycle":"Ready","startedAtMs":4000})";
    const auto listing =
        discovery::parseListing(R"({"generation":4,"reset":true,"instances":[)" + entry + "]}", clock);
    EXPECT_EQ(listing.generation, 4);
    EXPECT_EQ(listing.list.kind, coordinator::ListKind::complete);
    ASSERT_EQ(listing.list.entries.size(), 1);
    // Started one second before this program: still after the clock's origin, or it would count as warm.
    EXPECT_EQ(listing.list.entries[0].entry.startedAt, toNanos(Clock::kOrigin - 1000));
}

TEST(HostListing, IsRejectedWhenAnyPartIsBad) {
    const Clock clock;
    const char* bad[] = {
        "",
        "[]",
        "{}",
        R"({"generation":1,"reset":true})",
        R"({"generation":"1","reset":true,"instances":[]})",
        R"({"generation":1,"reset":true,"instances":[7]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s"}]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s","lifecycle":"Odd"}]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"a","cell":-1,"lifecycle":"Ready"}]})"};
    for (const char* text : bad)
        EXPECT_THROW(discovery::parseListing(text, clock), discovery::BadList) << text;
}

TEST(Endpoint, IsRejectedWhenNotAddressAndPort) {
    for (const char* address : {"", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"})
        EXPECT_FALSE(backend::readEndpoint(address)) << address;
}

}  // namespace
