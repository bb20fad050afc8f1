// Applied operations: found after any number of others, limited in number, and compared by more than their revision.
#include "configuration/applied_operations.hpp"

#include <gtest/gtest.h>

#include "configuration/body_revision.hpp"
#include "configuration/editing.hpp"
#include "configuration/table_ranges.hpp"
#include "examples.hpp"

namespace beechpoint::configuration {
namespace {

using namespace examples;

// Small configurations of one route; `timeout` tells bodies of one number apart.
std::string body(std::uint64_t revision, int timeout = 1000) {
    return completeConfiguration(
        static_cast<unsigned>(revision),
        replaced(routeJson("a", "/a/"), "\"timeout_ms\":1000", fmt::format("\"timeout_ms\":{}", timeout)),
        kModelService);
}

std::string patch(std::uint64_t revision, std::string_view name) {
    return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", revision,
                       routeJson(name, fmt::format("/{}/", name)));
}

std::size_t appliedEntries(const Table& table) {
    std::size_t count = 0;
    eachWithPrefix(table, kAppliedPrefix, [&](std::string_view, std::string_view) { ++count; });
    return count;
}

std::size_t appliedBytes(const Table& table) {
    std::size_t bytes = 0;
    eachWithPrefix(table, kAppliedPrefix, [&](std::string_view name, std::string_view value) {
        bytes += kAppliedPrefix.size() + name.size() + value.size();
    });
    return bytes;
}

// Revisions in uneven steps, of one to many digits, so that the order of the numbers is not that of unpadded texts.
std::uint64_t revisionOf(std::uint64_t operation) { return operation == 0 ? 0 : operation * operation; }

Table tableAfter(std::uint64_t operations) {
    Table table;
    for (std::uint64_t operation = 1; operation <= operations; ++operation)
        applyAccepted(table, putConfiguration(table, std::to_string(revisionOf(operation - 1)),
                                              body(revisionOf(operation))));
    return table;
}

Result<Decision> sendAgain(const Table& table, std::uint64_t operation) {
    return putConfiguration(table, std::to_string(revisionOf(operation - 1)), body(revisionOf(operation)));
}

TEST(AppliedOperations, EvictsLowestRevisionsBeyondLimit) {
    constexpr std::uint64_t kMore = 25;
    const Table table = tableAfter(kAppliedRetained + kMore);
    EXPECT_EQ(appliedEntries(table), kAppliedRetained);
    EXPECT_EQ(appliedBytes(table), kMaxAppliedBytes);
    EXPECT_EQ(table.at(std::string{kAppliedCountKey}), std::to_string(kAppliedRetained));
    for (std::uint64_t operation = 1; operation <= kMore; ++operation)
        EXPECT_EQ(errorKind(sendAgain(table, operation)), ErrorKind::conflict) << operation;
    for (std::uint64_t operation = kMore + 1; operation <= kAppliedRetained + kMore; ++operation)
        ASSERT_TRUE(alreadyApplied(sendAgain(table, operation))) << operation;
}

TEST(AppliedOperations, RecognisesPutAndPatchAfterLaterOperations) {
    Table table;
    applyAccepted(table, putConfiguration(table, "0", body(2)));
    applyAccepted(table, patchConfiguration(table, "2", patch(5, "b")));
    applyAccepted(table, putConfiguration(table, "5", body(11, 2000)));
    applyAccepted(table, patchConfiguration(table, "11", patch(12, "c")));
    applyAccepted(table, evacuate(table, "hub-hall", true));
    EXPECT_TRUE(alreadyApplied(putConfiguration(table, "0", body(2))));
    EXPECT_TRUE(alreadyApplied(patchConfiguration(table, "2", patch(5, "b"))));
    EXPECT_TRUE(alreadyApplied(putConfiguration(table, "5", body(11, 2000))));
    EXPECT_TRUE(alreadyApplied(patchConfiguration(table, "11", patch(12, "c"))));
}

TEST(AppliedOperations, RejectsOtherOperationUnderAppliedRevision) {
    Table table;
    applyAccepted(table, putConfiguration(table, "0", body(7)));
    applyAccepted(table, patchConfiguration(table, "7", patch(9, "b")));
    EXPECT_EQ(errorKind(putConfiguration(table, "0", body(7, 2000))), ErrorKind::conflict);
    EXPECT_EQ(errorKind(patchConfiguration(table, "7", patch(9, "c"))), ErrorKind::conflict);
    EXPECT_EQ(errorKind(putConfiguration(table, "7", body(9))), ErrorKind::conflict);
    EXPECT_EQ(errorKind(putConfiguration(table, "9", body(9))), ErrorKind::invalid);
    EXPECT_EQ(errorKind(patchConfiguration(table, "9", patch(9, "b"))), ErrorKind::invalid)
        << "on another version it is another operation";
}

// Two operators pick the same number for different changes: one is applied, and the other is rejected however often it is sent.
TEST(AppliedOperations, AppliesOneOfTwoUnderOneRevision) {
    for (const bool second : {false, true}) {
        Table table = tableWithExample();
        const std::string applied = body(9, second ? 2000 : 1000);
        const std::string other = body(9, second ? 1000 : 2000);
        applyAccepted(table, putConfiguration(table, "7", applied));
        for (int again = 0; again < 3; ++again) {
            EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", applied)));
            EXPECT_EQ(errorKind(putConfiguration(table, "7", other)), ErrorKind::conflict);
        }
        applyAccepted(table, putConfiguration(table, "9", body(10, 3000)));
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", applied)));
        EXPECT_EQ(errorKind(putConfiguration(table, "7", other)), ErrorKind::conflict);
    }
}

TEST(AppliedOperations, RecognisesOperationInAnySpellingOfIfMatch) {
    Table table = tableWithExample();
    applyAccepted(table, putConfiguration(table, "7", body(9)));
    for (const char* ifMatch : {"7", " 7", "\"7\"", "07"})
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, ifMatch, body(9)))) << ifMatch;
    for (const char* ifMatch : {"", "8", "9", "x7", "*"}) {
        const auto other = putConfiguration(table, ifMatch, body(9));
        EXPECT_FALSE(other) << ifMatch;
    }
}

