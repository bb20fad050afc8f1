#include "settings/addresses.hpp"

#include <gtest/gtest.h>

namespace beechpoint::settings {
namespace {

TEST(Addresses, AcceptsIpv4Addresses) {
    for (const char* text : {"10.1.0.12", "0.0.0.0", "255.255.255.255"})
        EXPECT_TRUE(isIpv4Address(text)) << text;
}

TEST(Addresses, RejectsInvalidIpv4Addresses) {
    for (const char* text : {"", "10.1.0", "10.1.0.", "10.1.0.256", "10.1.0.12.4", "a.b.c.d", "10.1.0.-1",
                             "10.1.0.1 ", "::1", "10..0.1", "+1.0.0.1"})
        EXPECT_FALSE(isIpv4Address(text)) << text;
}

TEST(Addresses, AcceptsEndpoints) {
    for (const char* text : {"10.1.0.12:8144", "127.0.0.1:1", "127.0.0.1:65535"})
        EXPECT_TRUE(isIpv4Endpoint(text)) << text;
}

TEST(Addresses, RejectsInvalidEndpoints) {
    for (const char* text : {"", "10.1.0.12", "10.1.0.12:", "10.1.0.12:0", "10.1.0.12:65536",
                             "10.1.0.12:80:1", ":80", "10.1.0.12:-1", "host:80"})
        EXPECT_FALSE(isIpv4Endpoint(text)) << text;
}

}  // namespace
}  // namespace beechpoint::settings
