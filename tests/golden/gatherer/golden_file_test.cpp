// The golden files' own form, and that a difference or a missing entry is a failure.
#include "golden_file.hpp"

#include <stdexcept>

namespace beechpoint::golden {
namespace {

TEST(GoldenFile, EntriesComeBackAsTheyWere) {
    const Entries entries = {
        {"empty", ""}, {"name with: colon", "a"}, {"all", std::string("\0\x7f\xff\n", 4)}};
    EXPECT_EQ(parseEntries(formatEntries(entries)), entries);
    EXPECT_EQ(formatEntries(entries), "all: 007fff0a\nempty: \nname with: colon: 61\n");
}

TEST(GoldenFile, MalformedTextIsRefused) {
    for (const char* text : {"no entry\n", "odd: 123\n", "digit: 0g\n", "upper: 0A\n", "a: 00\na: 01\n"})
        EXPECT_THROW(parseEntries(text), std::runtime_error) << text;
}

TEST(GoldenFile, ADifferenceIsAFailure) {
    EXPECT_TRUE(matches("bytes", "bytes"));
    EXPECT_FALSE(matches("bytes", "bytez"));
    EXPECT_FALSE(matches("bytes", "byte"));
    EXPECT_FALSE(matches("bytes", "bytes "));
}

TEST(GoldenFile, AMissingEntryIsAFailure) {
    EXPECT_FALSE(matches(std::nullopt, ""));
    EXPECT_TRUE(loadFamily("no_such_family").empty());
}

}  // namespace
}  // namespace beechpoint::golden
