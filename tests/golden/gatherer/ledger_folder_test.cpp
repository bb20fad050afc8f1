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

using lease_sessions::Op;
using raft::Append;
using raft::Entry;
using raft::Kind;
using raft::PersistentState;

constexpr const char* kFamily = "ledger_folder";
constexpr const char* kGroup = "beech.group 1";  // with characters that file names leave out
constexpr const char* kSelf = "s2";
constexpr std::uint64_t kNumber = 9;
constexpr raft::ProcessIncarnation kLife = 0xa1a2a3a4a5a6a7a8;

std::string openSession(const std::string& member, raft::ProcessIncarnation processIncarnation) {
    return lease_sessions::write({Op::open, member, processIncarnation, 1, 0, "", 0, ""});
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
                Append{term, prev, raft_.digestAt(prev), commit, ++round_, true, std::move(entry)});
    }
    // A message from s3 once no leader has been heard for long.
    template <class Body>
    void election(Body body) {
        receive(now_ + 5000, "s3", std::move(body));
    }
    PersistentState kept() const { return raft_.kept(); }

private:
    static raft::Options options() {
        raft::Options options;
        options.mostEntries = 3;
        return options;
    }
    static PersistentState founded() {
        PersistentState kept;
        kept.number = kNumber;
        return kept;
    }
    void receive(Millis now, const std::string& from, raft::Body body) {
        raft::Actions actions;
        raft_.receive(now_ = now, {from, kSelf, 5, kNumber, std::move(body)}, actions);
        EXPECT_TRUE(actions.keep);
        keep();
    }
    void keep() { EXPECT_TRUE(folder_.keep(journal_.changes(raft_))); }

    durable_files::Disk disk_;
    raft::Folder folder_;
    raft::Journal journal_;
    lease_sessions::Table table_;
    raft::RaftConsensus raft_;
    Millis now_ = 0;
    std::uint64_t round_ = 0;
};

// Entries up to a snapshot, of which a new whole is made; then a log with a record of each kind: an entry more, an
// entry replaced by another leader's, a promise, a vote, a new term.
PersistentState writeFolder(const std::string& folder) {
    Voter voter(folder);
    voter.append(3, 0, {3, Kind::begin, ""}, 0);
    voter.append(3, 1, {3, Kind::command, openSession("g1", 101)}, 1);
    voter.append(3, 2, {3, Kind::voters, "s1 s2 s3 s4"}, 2);
    voter.append(3, 3, {3, Kind::command, openSession("g2", 102)}, 4);
    voter.append(3, 4,
                 {3, Kind::command, lease_sessions::write({Op::want, "g1", 101, 2, 1, "layout", 0, ""})}, 5);
    voter.append(3, 5, {3, Kind::voters, "s1 s2 s3"}, 5);
    voter.append(3, 6, {3, Kind::command, "replaced"}, 5);
    voter.append(4, 6, {4, Kind::begin, ""}, 5);
    voter.election(raft::PreVote{6, 7, 4});
    voter.election(raft::VoteRequest{6, 7, 4});
    voter.append(7, 7, {7, Kind::command, openSession("g3", 103)}, 5);
    return voter.kept();
}

void expectSame(const PersistentState& a, const PersistentState& b) {
    EXPECT_EQ(a.number, b.number);
    EXPECT_EQ(a.term, b.term);
    EXPECT_EQ(a.promised, b.promised);
    EXPECT_EQ(a.vote, b.vote);
    EXPECT_EQ(a.base, b.base);
    EXPECT_EQ(a.baseTerm, b.baseTerm);
    EXPECT_EQ(a.baseDigest, b.baseDigest);
    EXPECT_EQ(a.saved, b.saved);
    EXPECT_EQ(a.baseVoters, b.baseVoters);
    EXPECT_EQ(a.entries, b.entries);
}

std::optional<PersistentState> readFolder(const TemporaryFolder& folder, raft::Reading expected) {
    durable_files::Disk disk;
    raft::Folder kept(disk, folder.path(), kGroup, kSelf);
    std::string note;
    const raft::Read read = kept.load(note);
    EXPECT_EQ(read.how, expected) << note;
    return read.kept;
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
    const std::optional<PersistentState> kept = readFolder(folder, raft::Reading::sound);
    ASSERT_TRUE(kept);
    expectSame(*kept, writeFolder(fresh.path()));
    EXPECT_EQ(folder.files(), loadFamily(kFamily));  // opening it changes nothing
}

TEST(LedgerFolder, ContentsAreThoseOfTheOperations) {
    const TemporaryFolder folder;
    restore(folder);
    const std::optional<PersistentState> kept = readFolder(folder, raft::Reading::sound);
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->number, kNumber);
    EXPECT_EQ(kept->term, 7u);
    EXPECT_EQ(kept->promised, 7u);
    EXPECT_EQ(kept->vote, "");
    EXPECT_EQ(kept->base, 4u);
    EXPECT_EQ(kept->baseTerm, 3u);
    EXPECT_EQ(kept->baseVoters, (std::vector<std::string>{"s1", "s2", "s3", "s4"}));
    const std::vector<Entry> entries = {
        {3, Kind::command, lease_sessions::write({Op::want, "g1", 101, 2, 1, "layout", 0, ""})},
        {3, Kind::voters, "s1 s2 s3"},
        {4, Kind::begin, ""},
        {7, Kind::command, openSession("g3", 103)}};
    EXPECT_EQ(kept->entries, entries);
    lease_sessions::Table table;
    ASSERT_TRUE(raft::RaftConsensus::readable(*kept, table));
    EXPECT_EQ(table.sessions().size(), 2u);
}

// A log whose last record lacks a byte is read up to the record before: the vote, without the newest term.
TEST(LedgerFolder, ALogCutShortIsReadUpToThere) {
    const TemporaryFolder folder;
    for (const auto& [name, bytes] : loadFamily(kFamily))
        folder.write(name, name.ends_with(".log") ? bytes.substr(0, bytes.size() - 1) : bytes);
    const std::optional<PersistentState> kept = readFolder(folder, raft::Reading::cutShort);
    ASSERT_TRUE(kept);
    EXPECT_EQ(kept->term, 6u);
    EXPECT_EQ(kept->vote, "s3");
    EXPECT_EQ(kept->entries.size(), 3u);
}

// A ledger that starts from the golden folder goes on with the log where it was.
TEST(LedgerFolder, ALedgerGoesOnFromIt) {
    const TemporaryFolder folder;
    restore(folder);
    const std::optional<PersistentState> kept = readFolder(folder, raft::Reading::sound);
    ASSERT_TRUE(kept);
    lease_sessions::Table table;
    const raft::RaftConsensus raft({}, kSelf, kLife + 1, {"s1", "s2", "s3"}, 1, 0, table, kept);
    EXPECT_EQ(raft.role(), raft::Role::follower);
    EXPECT_EQ(raft.last(), 8u);
    EXPECT_EQ(raft.voters(), (std::vector<std::string>{"s1", "s2", "s3"}));
    expectSame(raft.kept(), *kept);
}

}  // namespace
}  // namespace beechpoint::golden
