#include "operator_client/call_plan.hpp"

#include <gtest/gtest.h>

#include <set>

namespace beechpoint::operator_client {
namespace {

constexpr Millis kNow = 1000;

CallPlan::Settings settingsOf(std::vector<std::string> members, bool changes = false) {
    CallPlan::Settings settings;
    settings.members = std::move(members);
    settings.target = "/configuration";
    settings.changes = changes;
    settings.seed = 7;
    return settings;
}

Ending endingOf(const Step& step) { return std::get<Over>(step).ending; }
std::string addressOf(const Step& step) { return std::get<Send>(step).address; }

TEST(CallPlan, EndsOnClearAnswer) {
    for (const auto& [status, ending] : {std::pair{200, Ending::done},
                                         {204, Ending::done},
                                         {400, Ending::refused},
                                         {404, Ending::refused},
                                         {412, Ending::refused},
                                         {422, Ending::refused}}) {
        CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
        const Step first = plan.begin(kNow);
        EXPECT_EQ(addressOf(first), "a:1");
        EXPECT_EQ(std::get<Send>(first).target, "/configuration");
        EXPECT_EQ(endingOf(plan.onAnswer(kNow, status, {})), ending) << status;
    }
}

TEST(CallPlan, CallsNextMemberAfterFailureOrBusyAnswer) {
    for (const int status : {408, 429, 500, 502, 503, 504, 302, 304}) {
        CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
        plan.begin(kNow);
        EXPECT_EQ(addressOf(plan.onAnswer(kNow, status, {})), "b:1") << status;
    }
    CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
    plan.begin(kNow);
    EXPECT_EQ(addressOf(plan.onFailure(kNow, true)), "b:1");
}

TEST(CallPlan, FollowsAtMostTwoRedirectsInARow) {
    CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
    plan.begin(kNow);
    const Step second = plan.onAnswer(kNow, 307, "http://c:2/configuration?x=1");
    EXPECT_EQ(addressOf(second), "c:2");
    EXPECT_EQ(std::get<Send>(second).target, "/configuration?x=1");
    EXPECT_EQ(addressOf(plan.onAnswer(kNow, 307, "http://d:2/configuration")), "d:2");
    const Step third = plan.onAnswer(kNow, 307, "http://e:2/configuration");
    EXPECT_EQ(addressOf(third), "b:1");
    EXPECT_EQ(std::get<Send>(third).target, "/configuration");
    // Another member's redirects count anew.
    EXPECT_EQ(addressOf(plan.onAnswer(kNow, 307, "http://c:2/configuration")), "c:2");
}

TEST(CallPlan, CallsNextMemberAfterInvalidRedirect) {
    for (const std::string_view location :
         {"", "c:2", "https://c:2/x", "http://", "http:///x", "http://c:2"}) {
        CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
        plan.begin(kNow);
        EXPECT_EQ(addressOf(plan.onAnswer(kNow, 307, location)), "b:1") << location;
    }
}

TEST(CallPlan, CallsNextMemberWhenRedirectTargetIsUnreachable) {
    CallPlan plan(settingsOf({"a:1", "b:1"}), kNow);
    plan.begin(kNow);
    plan.onAnswer(kNow, 307, "http://c:2/configuration");
    EXPECT_EQ(addressOf(plan.onFailure(kNow, false)), "b:1");
}

// After each round of all members there is a backoff; backoffs grow to a bound, and the first member is asked again.
TEST(CallPlan, BackoffDoublesToItsBoundWhenAllMembersFail) {
    auto settings = settingsOf({"a:1", "b:1"});
    settings.total = 60'000;
    CallPlan plan(settings, kNow);
    plan.begin(kNow);
    Millis largest = 0;
    for (int round = 0; round < 8; ++round) {
        EXPECT_EQ(addressOf(plan.onFailure(kNow, false)), "b:1");
        const Millis backoff = std::get<Backoff>(plan.onFailure(kNow, false)).length;
        const Millis expected = std::min(kFirstBackoff * (1 << round), kMaxBackoff);
        EXPECT_GE(backoff, 0.75 * expected);
        EXPECT_LE(backoff, 1.25 * expected);
        largest = std::max(largest, backoff);
        EXPECT_EQ(addressOf(plan.onBackoffOver(kNow)), "a:1");
    }
    EXPECT_GT(largest, 0.7 * kMaxBackoff);
}

TEST(CallPlan, EndsWithinTotalTime) {
    CallPlan plan(settingsOf({"a:1"}), kNow);
    Millis now = kNow;
    Step step = plan.begin(now);
    int steps = 0;
    while (!std::holds_alternative<Over>(step) && ++steps < 1000) {
        if (const Send* send = std::get_if<Send>(&step)) {
            EXPECT_LE(now + send->timeout, kNow + 10'000);
            now += send->timeout;
            step = plan.onFailure(now, false);
        } else {
            now += std::get<Backoff>(step).length;
            step = plan.onBackoffOver(now);
        }
    }
    EXPECT_EQ(endingOf(step), Ending::unreachable);
    EXPECT_LE(now, kNow + 10'000);
}

TEST(CallPlan, EndsAsUnknownWhenChangeMayHaveBeenApplied) {
    const auto ended = [](bool changes, bool sent) {
        CallPlan plan(settingsOf({"a:1", "b:1"}, changes), kNow);
        plan.begin(kNow);
        plan.onFailure(kNow, sent);
        return endingOf(plan.onFailure(kNow + 10'000, false));
    };
    EXPECT_EQ(ended(true, true), Ending::unknown);
    EXPECT_EQ(ended(true, false), Ending::unreachable);
    EXPECT_EQ(ended(false, true), Ending::unreachable);
    CallPlan busy(settingsOf({"a:1"}, true), kNow);
    busy.begin(kNow);
    EXPECT_EQ(endingOf(busy.onAnswer(kNow + 10'000, 503, {})), Ending::unknown);
}

TEST(CallPlan, GivesLargeBodyMoreTime) {
    auto settings = settingsOf({"a:1"}, true);
    settings.bodyBytes = 3'000'000;
    CallPlan plan(settings, kNow);
    EXPECT_DOUBLE_EQ(std::get<Send>(plan.begin(kNow)).timeout, kCallTimeout + 3000);
}

TEST(CallPlan, IsUnreachableWithoutMembers) {
    CallPlan plan(settingsOf({}), kNow);
    EXPECT_EQ(endingOf(plan.begin(kNow)), Ending::unreachable);
}

TEST(CallPlan, AsksAtMostMaxMembers) {
    std::vector<std::string> many;
    for (std::size_t member = 0; member < 2 * kMaxMembers; ++member)
        many.push_back(std::to_string(member) + ":1");
    CallPlan plan(settingsOf(many), kNow);
    std::set<std::string> asked{addressOf(plan.begin(kNow))};
    for (Step step = plan.onFailure(kNow, false); std::holds_alternative<Send>(step);
         step = plan.onFailure(kNow, false))
        asked.insert(addressOf(step));
    EXPECT_EQ(asked.size(), kMaxMembers);
}

}  // namespace
}  // namespace beechpoint::operator_client
