// Which waiting polls are due.
#include "control/long_polls.hpp"

#include <gtest/gtest.h>

namespace beechpoint::control {
namespace {

constexpr Millis kNow = 1000;
const LongPolls::HasUpdate kNoNews = [](const PollRequest&) { return false; };
const LongPolls::HasUpdate kNews = [](const PollRequest&) { return true; };

PollRequest of(const std::string& gateway) {
    PollRequest request;
    request.gateway.name = gateway;
    return request;
}

TEST(LongPolls, AreDueAtTheEndOfTheirWaitAndWithNews) {
    LongPolls polls;
    polls.hold(kNow, of("a"), {}, 500, true);
    EXPECT_TRUE(polls.takeDue(kNow + 499, true, 0, kNoNews).empty());
    EXPECT_EQ(polls.takeDue(kNow + 450, true, 100, kNoNews).size(), 1u);
    EXPECT_EQ(polls.size(), 0u);
    polls.hold(kNow, of("a"), {}, 500, true);
    EXPECT_EQ(polls.takeDue(kNow, true, 0, kNews).size(), 1u);
}

TEST(LongPolls, ThatCameWhileNotFreshAreAnsweredAsSoonAsItIs) {
    LongPolls polls;
    polls.hold(kNow, of("a"), {}, 500, false);
    EXPECT_TRUE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeDue(kNow + kNotFreshWait - 1, false, 0, kNews).empty());
    EXPECT_EQ(polls.takeDue(kNow + kNotFreshWait - 1, true, 0, kNoNews).size(), 1u);
}

TEST(LongPolls, AreSentAwayWhenNotFreshForTooLong) {
    LongPolls polls;
    polls.hold(kNow, of("a"), {}, 2000, true);
    EXPECT_FALSE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeDue(kNow + 100, false, 0, kNoNews).empty());
    EXPECT_TRUE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeDue(kNow + 100 + kNotFreshWait - 1, false, 0, kNoNews).empty());
    EXPECT_EQ(polls.takeDue(kNow + 100 + kNotFreshWait, false, 0, kNoNews).size(), 1u);
}

TEST(LongPolls, ThatOutlastASpellWithoutFreshnessWaitOn) {
    LongPolls polls;
    polls.hold(kNow, of("a"), {}, 2000, true);
    EXPECT_TRUE(polls.takeDue(kNow + 100, false, 0, kNoNews).empty());
    EXPECT_TRUE(polls.takeDue(kNow + 200, true, 0, kNoNews).empty());
    EXPECT_FALSE(polls.waitsForFreshness());
    EXPECT_TRUE(polls.takeDue(kNow + 100 + kNotFreshWait, false, 0, kNoNews).empty());
}

TEST(LongPolls, HoldOneAGatewayAndSoManyInAll) {
    LongPolls polls;
    for (std::size_t i = 0; i < kMaxLongPolls; ++i) {
        EXPECT_FALSE(polls.full());
        polls.hold(kNow, of("g" + std::to_string(i)), {}, 500, true);
    }
    EXPECT_TRUE(polls.full());
    EXPECT_EQ(polls.take("g7").size(), 1u);
    EXPECT_TRUE(polls.take("g7").empty());
    EXPECT_EQ(polls.takeAll().size(), kMaxLongPolls - 1);
    EXPECT_EQ(polls.size(), 0u);
}

}  // namespace
}  // namespace beechpoint::control
