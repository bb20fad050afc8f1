// The comparison itself: what differs from the golden bytes, or has none, fails.
#include "golden_file.hpp"

#include <gtest/gtest-spi.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <optional>
#include <stdexcept>

namespace beechpoint::golden {
namespace {

// Compares also where the other tests write.
class GoldenFileTest : public ::testing::Test {
protected:
    GoldenFileTest() {
        if (const char* value = std::getenv(kVariable)) before_ = value;
        ::unsetenv(kVariable);
    }
    ~GoldenFileTest() override {
        if (before_) ::setenv(kVariable, before_->c_str(), 1);
    }

    GoldenFile golden_{"golden_file"};

private:
    static constexpr const char* kVariable = "GOLDEN_WRITE";
    std::optional<std::string> before_;
};

TEST_F(GoldenFileTest, TheSameBytesPassAndAreReturned) {
    EXPECT_EQ(golden_.size(), 2u);
    EXPECT_EQ(golden_.check("bytes", std::string("a\0\xff", 3)), std::string("a\0\xff", 3));
    EXPECT_EQ(golden_.check("empty", ""), "");
}

TEST_F(GoldenFileTest, OtherBytesFail) {
    EXPECT_NONFATAL_FAILURE(golden_.check("bytes", "a"), "entry 'bytes'");
    EXPECT_NONFATAL_FAILURE(golden_.check("empty", "a"), "entry 'empty'");
}

TEST_F(GoldenFileTest, AMissingEntryFails) {
    EXPECT_NONFATAL_FAILURE(golden_.check("missing", ""), "no entry 'missing'");
    GoldenFile missing("no_such_file");
    EXPECT_NONFATAL_FAILURE(missing.check("bytes", "a"), "no entry 'bytes'");
}

TEST_F(GoldenFileTest, HexGoesThereAndBack) {
    EXPECT_EQ(toHex(std::string("a\0\xff", 3)), "6100ff");
    EXPECT_EQ(fromHex("6100ff"), std::string("a\0\xff", 3));
    EXPECT_THROW(fromHex("610"), std::invalid_argument);
    EXPECT_THROW(fromHex("6g"), std::invalid_argument);
}

}  // namespace
}  // namespace beechpoint::golden
