#include "duties/intent.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "duties/duty_holder.hpp"

namespace beechpoint::duties {
namespace {

const Subject kUsage{Duty::usage, "", ""};

Subject scaling(const std::string& service, const std::string& zone) {
    return {Duty::scaling, service, zone};
}

TEST(Subject, HasAKeyOfItsOwnWhateverTheNames) {
    EXPECT_EQ(keyOf(kUsage), "usage");
    EXPECT_EQ(keyOf(scaling("writers", "hall")), "scaling/writers/hall");
    EXPECT_EQ(keyOf(scaling("a/b", "c%d")), "scaling/a%2Fb/c%25d");
    std::set<std::string> keys;
    const std::set<std::string> names{"", "/", "%", "a", "a/", "/a", "%2F", "a%", "%25"};
    for (const std::string& service : names)
        for (const std::string& zone : names) keys.insert(keyOf(scaling(service, zone)));
    EXPECT_EQ(keys.size(), names.size() * names.size());
}

TEST(Intent, KeysAreOrderedByNumber) {
    EXPECT_EQ(intentKey(kUsage, 7), "duty/usage/00000000000000000007");
    EXPECT_EQ(intentKey(kUsage, UINT64_MAX), "duty/usage/18446744073709551615");
    EXPECT_LT(intentKey(kUsage, 99), intentKey(kUsage, 100));
    EXPECT_LT(intentKey(kUsage, 9'999'999'999), intentKey(kUsage, 10'000'000'000));
}

TEST(Intent, IsReadBackAsItWasWritten) {
    for (const IntentState state : {IntentState::open, IntentState::done, IntentState::refused}) {
        Intent intent{353445120, 12, "core-\"1\"", state, ""};
        if (state == IntentState::open) intent.body = "{\"counts\":{\"h\\\"\u00e9\":412}}\n";
        const auto read = parseIntent("00000000000353445120", formatIntent(intent));
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(*read, intent);
    }
}

TEST(Intent, GarbageIsNotRead) {
    const std::string value = formatIntent({1, 2, "core-1", IntentState::open, "body"});
    for (const char* number : {"", "x", "1x", " 1", "-1", "1.5", "18446744073709551616"})
        EXPECT_FALSE(parseIntent(number, value)) << number;
    for (const char* garbage : {"", "{", "null", "[]", "7", "\"open\"", "{}", R"({"state":"open"})",
                                R"({"token":1})", R"({"state":"lost","token":1})", R"({"state":1,"token":1})",
                                R"({"state":"open","token":-1})", R"({"state":"open","token":1.5})",
                                R"({"state":"open","token":"1"})", "{\"state\":\"open\",\"token\":1"})
        EXPECT_FALSE(parseIntent("1", garbage)) << garbage;
}

TEST(Intent, EachCutOfAValueIsRefusedOrReadWhole) {
    const Intent intent{1, 2, "core-1", IntentState::open, "body"};
    const std::string value = formatIntent(intent);
    for (std::size_t length = 0; length < value.size(); ++length)
        EXPECT_FALSE(parseIntent("1", std::string_view{value}.substr(0, length))) << length;
}

TEST(DutyHolder, IsAMemberOfTheViewWhateverTheOrderOfMembers) {
    replica::View view{5, {}, {}};
    EXPECT_EQ(holderOf(kUsage, view), nullptr);
    for (const char* name : {"core-1", "core-2", "core-3"}) {
        replica::Member member;
        member.name = name;
        view.members.push_back(member);
    }
    const replica::Member* const holder = holderOf(kUsage, view);
    ASSERT_NE(holder, nullptr);
    replica::View turned = view;
    std::ranges::reverse(turned.members);
    EXPECT_EQ(holderOf(kUsage, turned)->name, holder->name);
    std::set<std::string> holders;
    for (int zone = 0; zone < 50; ++zone)
        holders.insert(holderOf(scaling("writers", std::to_string(zone)), view)->name);
    EXPECT_EQ(holders.size(), 3U) << "subjects are cut over the members";
}

}  // namespace
}  // namespace beechpoint::duties
