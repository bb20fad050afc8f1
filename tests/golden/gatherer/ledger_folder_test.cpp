// A voter's folder: the whole with a snapshot, and the log after it. The golden folder was written by an earlier
// version from the operations below; it is opened and read, and a new folder made by the same operations equals it.
#include <optional>
#include <string>
#include <vector>

#include "golden_file.hpp"
#include "lease_sessions/session_table.hpp"
#include "raft/state_folder.hpp"

namespace beechpoint::golden {
namespace {

using lease_sessions::Operation;
using raft::AppendEntries;
using raft::Entry;
using raft::EntryKind;
using raft::PersistentState;

constexpr const char* kFamily = "ledger_folder";
constexpr const char* kGroup = "beech.group 1";  // with characters that file names leave out
constexpr const char* kSelf = "s2";
constexpr std::uint64_t kNumber = 9;
constexpr raft::ProcessIncarnation kLife = 0xa1a2a3a4a5a6a7a8;

std::string openSession(const std::string& member, raft::ProcessIncarnation processIncarnation) {
    return lease_sessions::encodeCommand({Operation::open, member, processIncarnation, 1, 0, "", 0, ""});
}

// A voter that follows, and keeps each of its steps in a folder.
class Voter {
public:
    explicit Voter(const std::string& folder)
        : folder_(disk_, folder, kGroup, kSelf),
          journal_(kGroup, kSelf, kLife),
          raft_(options(), kSelf, kLife, {"s1", "s2", "s3"}, 1, 0, table_, founded()) {
        keep();
    }
    // An entry from the leader s1, after the one at `prev`; all up to `commit` is settled.
    void append(raft::Term term, raft::Index prev, Entry entry, raft::Index commit) {
        receive(now_ + 10, "s1",
                AppendEntries{term, prev, raft_.digestAt(prev), commit, ++round_, true, std::move(entry)});
    }
    // A message from s3 once no leader has been heard for long.
    template <class Body>
    void election(Body body) {
        receive(now_ + 5000, "s3", std::move(body));
    }
    PersistentState kept() const { return raft_.persistentState(); }

private:
    static raft::Options options() {
        raft::Options options;
        options.maxLogEntries = 3;
        return options;
    }
    static PersistentState founded() {
        PersistentState kept;
        kept.groupNumber = kNumber;
        return kept;
    }
    void receive(Millis now, const std::string& from, raft::Body body) {
        raft::Actions actions;
        raft_.receive(now_ = now, {from, kSelf, 5, kNumber, std::move(body)}, actions);
        EXPECT_TRUE(actions.mustPersist);
        keep();
    }
    void keep() { EXPECT_TRUE(folder_.persist(journal_.encodeChanges(raft_))); }

