// The duties' part of the ledger: a command as an entry's data, and the table as a snapshot.
#include <string>
#include <utility>
#include <vector>

#include "golden_file.hpp"
#include "lease_sessions/session_table.hpp"
#include "message_fields.hpp"

namespace beechpoint::golden {
namespace {

using lease_sessions::Command;
using lease_sessions::Operation;
using lease_sessions::SessionTable;
using lease_sessions::Verdict;

Command commandOf(Operation op) {
    return {op, "gatherer-b", 0xa1a2a3a4a5a6a7a8, 2, 300, "layout", 70'000, "gatherer-c"};
}

TEST(DutiesTable, Commands) {
    const std::vector<std::pair<std::string, Command>> samples = {
        {"command_default", {}},
        {"command_open", commandOf(Operation::open)},
        {"command_close", commandOf(Operation::close)},
        {"command_want", commandOf(Operation::define)},
        {"command_grant", commandOf(Operation::grant)},
        {"command_give_up", commandOf(Operation::release)},
        {"command_hand", commandOf(Operation::transfer)}};
    for (const auto& [name, command] : samples) {
        SCOPED_TRACE(name);
        const auto read = lease_sessions::decodeCommand(
            expectGolden("duties_table", name, lease_sessions::encodeCommand(command)));
        ASSERT_TRUE(read);
        EXPECT_EQ(members(*read), members(command));
    }
}

// Three sessions, of which one ran out; a duty that is held, one given up, one lost, one never held.
SessionTable sampleTable() {
    SessionTable table;
    table.begin(9);
    raft::Index index = 0;
    const auto apply = [&](const Command& command) {
        table.apply(++index, 5, lease_sessions::encodeCommand(command));
    };
    apply({Operation::open, "g1", 101, 1, 0, "", 0, ""});
    apply({Operation::open, "g2", 102, 1, 0, "", 0, ""});
    apply({Operation::open, "g3", 103, 1, 0, "", 0, ""});
    for (const char* singletonRole : {"given-up", "held", "lost", "never-held"})
        apply({Operation::define, "g1", 101, index, 0, singletonRole, 0, ""});
    apply({Operation::grant, "g1", 0, 0, 1, "held", 0, ""});
    apply({Operation::grant, "g2", 0, 0, 2, "given-up", 0, ""});
    apply({Operation::grant, "g3", 0, 0, 3, "lost", 0, ""});
    apply({Operation::release, "g2", 102, 2, 2, "given-up", (9ULL << lease_sessions::kFencingTokenBits) + 1,
           ""});
    apply({Operation::transfer, "g1", 101, 20, 1, "held", (9ULL << lease_sessions::kFencingTokenBits) + 1,
           "g2"});
    apply({Operation::close, "g3", 0, 0, 3, "", 0, ""});
    return table;
}

void expectDuty(const SessionTable& table, const std::string& name,
                const lease_sessions::SingletonRole& expected) {
    const lease_sessions::SingletonRole* singletonRole = table.singletonRole(name);
    ASSERT_NE(singletonRole, nullptr) << name;
    EXPECT_EQ(singletonRole->holder, expected.holder) << name;
    EXPECT_EQ(singletonRole->session, expected.session) << name;
    EXPECT_EQ(singletonRole->fencingToken, expected.fencingToken) << name;
    EXPECT_EQ(singletonRole->lastHolder, expected.lastHolder) << name;
    EXPECT_EQ(singletonRole->sessionExpired, expected.sessionExpired) << name;
}

TEST(DutiesTable, Snapshot) {
    const std::string saved = expectGolden("duties_table", "snapshot", sampleTable().save());
    SessionTable table;
    ASSERT_TRUE(table.load(saved));
    constexpr std::uint64_t kFirst = (9ULL << lease_sessions::kFencingTokenBits) + 1;
    expectDuty(table, "held", {"g2", 2, kFirst + 1, "g1", false});
    expectDuty(table, "given-up", {"", 0, kFirst, "g2", false});
    expectDuty(table, "lost", {"", 0, kFirst, "g3", true});
    expectDuty(table, "never-held", {"", 0, 0, "", false});
    EXPECT_EQ(table.sessions().size(), 2u);
    ASSERT_NE(table.session("g1"), nullptr);
    EXPECT_EQ(table.session("g1")->number, 1u);
    EXPECT_EQ(table.session("g1")->processIncarnation, 101u);
    EXPECT_EQ(table.answer("g2", 102, 2), (lease_sessions::Result{Verdict::done, kFirst, 2}));
    EXPECT_EQ(table.save(), saved);
}

TEST(DutiesTable, EmptySnapshot) {
    const std::string saved = expectGolden("duties_table", "snapshot_empty", SessionTable().save());
    SessionTable table;
    ASSERT_TRUE(table.load(saved));
    EXPECT_TRUE(table.singletonRoles().empty());
    EXPECT_TRUE(table.sessions().empty());
}

}  // namespace
}  // namespace beechpoint::golden
