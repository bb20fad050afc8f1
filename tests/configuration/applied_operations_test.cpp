// What is remembered of acknowledged calls: found after any number of others, bounded, and compared by more than its number.
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
    return whole(static_cast<unsigned>(revision),
                 with(route("a", "/a/"), "\"timeout_ms\":1000", fmt::format("\"timeout_ms\":{}", timeout)),
                 kModelService);
}

std::string patch(std::uint64_t revision, std::string_view name) {
    return fmt::format(R"({{"revision":{},"upsert":{{"routes":[{}]}}}})", revision,
                       route(name, fmt::format("/{}/", name)));
}

std::size_t takenEntries(const Table& table) {
    std::size_t count = 0;
    eachWithPrefix(table, kAppliedPrefix, [&](std::string_view, std::string_view) { ++count; });
    return count;
}

std::size_t takenBytes(const Table& table) {
    std::size_t bytes = 0;
    eachWithPrefix(table, kAppliedPrefix, [&](std::string_view name, std::string_view value) {
        bytes += kAppliedPrefix.size() + name.size() + value.size();
    });
    return bytes;
}

// Revisions in uneven steps, of one to many digits, so that the order of the numbers is not that of unpadded texts.
std::uint64_t revisionOfCall(std::uint64_t call) { return call == 0 ? 0 : call * call; }

Table afterCalls(std::uint64_t calls) {
    Table table;
    for (std::uint64_t call = 1; call <= calls; ++call)
        take(table,
             putConfiguration(table, std::to_string(revisionOfCall(call - 1)), body(revisionOfCall(call))));
    return table;
}

Result<Decision> repeated(const Table& table, std::uint64_t call) {
    return putConfiguration(table, std::to_string(revisionOfCall(call - 1)), body(revisionOfCall(call)));
}

TEST(TakenCalls, AreBoundedAndTheLowestRevisionsGiveWay) {
    constexpr std::uint64_t kMore = 25;
    const Table table = afterCalls(kAppliedRetained + kMore);
    EXPECT_EQ(takenEntries(table), kAppliedRetained);
    EXPECT_EQ(takenBytes(table), kMaxAppliedBytes);
    EXPECT_EQ(table.at(std::string{kAppliedCountKey}), std::to_string(kAppliedRetained));
    for (std::uint64_t call = 1; call <= kMore; ++call)
        EXPECT_EQ(refusal(repeated(table, call)), ErrorKind::conflict) << call;
    for (std::uint64_t call = kMore + 1; call <= kAppliedRetained + kMore; ++call)
        ASSERT_TRUE(alreadyApplied(repeated(table, call))) << call;
}

TEST(TakenCalls, OfEitherMethodAreFoundAfterOthers) {
    Table table;
    take(table, putConfiguration(table, "0", body(2)));
    take(table, patchConfiguration(table, "2", patch(5, "b")));
    take(table, putConfiguration(table, "5", body(11, 2000)));
    take(table, patchConfiguration(table, "11", patch(12, "c")));
    take(table, evacuate(table, "hub-hall", true));
    EXPECT_TRUE(alreadyApplied(putConfiguration(table, "0", body(2))));
    EXPECT_TRUE(alreadyApplied(patchConfiguration(table, "2", patch(5, "b"))));
    EXPECT_TRUE(alreadyApplied(putConfiguration(table, "5", body(11, 2000))));
    EXPECT_TRUE(alreadyApplied(patchConfiguration(table, "11", patch(12, "c"))));
}

TEST(TakenCalls, AnotherBodyUnderATakenRevisionIsNeverTaken) {
    Table table;
    take(table, putConfiguration(table, "0", body(7)));
    take(table, patchConfiguration(table, "7", patch(9, "b")));
    EXPECT_EQ(refusal(putConfiguration(table, "0", body(7, 2000))), ErrorKind::conflict);
    EXPECT_EQ(refusal(patchConfiguration(table, "7", patch(9, "c"))), ErrorKind::conflict);
    EXPECT_EQ(refusal(putConfiguration(table, "7", body(9))), ErrorKind::conflict);
    EXPECT_EQ(refusal(putConfiguration(table, "9", body(9))), ErrorKind::invalid);
    EXPECT_EQ(refusal(patchConfiguration(table, "9", patch(9, "b"))), ErrorKind::invalid)
        << "on another version it is another call";
}