// As an earlier release wrote the table: with shorter keys and without a count.
Table asOfEarlierRelease(Table table) {
    Table older;
    for (auto& [key, value] : table) {
        if (key == kAppliedCountKey) continue;
        if (!key.starts_with(kAppliedPrefix)) {
            older.emplace(key, value);
            continue;
        }
        const std::uint64_t revision = std::stoull(key.substr(kAppliedPrefix.size()));
        older.emplace(joinedKey(kAppliedPrefix, std::to_string(revision)), value);
    }
    return older;
}

TEST(AppliedOperations, RewritesKeysOfEarlierReleaseOnce) {
    for (const std::uint64_t operations : {std::uint64_t{3}, std::uint64_t{kAppliedRetained}}) {
        Table table = asOfEarlierRelease(tableAfter(operations));
        EXPECT_TRUE(alreadyApplied(sendAgain(table, 1)));
        EXPECT_TRUE(alreadyApplied(sendAgain(table, operations)));
        applyAccepted(table, sendAgain(table, operations + 1));
        applyAccepted(table, sendAgain(table, operations + 2));
        const std::uint64_t retained = std::min<std::uint64_t>(operations + 2, kAppliedRetained);
        EXPECT_EQ(appliedEntries(table), retained);
        EXPECT_EQ(table.at(std::string{kAppliedCountKey}), std::to_string(retained));
        for (std::uint64_t operation = operations + 3 - retained; operation <= operations + 2; ++operation)
            ASSERT_TRUE(alreadyApplied(sendAgain(table, operation))) << operation;
    }
}

TEST(AppliedOperations, EvictsNothingFromEmptyRangeWithWrongCount) {
    Table table = tableWithExample();
    table[std::string{kAppliedCountKey}] = std::to_string(kAppliedRetained);
    eachWithPrefix(Table{table}, kAppliedPrefix, [&](std::string_view name, std::string_view) {
        table.erase(joinedKey(kAppliedPrefix, name));
    });
    applyAccepted(table, putConfiguration(table, "7", body(9)));
    EXPECT_EQ(appliedEntries(table), 1u);
}

TEST(BodyRevision, IsFirstMemberOfThatNameAtTopLevel) {
    EXPECT_EQ(revisionOfBody(R"({"revision":7})"), 7u);
    EXPECT_EQ(revisionOfBody(R"({"a":[{"revision":1}],"b":{"revision":2}, "revision" : 7.0,"revision":8})"),
              7u);
    EXPECT_EQ(revisionOfBody(R"({"revision":18446744073709551615})"), 18446744073709551615u);
    EXPECT_EQ(revisionOfBody("{\"\\u0072evision\":7"), 7u);
    EXPECT_EQ(revisionOfBody(R"({"revision":7, whatever follows)"), 7u);
    for (const char* none : {"", "7", "[\"revision\",7]", R"([{"revision":7}])", R"({"revision":"7"})",
                             R"({"revision":-7})", R"({"revision":7.5})", R"({"revision":null,"revision":7})",
                             R"({"revision":[7]})", R"({"revision":{"revision":7}})", R"({"x":7})",
                             R"({"revision":1e300})", R"({"revision":9007199254740994.0})"})
        EXPECT_EQ(revisionOfBody(none), std::nullopt) << none;
    EXPECT_EQ(revisionOfBody(std::string(1 << 20, '[')), std::nullopt);
}

// The revision that is looked up is the one under which a body is applied.
TEST(BodyRevision, IsRevisionThatIsApplied) {
    for (const char* number : {"9", "9.0", "90e-1", "9007199254740991", "18446744073709551615"}) {
        Table table = tableWithExample();
        const std::string sent =
            replaced(completeConfiguration(9), "\"revision\":9", std::string("\"revision\":") + number);
        applyAccepted(table, putConfiguration(table, "7", sent));
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", sent))) << number;
        EXPECT_EQ(currentRevision(table), *revisionOfBody(sent)) << number;
    }
}

}  // namespace
}  // namespace beechpoint::configuration
