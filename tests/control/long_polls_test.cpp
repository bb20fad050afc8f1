// Tests of the selection of long polls to answer.
#include "control/long_polls.hpp"

#include <gtest/gtest.h>

namespace beechpoint::control {
namespace {

constexpr Millis kNow = 1000;
const LongPolls::HasUpdate kNoUpdate = [](const PollRequest&) { return false; };
const LongPolls::HasUpdate kUpdate = [](const PollRequest&) { return true; };

PollRequest requestOf(const std::string& gateway) {
    PollRequest request;
    request.gateway.name = gateway;
    return request;
}

TEST(LongPolls, AreAnswerableAtTheEndOfTheirWaitOrWithAnUpdate) {
    LongPolls polls;
    polls.add(kNow, requestOf("a"), {}, 500, Freshness::fresh);
    EXPECT_TRUE(polls.takeAnswerable(kNow + 499, Freshness::fresh, 0, kNoUpdate).empty());
    EXPECT_EQ(polls.takeAnswerable(kNow + 450, Freshness::fresh, 100, kNoUpdate).size(), 1u);
    EXPECT_EQ(polls.size(), 0u);
    polls.add(kNow, requestOf("a"), {}, 500, Freshness::fresh);
    EXPECT_EQ(polls.takeAnswerable(kNow, Freshness::fresh, 0, kUpdate).size(), 1u);
}

TEST(LongPolls, AreAnswerableOnceFreshWhenTheyArrivedWhileNotFresh) {
    LongPolls polls;
    polls.add(kNow, requestOf("a"), {}, 500, Freshness::notFresh);
    EXPECT_TRUE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeAnswerable(kNow + kNotFreshWait - 1, Freshness::notFresh, 0, kUpdate).empty());
    EXPECT_EQ(polls.takeAnswerable(kNow + kNotFreshWait - 1, Freshness::fresh, 0, kNoUpdate).size(), 1u);
}

TEST(LongPolls, AreAnswerableWhenNotFreshForTheFullWait) {
    LongPolls polls;
    polls.add(kNow, requestOf("a"), {}, 2000, Freshness::fresh);
    EXPECT_FALSE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeAnswerable(kNow + 100, Freshness::notFresh, 0, kNoUpdate).empty());
    EXPECT_TRUE(polls.waitsForFreshness());
    EXPECT_TRUE(
        polls.takeAnswerable(kNow + 100 + kNotFreshWait - 1, Freshness::notFresh, 0, kNoUpdate).empty());
    EXPECT_EQ(polls.takeAnswerable(kNow + 100 + kNotFreshWait, Freshness::notFresh, 0, kNoUpdate).size(), 1u);
}

TEST(LongPolls, WaitOnWhenFreshAgainWithinTheWait) {
    LongPolls polls;
    polls.add(kNow, requestOf("a"), {}, 2000, Freshness::fresh);
    EXPECT_TRUE(polls.takeAnswerable(kNow + 100, Freshness::notFresh, 0, kNoUpdate).empty());
    EXPECT_TRUE(polls.takeAnswerable(kNow + 200, Freshness::fresh, 0, kNoUpdate).empty());
    EXPECT_FALSE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeAnswerable(kNow + 100 + kNotFreshWait, Freshness::notFresh, 0, kNoUpdate).empty());
}

TEST(LongPolls, AcceptOneOfEachGatewayUpToTheLimit) {
    LongPolls polls;
    for (std::size_t number = 0; number < kMaxLongPolls; ++number) {
        EXPECT_FALSE(polls.full());
        polls.add(kNow, requestOf("g" + std::to_string(number)), {}, 500, Freshness::fresh);
    }
    EXPECT_TRUE(polls.full());
    EXPECT_TRUE(polls.take("g7").has_value());
    EXPECT_FALSE(polls.take("g7").has_value());
    EXPECT_EQ(polls.takeAll().size(), kMaxLongPolls - 1);
    EXPECT_EQ(polls.size(), 0u);
}

}  // namespace
}  // namespace beechpoint::control
