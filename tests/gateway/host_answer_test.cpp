// What is believed of the head of a host's answer.
#include "gateway/host_answer.hpp"

#include <gtest/gtest.h>

#include <string>

namespace beechpoint::gateway {
namespace {

upstream::AnswerHead answer(int status, const std::string& name, const std::string& value) {
    upstream::AnswerHead head;
    head.status = status;
    head.headers = {{name, value}};
    return head;
}

TEST(HostAnswer, WarmupThatIsNoFiniteNumberIsIgnored) {
    EXPECT_EQ(warmupLeft(answer(200, "X-Warmup-Remaining", "1500")), 1500);
    EXPECT_EQ(warmupLeft(answer(503, "X-Warmup-Remaining", "0.5")), 0.5);
    for (const char* text : {"", "nan", "inf", "-inf", "-1", "1e999", "15x", "x15"})
        EXPECT_EQ(warmupLeft(answer(200, "X-Warmup-Remaining", text)), 0) << text;
}

TEST(HostAnswer, WarmupIsBoundedToAnHour) {
    EXPECT_EQ(warmupLeft(answer(200, "X-Warmup-Remaining", "1e300")), 3'600'000);
}

TEST(HostAnswer, WarmupOfAnotherInstanceIsIgnored) {
    EXPECT_EQ(warmupLeft(answer(421, "X-Warmup-Remaining", "1500")), 0);
}

TEST(HostAnswer, OnlySuccessOfTheTypeWithoutCodingIsEventStream) {
    EXPECT_TRUE(isEventStream(answer(200, "Content-Type", "text/event-stream")));
    EXPECT_TRUE(isEventStream(answer(200, "Content-Type", "Text/Event-Stream; charset=utf-8")));
    EXPECT_FALSE(isEventStream(answer(200, "Content-Type", "text/event-streams")));
    EXPECT_FALSE(isEventStream(answer(200, "Content-Type", "text/plain")));
    EXPECT_FALSE(isEventStream(answer(500, "Content-Type", "text/event-stream")));
    EXPECT_FALSE(isEventStream(upstream::AnswerHead{}));
    upstream::AnswerHead coded = answer(200, "Content-Type", "text/event-stream");
    coded.headers.push_back({"Content-Encoding", "gzip"});
    EXPECT_FALSE(isEventStream(coded));
}

}  // namespace
}  // namespace beechpoint::gateway