    durable_files::FileSystem disk_;
    raft::StateFolder folder_;
    raft::StateEncoder journal_;
    lease_sessions::SessionTable table_;
    raft::RaftConsensus raft_;
    Millis now_ = 0;
    std::uint64_t round_ = 0;
};

// Entries up to a snapshot, of which a new whole is made; then a log with a record of each kind: an entry more, an
// entry replaced by another leader's, a promise, a vote, a new term.
PersistentState writeFolder(const std::string& folder) {
    Voter voter(folder);
    voter.append(3, 0, {3, EntryKind::noOp, ""}, 0);
    voter.append(3, 1, {3, EntryKind::command, openSession("g1", 101)}, 1);
    voter.append(3, 2, {3, EntryKind::voters, "s1 s2 s3 s4"}, 2);
    voter.append(3, 3, {3, EntryKind::command, openSession("g2", 102)}, 4);
    voter.append(3, 4,
                 {3, EntryKind::command,
                  lease_sessions::encodeCommand({Operation::define, "g1", 101, 2, 1, "layout", 0, ""})},
                 5);
    voter.append(3, 5, {3, EntryKind::voters, "s1 s2 s3"}, 5);
    voter.append(3, 6, {3, EntryKind::command, "replaced"}, 5);
    voter.append(4, 6, {4, EntryKind::noOp, ""}, 5);
    voter.election(raft::PreVote{6, 7, 4});
    voter.election(raft::RequestVote{6, 7, 4});
    voter.append(7, 7, {7, EntryKind::command, openSession("g3", 103)}, 5);
    return voter.kept();
}

void expectSame(const PersistentState& a, const PersistentState& b) {
    EXPECT_EQ(a.groupNumber, b.groupNumber);
    EXPECT_EQ(a.currentTerm, b.currentTerm);
    EXPECT_EQ(a.promisedTerm, b.promisedTerm);
    EXPECT_EQ(a.votedFor, b.votedFor);
    EXPECT_EQ(a.lastIncludedIndex, b.lastIncludedIndex);
    EXPECT_EQ(a.lastIncludedTerm, b.lastIncludedTerm);
    EXPECT_EQ(a.lastIncludedDigest, b.lastIncludedDigest);
    EXPECT_EQ(a.snapshot, b.snapshot);
    EXPECT_EQ(a.lastIncludedVoters, b.lastIncludedVoters);
    EXPECT_EQ(a.entries, b.entries);
}

std::optional<PersistentState> readFolder(const TemporaryFolder& folder, raft::ReadOutcome expected) {
    durable_files::FileSystem disk;
    raft::StateFolder kept(disk, folder.path(), kGroup, kSelf);
    std::string note;
    const raft::ReadState read = kept.load(note);
    EXPECT_EQ(read.outcome, expected) << note;
    return read.state;
}

// The golden folder as files.
void restore(const TemporaryFolder& folder) {
    for (const auto& [name, bytes] : loadFamily(kFamily)) folder.write(name, bytes);
}

TEST(LedgerFolder, WrittenByTheSameOperations) {
    const TemporaryFolder folder;
    writeFolder(folder.path());
    const Entries files = folder.files();
    EXPECT_EQ(files.size(), 2u);
    for (const auto& [name, bytes] : files) expectGolden(kFamily, name, bytes);
    EXPECT_EQ(files, loadFamily(kFamily));
}

TEST(LedgerFolder, OpenedWithAllThatWasKept) {
    const TemporaryFolder folder, fresh;
    restore(folder);
    const std::optional<PersistentState> kept = readFolder(folder, raft::ReadOutcome::intact);
    ASSERT_TRUE(kept);
    expectSame(*kept, writeFolder(fresh.path()));
    EXPECT_EQ(folder.files(), loadFamily(kFamily));  // opening it changes nothing
}

TEST(LedgerFolder, ContentsAreThoseOfTheOperations) {
    const TemporaryFolder folder;
    restore(folder);
    const std::optional<PersistentState> kept = readFolder(folder, raft::ReadOutcome::intact);
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->groupNumber, kNumber);
    EXPECT_EQ(kept->currentTerm, 7u);
    EXPECT_EQ(kept->promisedTerm, 7u);
    EXPECT_EQ(kept->votedFor, "");
    EXPECT_EQ(kept->lastIncludedIndex, 4u);
    EXPECT_EQ(kept->lastIncludedTerm, 3u);
    EXPECT_EQ(kept->lastIncludedVoters, (std::vector<std::string>{"s1", "s2", "s3", "s4"}));
    const std::vector<Entry> entries = {
        {3, EntryKind::command,
         lease_sessions::encodeCommand({Operation::define, "g1", 101, 2, 1, "layout", 0, ""})},
        {3, EntryKind::voters, "s1 s2 s3"},
        {4, EntryKind::noOp, ""},
        {7, EntryKind::command, openSession("g3", 103)}};
    EXPECT_EQ(kept->entries, entries);
    lease_sessions::SessionTable table;
    ASSERT_TRUE(raft::RaftConsensus::isReadable(*kept, table));
    EXPECT_EQ(table.sessions().size(), 2u);
}

// A log whose last record lacks a byte is read up to the record before: the vote, without the newest term.
TEST(LedgerFolder, ALogCutShortIsReadUpToThere) {
    const TemporaryFolder folder;
    for (const auto& [name, bytes] : loadFamily(kFamily))
        folder.write(name, name.ends_with(".log") ? bytes.substr(0, bytes.size() - 1) : bytes);
    const std::optional<PersistentState> kept = readFolder(folder, raft::ReadOutcome::truncated);
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->currentTerm, 6u);
    EXPECT_EQ(kept->votedFor, "s3");
    EXPECT_EQ(kept->entries.size(), 3u);
}

// A ledger that starts from the golden folder goes on with the log where it was.
TEST(LedgerFolder, ALedgerGoesOnFromIt) {
    const TemporaryFolder folder;
    restore(folder);
    const std::optional<PersistentState> kept = readFolder(folder, raft::ReadOutcome::intact);
    ASSERT_TRUE(kept);
    lease_sessions::SessionTable table;
    const raft::RaftConsensus raft({}, kSelf, kLife + 1, {"s1", "s2", "s3"}, 1, 0, table, kept);
    EXPECT_EQ(raft.role(), raft::Role::follower);
    EXPECT_EQ(raft.lastLogIndex(), 8u);
    EXPECT_EQ(raft.voters(), (std::vector<std::string>{"s1", "s2", "s3"}));
    expectSame(raft.persistentState(), *kept);
}

}  // namespace
}  // namespace beechpoint::golden
