#include "tenants/api_key_digest.hpp"

#include <gtest/gtest.h>

#include <string>
#include <unordered_set>

namespace beechpoint::tenants {
namespace {

using namespace std::string_view_literals;

TEST(ApiKeyDigest, IsEqualForEqualKeysOnly) {
    EXPECT_TRUE(ApiKeyDigest::of("k-alder") == ApiKeyDigest::of(std::string("k-alder")));
    EXPECT_EQ(ApiKeyDigest::of("k-alder").hash(), ApiKeyDigest::of("k-alder").hash());
    for (const std::string_view other :
         {""sv, "k-alde"sv, "k-alder "sv, " k-alder"sv, "K-alder"sv, "k-alder\0"sv, "k-aldes"sv})
        EXPECT_FALSE(ApiKeyDigest::of("k-alder") == ApiKeyDigest::of(other)) << other;
}

TEST(ApiKeyDigest, CountsEveryByteOfTheKey) {
    EXPECT_FALSE(ApiKeyDigest::of("a\0b"sv) == ApiKeyDigest::of("a\0c"sv));
    EXPECT_FALSE(ApiKeyDigest::of("\xff"sv) == ApiKeyDigest::of("\x7f"sv));
    const std::string longKey(100'000, 'k');
    EXPECT_FALSE(ApiKeyDigest::of(longKey + "a") == ApiKeyDigest::of(longKey + "b"));
}

TEST(ApiKeyDigest, DiffersFromTheDigestOfTheEmptyKeyAndTheBlankDigest) {
    EXPECT_FALSE(ApiKeyDigest::of("") == ApiKeyDigest{});
    EXPECT_TRUE(ApiKeyDigest::of("") == ApiKeyDigest::of(std::string_view{}));
}

TEST(ApiKeyDigest, SpreadsOverHashes) {
    std::unordered_set<std::size_t> hashes;
    for (int i = 0; i < 10'000; ++i) hashes.insert(ApiKeyDigest::of("key-" + std::to_string(i)).hash());
    EXPECT_EQ(hashes.size(), 10'000U);
}

}  // namespace
}  // namespace beechpoint::tenants
