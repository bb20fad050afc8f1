// A ledger's journal: the whole with every field set and with none, and the records after it. The folder that holds
// them is ledger_folder_test.cpp's.
#include <optional>
#include <string>

#include "golden_file.hpp"
#include "raft/log_file.hpp"

namespace beechpoint::golden {
namespace {

using raft::Kind;
using raft::PersistentState;

constexpr const char* kFamily = "ledger_journal";

// A machine that takes whatever it is given.
class Text : public raft::Machine {
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
    kept.number = 9;
    kept.term = 70'000;
    kept.promised = 70'001;
    kept.vote = "s3";
    kept.base = 5'000'000'000;
    kept.baseTerm = 300;
    kept.baseDigest = 0xb1b2b3b4b5b6b7b8;
    kept.saved = "s1 s2 s3 s4\nthe machine";
    kept.baseVoters = {"s1", "s2", "s3", "s4"};
    kept.entries = {{301, Kind::begin, ""},
                    {302, Kind::command, std::string("a\0\xff", 3)},
                    {303, Kind::voters, "s1 s2 s3"}};
    return kept;
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

// A ledger with a journal, whose first writing is the whole.
struct Journaled {
    explicit Journaled(const std::optional<PersistentState>& kept)
        : raft({}, "s2", 77, {"s1", "s2", "s3"}, 1, 0, machine, kept), whole(journal.changes(raft).bytes) {}
    // Receives one message and returns the record of what it changed.
    std::string record(const std::string& from, raft::Body body) {
        raft::Actions actions;
        raft.receive(now += 5000, {from, "s2", 5, 9, std::move(body)}, actions);
        return journal.changes(raft).bytes;
    }
    Text machine;
    raft::RaftConsensus raft;
    raft::Journal journal{"group", "s2", 77};
    std::string whole;
    Millis now = 0;
};

void checkRead(const std::string& whole, const std::string& log, const PersistentState& expected) {
    const raft::Read read = raft::readKept("group", "s2", whole, log);
    EXPECT_EQ(read.how, raft::Reading::sound) << raft::nameOf(read.how);
    EXPECT_EQ(read.generation, raft::generationOf(whole));
    ASSERT_TRUE(read.kept);
    expectSame(*read.kept, expected);
}

TEST(LedgerJournal, WholeWithEveryField) {
    const Journaled journaled(sampleKept());
    checkRead(expectGolden(kFamily, "whole", journaled.whole), "", sampleKept());
}

TEST(LedgerJournal, WholeOfAMemberWithoutAGroup) {
    const Journaled journaled(std::nullopt);
    PersistentState empty;
    empty.baseVoters = {"s1", "s2", "s3"};
    checkRead(expectGolden(kFamily, "whole_without_a_group", journaled.whole), "", empty);
}

// A promise, a vote, an entry of a new leader in place of the last one, a sign of life of a newer term.
TEST(LedgerJournal, Records) {
    Journaled journaled(sampleKept());
    const raft::Index last = journaled.raft.last();
    const auto append = [&](raft::Term term, bool holds) {
        return raft::Append{
            term, last - 1, journaled.raft.digestAt(last - 1), 0, 1, holds, {term, Kind::begin, ""}};
    };
    std::string log;
    const auto add = [&](const std::string& name, const std::string& from, raft::Body body) {
        log += expectGolden(kFamily, name, journaled.record(from, std::move(body)));
        checkRead(journaled.whole, log, journaled.raft.kept());
    };
    add("record_0_promise", "s1", raft::PreVote{70'005, last, 303});
    add("record_1_vote", "s1", raft::VoteRequest{70'006, last, 303});
    add("record_2_entry_replaced", "s3", append(70'007, true));
    add("record_3_newer_term", "s3", append(70'008, false));
    const PersistentState kept = journaled.raft.kept();
    EXPECT_EQ(kept.term, 70'008u);
    EXPECT_EQ(kept.promised, 70'008u);
    EXPECT_EQ(kept.vote, "");
    EXPECT_EQ(kept.entries.back(), (raft::Entry{70'007, Kind::begin, ""}));
}

// Nothing changed: nothing is written.
TEST(LedgerJournal, NoRecordWithoutAChange) {
    Journaled journaled(sampleKept());
    EXPECT_EQ(journaled.record("s1", raft::StateRequest{1}), "");
}

}  // namespace
}  // namespace beechpoint::golden
