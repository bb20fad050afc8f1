#include "control/operator_call.hpp"

#include <gtest/gtest.h>

namespace beechpoint::control {
namespace {

TEST(OperatorCall, ParsesMethodsPathsAndVersions) {
    EXPECT_EQ(parseOperatorCall("GET", "/configuration", "").value().kind, OperatorCallKind::read);
    EXPECT_EQ(parseOperatorCall("PUT", "/configuration", "").value().kind, OperatorCallKind::put);
    EXPECT_EQ(parseOperatorCall("PATCH", "/configuration", "").value().kind, OperatorCallKind::patch);
    EXPECT_EQ(parseOperatorCall("POST", "/evacuate/a-hall", "").value().kind, OperatorCallKind::evacuate);
    EXPECT_EQ(parseOperatorCall("DELETE", "/evacuate/a-hall", "").value().kind,
              OperatorCallKind::cancelEvacuation);
    EXPECT_EQ(parseOperatorCall("POST", "/evacuate/a%20hall", "").value().zone, "a hall");
    EXPECT_EQ(parseOperatorCall("POST", "/evacuate/a%20hall", "").value().target, "/evacuate/a%20hall");
    EXPECT_FALSE(parseOperatorCall("GET", "/configuration", "").value().writes());
    EXPECT_TRUE(parseOperatorCall("PUT", "/configuration", "").value().writes());
}

TEST(OperatorCall, ParsesIfMatchWithAndWithoutQuotes) {
    for (const char* written : {"5", "\"5\"", "W/\"5\""})
        EXPECT_EQ(parseOperatorCall("PUT", "/configuration", written).value().ifMatch, "5") << written;
    EXPECT_EQ(parseOperatorCall("PUT", "/configuration", "\"").value().ifMatch, "\"");
}

TEST(OperatorCall, RejectsUnknownPathsMethodsAndZones) {
    const auto status = [](const char* method, const char* path) {
        const auto call = parseOperatorCall(method, path, "");
        return call ? 0 : statusOfCallError(call.error());
    };
    EXPECT_EQ(status("GET", "/"), 404);
    EXPECT_EQ(status("GET", "/configuration/"), 404);
    EXPECT_EQ(status("DELETE", "/configuration"), 405);
    EXPECT_EQ(status("GET", "/evacuate/a"), 405);
    EXPECT_EQ(status("POST", "/evacuate/"), 400);
    EXPECT_EQ(status("POST", "/evacuate/%4"), 400);
    EXPECT_EQ(status("POST", "/evacuate/%zz"), 400);
}

TEST(OperatorCall, DecidesWritesByTable) {
    auto call = parseOperatorCall("POST", "/evacuate/a-hall", "").value();
    Table table;
    const auto first = decide(call, table);
    ASSERT_TRUE(first.has_value());
    ASSERT_TRUE(std::holds_alternative<configuration::Accepted>(first.value()));
    apply(std::get<configuration::Accepted>(first.value()).changes, table);
    EXPECT_TRUE(std::holds_alternative<configuration::AlreadyApplied>(decide(call, table).value()));
    call.kind = OperatorCallKind::cancelEvacuation;
    EXPECT_TRUE(std::holds_alternative<configuration::Accepted>(decide(call, table).value()));
    call.kind = OperatorCallKind::put;
    call.body = "{";
    EXPECT_FALSE(decide(call, table).has_value());
}

}  // namespace
}  // namespace beechpoint::control
