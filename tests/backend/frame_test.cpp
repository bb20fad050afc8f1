// The frames between the gatherer and hosts, as bytes.
#include "backend/frame.hpp"

#include <gtest/gtest.h>

#include "net/utf8.hpp"

using namespace beechpoint;

namespace {

backend::FrameState read(const std::string& bytes) {
    backend::Frame frame;
    return backend::readFrame(bytes, frame);
}

TEST(Frame, IsReadOnlyWhenComplete) {
    std::string good;
    backend::writeFrame(good, 'R', "x");
    EXPECT_EQ(good, std::string("\0\0\0\2Rx", 6));
    EXPECT_EQ(read(good), backend::FrameState::complete);
    for (std::size_t n = 0; n < good.size(); ++n)
        EXPECT_EQ(read(good.substr(0, n)), backend::FrameState::more);
}

TEST(Frame, IsRejectedWhenLengthOrLetterIsBad) {
    EXPECT_EQ(read(std::string(4, '\0')), backend::FrameState::bad);
    EXPECT_EQ(read("\xff\xff\xff\xff"), backend::FrameState::bad);
    EXPECT_EQ(read(std::string("\0\0\0\x9Q", 5)), backend::FrameState::bad);  // no such letter
}

TEST(Frame, AcceptsOnlyValidUtf8AsText) {
    for (const char* text : {"", "abc", "\xc3\xa4", "\xe2\x82\xac", "\xf0\x9f\x9a\x9a", "\xf4\x8f\xbf\xbf"})
        EXPECT_TRUE(net::isUtf8(text));
    for (const char* noise : {"\xff", "\x80", "\xc3", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80",
                              "\xf4\x90\x80\x80", "a\xe2\x82"})
        EXPECT_FALSE(net::isUtf8(noise));
}

TEST(Frame, WritesPartWithItsDeadlineRoundedDownToMilliseconds) {
    std::string part;
    backend::writePart(part, "9b1f.3", 3, 240.9, "c41e77d0");
    EXPECT_EQ(part, "9b1f.3 3 d=240 8\nc41e77d0");
}

TEST(Frame, ReadsOrRejectsEachResult) {
    const struct {
        std::string rest;
        bool good;
        Outcome outcome;
        std::size_t loads;
        std::string value;
    } cases[] = {
        {"a.3 done 18 inflight=7,util=0.61\nv\n1", true, Outcome::served, 2, "v\n1"},
        {"a.3 failed 0 -\n", true, Outcome::error, 0, ""},
        {"a.3 full 0 queue=3\n", true, Outcome::turnedAway, 1, ""},
        {"a.3 done 18 -", false, {}, 0, ""},
        {"a.3 done 18\nv", false, {}, 0, ""},
        {"a.3 done 18 - x\nv", false, {}, 0, ""},
        {"a.3 maybe 18 -\nv", false, {}, 0, ""},
        {"a.3 done x -\nv", false, {}, 0, ""},
        {"a.3 done 18 queue=x\nv", true, Outcome::served, 0, "v"},  // the answer is good, its report is not
        {"a.3 done 18 =1\nv", true, Outcome::served, 0, "v"},
        {"a.3 done 18 \nv", true, Outcome::served, 0, "v"},
        {"", false, {}, 0, ""},
    };
    for (const auto& c : cases) {
        const auto result = backend::readResult(c.rest);
        ASSERT_EQ(result.has_value(), c.good) << c.rest;
        if (result) {
            EXPECT_EQ(result->id, "a.3");
            EXPECT_EQ(result->outcome, c.outcome);
            EXPECT_EQ(result->load.size(), c.loads);
            EXPECT_EQ(result->value, c.value);
        }
    }
}

}  // namespace
