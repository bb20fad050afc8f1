// Covers each row of the table in authentication.hpp.
#include "tenants/authentication.hpp"

#include <gtest/gtest.h>

#include <string>

namespace beechpoint::tenants {
namespace {

using Outcome = AuthenticationOutcome;
using Fields = std::vector<std::string_view>;

class AuthenticationTest : public ::testing::Test {
protected:
    Authentication onClosedRoute(const Fields& fields) const {
        return authenticate(&directory, false, fields);
    }
    Authentication onPublicRoute(const Fields& fields) const {
        return authenticate(&directory, true, fields);
    }

    const TenantDirectory directory{
        {{.name = "alder", .apiKeys = {"k-1", "k-2"}, .priorityClass = {}, .allowedRegions = {}},
         {.name = "birch", .apiKeys = {"k-3"}, .priorityClass = {}, .allowedRegions = {}}}};
    const std::vector<Fields> withoutOneKey = {{},
                                               {""},
                                               {" \t"},
                                               {"Bearer"},
                                               {"Bearer "},
                                               {"k-1"},
                                               {"Basic k-1"},
                                               {"Bearerk-1"},
                                               {"Bearer:k-1"},
                                               {"Bea rer k-1"},
                                               {"Bearer k-1", "Bearer k-1"},
                                               {"Bearer k-1", "Basic x"},
                                               {"", "Bearer k-1"}};
    const std::vector<Fields> withAnUnknownKey = {
        {"Bearer k-9"},     {"Bearer K-1"},        {"Bearer k-1 x"},
        {"Bearer k-1,"},    {"Bearer \"k-1\""},    {"Bearer k"},
        {"Bearer k-1 k-1"}, {"Bearer Bearer k-1"}, {"Bearer k-1, Bearer k-3"}};
};

TEST_F(AuthenticationTest, IsUnrestrictedWithoutTenants) {
    for (const bool isPublic : {false, true})
        for (const Fields& fields : {Fields{}, Fields{"Bearer k-1"}, Fields{"Basic x", "Bearer k-9"}}) {
            const Authentication got = authenticate(nullptr, isPublic, fields);
            EXPECT_EQ(got.outcome, Outcome::unrestricted);
            EXPECT_TRUE(got.isAccepted());
            EXPECT_EQ(got.tenant, nullptr);
        }
}

TEST_F(AuthenticationTest, FindsTheTenantOnAnyRoute) {
    for (const bool isPublic : {false, true})
        for (const char* value : {"Bearer k-1", "bearer k-2", "BEARER k-1", " \tBearer \t k-2 \t"}) {
            const Authentication got = authenticate(&directory, isPublic, {value});
            EXPECT_EQ(got.outcome, Outcome::tenant) << value;
            EXPECT_TRUE(got.isAccepted());
            ASSERT_NE(got.tenant, nullptr) << value;
            EXPECT_EQ(got.tenant->name, "alder");
        }
    EXPECT_EQ(onClosedRoute({"Bearer k-3"}).tenant->name, "birch");
}

TEST_F(AuthenticationTest, IsAnonymousOnPublicRoutesWithoutAKnownKey) {
    for (const auto& group : {withoutOneKey, withAnUnknownKey})
        for (const Fields& fields : group) {
            const Authentication got = onPublicRoute(fields);
            EXPECT_EQ(got.outcome, Outcome::anonymous) << ::testing::PrintToString(fields);
            EXPECT_TRUE(got.isAccepted());
            EXPECT_EQ(got.tenant, nullptr);
        }
}

TEST_F(AuthenticationTest, LacksAKeyWhereNoneSeveralOrAnotherSchemeIsSent) {
    for (const Fields& fields : withoutOneKey) {
        const Authentication got = onClosedRoute(fields);
        EXPECT_EQ(got.outcome, Outcome::missingKey) << ::testing::PrintToString(fields);
        EXPECT_FALSE(got.isAccepted());
        EXPECT_EQ(got.tenant, nullptr);
    }
}

TEST_F(AuthenticationTest, RejectsAnUnknownKey) {
    for (const Fields& fields : withAnUnknownKey) {
        const Authentication got = onClosedRoute(fields);
        EXPECT_EQ(got.outcome, Outcome::unknownKey) << ::testing::PrintToString(fields);
        EXPECT_FALSE(got.isAccepted());
        EXPECT_EQ(got.tenant, nullptr);
    }
}

TEST_F(AuthenticationTest, TellsARevokedKeyFromOneThatWasNeverHeld) {
    const TenantDirectory after{{}, &directory};
    const Authentication got = authenticate(&after, false, {"Bearer k-1"});
    EXPECT_EQ(got.outcome, Outcome::revokedKey);
    EXPECT_FALSE(got.isAccepted());
    EXPECT_EQ(got.tenant, nullptr);
    EXPECT_EQ(authenticate(&after, false, {"Bearer k-9"}).outcome, Outcome::unknownKey);
    EXPECT_EQ(authenticate(&after, false, {"Basic k-1"}).outcome, Outcome::missingKey);
    EXPECT_EQ(authenticate(&after, true, {"Bearer k-1"}).outcome, Outcome::anonymous);
}

TEST_F(AuthenticationTest, FindsNoTenantInAnEmptyDirectory) {
    const TenantDirectory empty{{}};
    EXPECT_EQ(authenticate(&empty, false, {}).outcome, Outcome::missingKey);
    EXPECT_EQ(authenticate(&empty, false, {"Bearer k-1"}).outcome, Outcome::unknownKey);
    EXPECT_EQ(authenticate(&empty, true, {"Bearer k-1"}).outcome, Outcome::anonymous);
}

// An empty key in the configuration authenticates no request.
TEST_F(AuthenticationTest, DoesNotAcceptAnEmptyKey) {
    const TenantDirectory odd{
        {{.name = "alder", .apiKeys = {"", " "}, .priorityClass = {}, .allowedRegions = {}}}};
    for (const Fields& fields : {Fields{}, Fields{""}, Fields{"Bearer "}, Fields{"Bearer   "}})
        EXPECT_EQ(authenticate(&odd, false, fields).outcome, Outcome::missingKey);
}

TEST_F(AuthenticationTest, IsRejectedByDefault) { EXPECT_FALSE(Authentication{}.isAccepted()); }

TEST_F(AuthenticationTest, NamesOutcomes) {
    EXPECT_EQ(nameOf(Outcome::unrestricted), "unrestricted");
    EXPECT_EQ(nameOf(Outcome::anonymous), "anonymous");
    EXPECT_EQ(nameOf(Outcome::tenant), "tenant");
    EXPECT_EQ(nameOf(Outcome::missingKey), "missing_key");
    EXPECT_EQ(nameOf(Outcome::revokedKey), "revoked_key");
    EXPECT_EQ(nameOf(Outcome::unknownKey), "unknown_key");
}

}  // namespace
}  // namespace beechpoint::tenants
