// Reading requests of the platform's protocol.
#include "frontend/platform.hpp"

#include <gtest/gtest.h>

#include "append_bytes.hpp"
#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using State = net::HttpReader::State;

namespace {

const std::string kHeaders = "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n";
const std::string kBody = R"({"targets":[{"partition":1,"share":1}],"query":"q"})";

// The request's id, class, key and expiry, or why it was rejected.
std::string read(const std::string& bytes) {
    net::Buffer buffer;
    appendBytes(buffer, bytes);
    net::HttpReader reader(net::HttpReader::Kind::request, buffer);
    EXPECT_EQ(reader.parse(), State::complete);
    try {
        const Request request = frontend::readPlatformRequest(reader.message(), settings(), 100);
        return request.id + " " + request.klass + " " + request.key + " " +
               std::to_string(static_cast<int>(request.expires));
    } catch (const frontend::BadRequest& error) {
        return std::string("400 ") + error.what();
    }
}

TEST(PlatformRequest, IsReadFromHeadersAndBody) {
    EXPECT_EQ(read(query("t1", {3, 1}, 480)), "t1 pallet-lookup k1 580");
    EXPECT_EQ(read(post("/pallet-lookup/k", kHeaders, kBody)), "t pallet-lookup k 109");
    EXPECT_EQ(
        read(post(
            "/pallet-lookup/k", kHeaders,
            R"({"targets":[{"partition":1,"share":0.333,"est_us":9000},{"partition":0,"share":0.333,)"
            R"("route":"c41e77d0c41e77d0"},{"partition":2,"share":0.333}],"query":"q","new":{"a":[1]}})")),
        "t pallet-lookup k 109");
}

TEST(PlatformRequest, IsRejectedWhenItsBodyIsBad) {
    const std::string bodies[] = {
        "",
        "[",
        "[]",
        "{}",
        R"({"targets":[],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}]})",
        R"({"targets":[{"partition":4,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":-1,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1.5,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":"1"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.5},{"partition":1,"share":0.5}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.5},{"partition":2,"share":0.4}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.9},{"partition":2,"share":0.9}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1.5},{"partition":2,"share":-0.5}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1e999}],"query":"q"})",
        R"({"targets":[{"partition":99999999999999999999,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}],"query":"q","query":"r"})",
        R"({"targets":[{"partition":1,"share":1,"est_us":-1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"est_us":"9"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"route":"12"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}],"query":")"
        "\xff"
        R"("})",
        R"({"targets":[{"partition":1,"share":1}],"query":7})",
        R"({"targets":[{"partition":1,"share":1}],"query":"q","x":)" + std::string(30000, '[') +
            std::string(30000, ']') + "}"};
    for (const std::string& body : bodies)
        EXPECT_TRUE(read(post("/pallet-lookup/k", kHeaders, body)).starts_with("400")) << body.substr(0, 200);
}

TEST(PlatformRequest, IsRejectedWhenAHeaderIsBad) {
    const std::string heads[] = {
        "",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\n",
        "X-Trace-Id: a b\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n",
        "X-Trace-Id: t\r\nX-Qos: other\r\nX-Expires-In-Ms: 9\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9x\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: -9\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: NaN\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 99999999999999999999\r\n",
        "X-Trace-Id: t\r\nX-Trace-Id: u\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n"};
    for (const std::string& headers : heads)
        EXPECT_TRUE(read(post("/pallet-lookup/k", headers, kBody)).starts_with("400")) << headers;
}

}  // namespace
