// A ledger's journal: the whole with every field set and with none, and the records after it. The folder that holds
// them is ledger_folder_test.cpp's.
#include <optional>
#include <string>

#include "golden_file.hpp"
#include "raft/log_file.hpp"

namespace beechpoint::golden {
namespace {

using raft::EntryKind;
using raft::PersistentState;

constexpr const char* kFamily = "ledger_journal";

// A machine that takes whatever it is given.
class Text : public raft::StateMachine {
public:
    void apply(raft::Index, raft::Term, const std::string& data) override { text_ += data; }
    std::string save() const override { return text_; }
    bool load(const std::string& saved) override {
        text_ = saved;
        return true;
    }

private:
    std::string text_;
};

PersistentState sampleKept() {
    PersistentState kept;
    kept.groupNumber = 9;
    kept.currentTerm = 70'000;
    kept.promisedTerm = 70'001;
    kept.votedFor = "s3";
    kept.lastIncludedIndex = 5'000'000'000;
    kept.lastIncludedTerm = 300;
    kept.lastIncludedDigest = 0xb1b2b3b4b5b6b7b8;
    kept.snapshot = "s1 s2 s3 s4\nthe machine";
    kept.lastIncludedVoters = {"s1", "s2", "s3", "s4"};
    kept.entries = {{301, EntryKind::noOp, ""},
                    {302, EntryKind::command, std::string("a\0\xff", 3)},
                    {303, EntryKind::voters, "s1 s2 s3"}};
    return kept;
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

// A ledger with a journal, whose first writing is the whole.
struct Journaled {
    explicit Journaled(const std::optional<PersistentState>& kept)
        : raft({}, "s2", 77, {"s1", "s2", "s3"}, 1, 0, machine, kept),
          whole(journal.encodeChanges(raft).bytes) {}
    // Receives one message and returns the record of what it changed.
    std::string record(const std::string& from, raft::Body body) {
        raft::Actions actions;
        raft.receive(now += 5000, {from, "s2", 5, 9, std::move(body)}, actions);
        return journal.encodeChanges(raft).bytes;
    }
    Text machine;
    raft::RaftConsensus raft;
    raft::StateEncoder journal{"group", "s2", 77};
    std::string whole;
    Millis now = 0;
};

void checkRead(const std::string& whole, const std::string& log, const PersistentState& expected) {
    const raft::ReadState read = raft::decodeState("group", "s2", whole, log);
    EXPECT_EQ(read.outcome, raft::ReadOutcome::intact) << raft::nameOf(read.outcome);
    EXPECT_EQ(read.generation, raft::generationOf(whole));
    ASSERT_TRUE(read.state);
    expectSame(*read.state, expected);
}

TEST(LedgerJournal, WholeWithEveryField) {
    const Journaled journaled(sampleKept());
    checkRead(expectGolden(kFamily, "whole", journaled.whole), "", sampleKept());
}

TEST(LedgerJournal, WholeOfAMemberWithoutAGroup) {
    const Journaled journaled(std::nullopt);
    PersistentState empty;
    empty.lastIncludedVoters = {"s1", "s2", "s3"};
    checkRead(expectGolden(kFamily, "whole_without_a_group", journaled.whole), "", empty);
}

// A promise, a vote, an entry of a new leader in place of the last one, a sign of life of a newer term.
TEST(LedgerJournal, Records) {
    Journaled journaled(sampleKept());
    const raft::Index last = journaled.raft.lastLogIndex();
    const auto append = [&](raft::Term term, bool holds) {
        return raft::AppendEntries{term, last - 1, journaled.raft.digestAt(last - 1), 0,
                                   1,    holds,    {term, EntryKind::noOp, ""}};
    };
    std::string log;
    const auto add = [&](const std::string& name, const std::string& from, raft::Body body) {
        log += expectGolden(kFamily, name, journaled.record(from, std::move(body)));
        checkRead(journaled.whole, log, journaled.raft.persistentState());
    };
    add("record_0_promise", "s1", raft::PreVote{70'005, last, 303});
    add("record_1_vote", "s1", raft::RequestVote{70'006, last, 303});
    add("record_2_entry_replaced", "s3", append(70'007, true));
    add("record_3_newer_term", "s3", append(70'008, false));
    const PersistentState kept = journaled.raft.persistentState();
    EXPECT_EQ(kept.currentTerm, 70'008u);
    EXPECT_EQ(kept.promisedTerm, 70'008u);
    EXPECT_EQ(kept.votedFor, "");
    EXPECT_EQ(kept.entries.back(), (raft::Entry{70'007, EntryKind::noOp, ""}));
}

// Nothing changed: nothing is written.
TEST(LedgerJournal, NoRecordWithoutAChange) {
    Journaled journaled(sampleKept());
    EXPECT_EQ(journaled.record("s1", raft::RecoveryRequest{1}), "");
}

}  // namespace
}  // namespace beechpoint::golden