// Two operators pick the same number for different changes: one wins, and the other loses however often it asks.
TEST(TakenCalls, OfTwoUnderOneNumberOneIsTaken) {
    for (const bool second : {false, true}) {
        Table table = started();
        const std::string winner = body(9, second ? 2000 : 1000);
        const std::string loser = body(9, second ? 1000 : 2000);
        take(table, putConfiguration(table, "7", winner));
        for (int again = 0; again < 3; ++again) {
            EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", winner)));
            EXPECT_EQ(refusal(putConfiguration(table, "7", loser)), ErrorKind::conflict);
        }
        take(table, putConfiguration(table, "9", body(10, 3000)));
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", winner)));
        EXPECT_EQ(refusal(putConfiguration(table, "7", loser)), ErrorKind::conflict);
    }
}

TEST(TakenCalls, AreTheSameHoweverTheVersionIsWritten) {
    Table table = started();
    take(table, putConfiguration(table, "7", body(9)));
    for (const char* ifMatch : {"7", " 7", "\"7\"", "07"})
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, ifMatch, body(9)))) << ifMatch;
    for (const char* ifMatch : {"", "8", "9", "x7", "*"}) {
        const auto other = putConfiguration(table, ifMatch, body(9));
        EXPECT_FALSE(other) << ifMatch;
    }
}

// Tables of earlier releases, with shorter keys and without a count.
Table ofEarlierRelease(Table table) {
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

TEST(TakenCalls, OfAnEarlierReleaseAreFoundAndRewrittenOnce) {
    for (const std::uint64_t calls : {std::uint64_t{3}, std::uint64_t{kAppliedRetained}}) {
        Table table = ofEarlierRelease(afterCalls(calls));
        EXPECT_TRUE(alreadyApplied(repeated(table, 1)));
        EXPECT_TRUE(alreadyApplied(repeated(table, calls)));
        take(table, repeated(table, calls + 1));
        take(table, repeated(table, calls + 2));
        const std::uint64_t kept = std::min<std::uint64_t>(calls + 2, kAppliedRetained);
        EXPECT_EQ(takenEntries(table), kept);
        EXPECT_EQ(table.at(std::string{kAppliedCountKey}), std::to_string(kept));
        for (std::uint64_t call = calls + 3 - kept; call <= calls + 2; ++call)
            ASSERT_TRUE(alreadyApplied(repeated(table, call))) << call;
    }
}

TEST(TakenCalls, TheCountNeverRunsAwayFromAnEmptyRange) {
    Table table = started();
    table[std::string{kAppliedCountKey}] = std::to_string(kAppliedRetained);
    eachWithPrefix(Table{table}, kAppliedPrefix, [&](std::string_view name, std::string_view) {
        table.erase(joinedKey(kAppliedPrefix, name));
    });
    take(table, putConfiguration(table, "7", body(9)));
    EXPECT_EQ(takenEntries(table), 1u);
}

TEST(BodyRevision, IsTheFirstMemberOfThatNameAtTheTop) {
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

// The number that is looked up is the one under which a body is taken.
TEST(BodyRevision, IsTheOneThatIsTaken) {
    for (const char* number : {"9", "9.0", "90e-1", "9007199254740991", "18446744073709551615"}) {
        Table table = started();
        const std::string sent = with(whole(9), "\"revision\":9", std::string("\"revision\":") + number);
        take(table, putConfiguration(table, "7", sent));
        EXPECT_TRUE(alreadyApplied(putConfiguration(table, "7", sent))) << number;
        EXPECT_EQ(currentRevision(table), *revisionOfBody(sent)) << number;
    }
}

}  // namespace
}  // namespace beechpoint::configuration
