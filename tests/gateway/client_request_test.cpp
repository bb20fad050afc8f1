// What a client's headers say, read for the dispatcher.
#include "gateway/client_request.hpp"

#include <gtest/gtest.h>

namespace beechpoint::gateway {
namespace {

TEST(PromptPrefix, ReadsPartsInOrderAndSkipsUnreadableOnes) {
    const auto parts = parsePromptPrefix("5c1e07a2:800, 91bd:410,,nocolon,x:y,:7,e4:0");
    ASSERT_EQ(parts.size(), 3u);
    EXPECT_EQ(parts[0].id, "5c1e07a2");
    EXPECT_EQ(parts[0].tokens, 800u);
    EXPECT_EQ(parts[1].id, "91bd");
    EXPECT_EQ(parts[2].tokens, 0u);
}

TEST(PromptPrefix, ReadsAtMostMaxParts) {
    std::string text;
    for (int i = 0; i < 1000; ++i) text += "a:1,";
    EXPECT_EQ(parsePromptPrefix(text).size(), kMaxPromptParts);
}

TEST(ClientRequest, KeepsEndToEndHeadersAndReadsFigures) {
    net::HttpMessage message;
    message.method = "POST";
    message.target = "/a/b?c=d";
    message.headers = {{"Host", "h.example"},        {"X-Attempt-Id", "9c41"},
                       {"Connection", "keep-alive"}, {"X-Token-Usage", "1460, 80"},
                       {"Last-Event-Id", " 17 "},    {"X-Deadline-Remaining", "5000"},
                       {"Content-Length", "2"}};
    message.body = "hi";
    const ClientRequest request = readClientRequest(message);
    EXPECT_EQ(request.attemptId, "9c41");
    EXPECT_EQ(request.promptTokens, 1460u);
    EXPECT_EQ(request.outTokens, 80u);
    EXPECT_EQ(request.lastEventId, "17");
    EXPECT_EQ(request.deadline, 5000);
    EXPECT_EQ(*request.body, "hi");
    EXPECT_FALSE(upstream::findHeader(request.headers, "Connection"));
    EXPECT_TRUE(upstream::findHeader(request.headers, "Host"));
}

TEST(ClientRequest, TreatsUnreadableFiguresAsAbsent) {
    net::HttpMessage message;
    message.headers = {{"X-Deadline-Remaining", "soon"}, {"X-Token-Usage", "a,b"}};
    const ClientRequest request = readClientRequest(message);
    EXPECT_EQ(request.deadline, kDefaultDeadline);
    EXPECT_EQ(request.promptTokens, 0u);
    EXPECT_FALSE(request.body);
}

TEST(Arrival, UsesSmallerOfBothTimeoutsLessElapsedTime) {
    ClientRequest request;
    request.deadline = 5000;
    routing::RouteEntry entry;
    entry.route.timeoutMs = 3000;
    entry.route.targetLatencyMs = 600;
    entry.route.allowedRegions = {"west"};
    entry.weights = {{"a", 0.25}, {"b", 1}};
    const auto event = arrival(7, request, entry, 100);
    EXPECT_EQ(event.id, 7u);
    EXPECT_EQ(event.deadline, 2900);
    EXPECT_EQ(event.latencyTarget, 600);
    ASSERT_EQ(event.services.size(), 2u);
    EXPECT_DOUBLE_EQ(event.services[0].weight, 0.25);
    EXPECT_DOUBLE_EQ(event.services[1].weight, 0.75);
    ASSERT_TRUE(event.allowedRegions);
    EXPECT_EQ(event.allowedRegions->at(0), "west");
}

}  // namespace
}  // namespace beechpoint::gateway
