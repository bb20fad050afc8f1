// The ledger's rules one by one, messages carried by hand: no clock but the test's, nothing sent unless it says so.
#include "raft/raft_consensus.hpp"

#include <gtest/gtest.h>
#include <xxhash.h>

#include "net.hpp"

namespace beechpoint::raft {
namespace {

const std::set<int> kAll{0, 1, 2, 3, 4};

void propose(Net& net, int leader, const std::string& data) {
    Actions a;
    ASSERT_TRUE(net.at(leader).propose(net.now, data, a));
    net.out(leader, a);
}

TEST(RaftConsensus, CommitsAndAppliesAlikeWhatAMajorityHas) {
    Net net(5);
    net.found();
    net.pass(3000, kAll);
    const int lead = net.leader();
    ASSERT_GE(lead, 0);
    for (const char* data : {"a", "b", "c"}) propose(net, lead, data);
    net.pass(500, kAll);
    for (int i = 0; i < 5; ++i) EXPECT_EQ(net.text(i), "a;b;c;");
    EXPECT_EQ(net.at(0).digestAt(net.at(0).commitIndex()), net.at(4).digestAt(net.at(0).commitIndex()));
}
TEST(RaftConsensus, MinorityCommitsNothing) {
    Net net(5);
    net.found();
    net.pass(3000, kAll);
    const int lead = net.leader();
    const std::set<int> few{lead, (lead + 1) % 5};
    propose(net, lead, "lost");
    net.pass(400, few);
    EXPECT_EQ(net.text(lead), "");
    net.pass(3000, few);
    EXPECT_FALSE(net.at(lead).isLeader());
    std::set<int> most = kAll;
    most.erase(lead), most.erase((lead + 1) % 5);
    net.pass(4000, most);
    const int next = *most.begin();
    int now = -1;
    for (const int i : most)
        if (net.at(i).isReadyLeader()) now = i;
    ASSERT_GE(now, 0);
    propose(net, now, "kept");
    net.pass(4000, kAll);
    EXPECT_EQ(net.text(lead), net.text(next));
    EXPECT_EQ(net.text(next), "kept;");
}

// Raft's figure 8. An entry of an old term that a majority holds may still be replaced by a leader that never had it; who
// counts holders of it alone settles what is lost later.
std::pair<std::string, std::string> figureEight(bool ownTermOnly) {
    Options o;
    o.safeguards.ownTermCommit = ownTermOnly;
    o.maxInFlightEntries = 1;  // one entry on its way at a time
    Net net(5, o);
    net.found();
    EXPECT_TRUE(net.elect(0, {1, 2}));
    net.deliver({});  // its first signs are lost
    propose(net, 0, "old");
    net.pass(150, {0, 1});  // reaches s2 alone
    net.kill(0);
    EXPECT_TRUE(net.elect(4, {2, 3}));  // s5, by s3 and s4, which have none of it
    net.deliver({});
    propose(net, 4, "new");  // at s5 alone
    net.deliver({});
    net.kill(4);
    net.start(0);
    EXPECT_TRUE(net.elect(0, {1, 2, 3}));
    // It sends s3 what it lacks and dies before an entry of its own term is there.
    const Term own = net.at(0).currentTerm();
    net.drop = [&](const Message& m) {
        const auto* a = std::get_if<AppendEntries>(&m.body);
        return a != nullptr && m.to == "s3" && a->hasEntry && a->entry.term == own;
    };
    net.pass(1500, {0, 1, 2});
    const std::string settled = net.text(0);
    net.drop = nullptr;
    net.wire.clear();
    net.kill(0);
    net.start(4);
    EXPECT_TRUE(net.elect(4, {2, 3}));
    net.pass(2000, {1, 2, 3, 4});
    return {settled, net.text(4)};
}
TEST(RaftConsensus, CommitsByCountingOnlyEntriesOfItsOwnTerm) {
    const auto [settled, after] = figureEight(true);
    EXPECT_EQ(settled, "");
    EXPECT_EQ(after, "new;");
}

// The same script, settled by counting alone: what one leader called settled, a later one never had.
TEST(RaftConsensusBroken, WithoutOwnTermCommitACommittedEntryIsLost) {
    const auto [settled, after] = figureEight(false);
    EXPECT_EQ(settled, "old;");
    EXPECT_EQ(after.find("old"), std::string::npos);
}

// A voter that forgot its vote and votes at once elects a second leader in the same term.
int leadersInOneTerm(bool recovery) {
    Options o;
    o.safeguards.recovery = recovery;
    Net net(3, o, false);
    net.found();
    EXPECT_TRUE(net.elect(0, {1}));
    net.deliver({});  // s3 hears of nothing
    const Term term = net.at(0).currentTerm();
    net.kill(1);
    net.start(1);
    net.pass(1000, {1, 2});  // it asks s3 how things stand
    net.elect(2, {1});
    return net.at(2).isLeader() && net.at(2).currentTerm() == term && net.at(0).isLeader() ? 2 : 1;
}
TEST(RaftConsensusBroken, WithoutRecoveryAForgottenVoteElectsTwoLeadersInOneTerm) {
    EXPECT_EQ(leadersInOneTerm(false), 2);
    EXPECT_EQ(leadersInOneTerm(true), 1);
}

// A follower back from its folder: ten entries, none known to be settled.
struct Back {
    Back() {
        kept.groupNumber = 9, kept.currentTerm = kept.promisedTerm = 5;
        for (int i = 1; i <= 10; ++i) kept.entries.push_back({5, EntryKind::command, std::to_string(i)});
        raft.emplace(Options{}, "s2", 77, std::vector<std::string>{"s1", "s2", "s3"}, 1, 0, machine, kept);
    }
    Actions hears(Body body) {
        Actions out;
        raft->receive(10, {"s1", "s2", 5, 9, std::move(body)}, out);
        return out;
    }
    Text machine;
    PersistentState kept;
    std::optional<RaftConsensus> raft;
};
// What it acknowledged may be settled by its word: a snapshot that comes late takes none of it back.
TEST(RaftConsensus, LateSnapshotKeepsAcknowledgedEntries) {
    Back s2;
    const RaftConsensus& l = *s2.raft;
    const Actions reply = s2.hears(AppendEntries{5, 10, l.digestAt(10), 0, 1, false, {}});
    ASSERT_EQ(std::get<AppendEntriesReply>(reply.send.at(0).body).matchIndex, 10u);
    const std::string whole = "s1 s2 s3\n1;2;3;4;5;";
    s2.hears(SnapshotChunk{5, 5, 5, l.digestAt(5), XXH3_64bits(whole.data(), whole.size()), 0,
                           static_cast<std::uint32_t>(whole.size()), whole});
    EXPECT_EQ(l.lastLogIndex(), 10u);
    EXPECT_EQ(l.commitIndex(), 5u);
    EXPECT_EQ(s2.machine.all, "1;2;3;4;5;");
    s2.hears(AppendEntries{5, 10, l.digestAt(10), 10, 2, false, {}});
    EXPECT_EQ(s2.machine.all, "1;2;3;4;5;6;7;8;9;10;");
}
// One that was taken out by an entry that never came to be settled, and is replaced: nothing beyond the log is settled.
TEST(RaftConsensus, TruncatedEntriesAreNotCommittedByAnEarlierMatch) {
    Back s2;
    const RaftConsensus& l = *s2.raft;
    const Digest three = l.digestAt(3);
    s2.hears(AppendEntries{5, 10, l.digestAt(10), 3, 1, true, {5, EntryKind::voters, "s1 s3"}});
    EXPECT_EQ(l.role(), Role::learner);
    s2.hears(CatchUpReply{3, three, 4, true, {6, EntryKind::command, "other"}});
    EXPECT_EQ(l.lastLogIndex(), 4u);
    EXPECT_EQ(s2.machine.all, "1;2;3;other;");
    s2.hears(AppendEntries{5, 4, l.digestAt(4), 11, 2, false, {}});
    EXPECT_EQ(l.commitIndex(), 4u);
    EXPECT_EQ(s2.machine.all, "1;2;3;other;");
}

// One vote a term, kept before it is given: neither a restart nor a second asker gets another.
TEST(RaftConsensus, GrantsOneVoteATermAlsoAfterARestart) {
    for (const bool lasting : {true, false}) {
        Net net(3, {}, lasting);
        net.found();
        net.now += 2000;
        Actions a;
        net.at(2).receive(net.now, {"s1", "s3", 1, 9, RequestVote{5, 0, 0}}, a);
        ASSERT_EQ(a.send.size(), 1u);
        EXPECT_TRUE(std::get<RequestVoteReply>(a.send[0].body).voteGranted);
        EXPECT_TRUE(a.mustPersist);
        net.out(2, a);
        net.kill(2);
        net.start(2);
        Actions b;
        net.now += 2000;
        net.at(2).receive(net.now, {"s2", "s3", 2, 9, RequestVote{5, 0, 0}}, b);
        for (const Message& m : b.send) {
            const auto* r = std::get_if<RequestVoteReply>(&m.body);
            EXPECT_FALSE(r != nullptr && r->voteGranted) << lasting;
        }
    }
}
// A renewal is confirmed by answers to signs sent after it came, not by old ones.
TEST(RaftConsensus, ConfirmsLeadershipByRepliesToLaterHeartbeatsOnly) {
    Net net(3);
    net.found();
    net.pass(3000, {0, 1, 2});
    const int lead = net.leader();
    net.confirmed.clear();
    Actions a;
    net.at(lead).confirmLeadership(net.now, 77, a);
    net.out(lead, a);
    net.pass(300, {lead});  // cut off
    EXPECT_TRUE(net.confirmed.empty());
    net.pass(300, {0, 1, 2});
    EXPECT_EQ(net.confirmed, std::vector<std::uint64_t>{77});
}
TEST(RaftConsensus, MemberFarBehindCatchesUpByASnapshot) {
    Options o;
    o.maxLogEntries = 20;
    Net net(3, o, false);
    net.found();
    net.pass(3000, {0, 1, 2});
    const int lead = net.leader(), away = (lead + 1) % 3;
    std::set<int> most{0, 1, 2};
    most.erase(away);
    for (int i = 0; i < 200; ++i) {
        propose(net, lead, "entry-" + std::to_string(i));
        net.pass(20, most);
    }
    EXPECT_LE(net.at(lead).logSize(), 64u);
    net.pass(6000, {0, 1, 2});
    EXPECT_EQ(net.text(away), net.text(lead));
    EXPECT_GT(net.at(away).counters().snapshotsInstalled, 0u);
}
TEST(RaftConsensus, VotersChangeOneAtATimeAndARemovedVoterStartsNoElection) {
    Net net(5);
    net.found();
    net.pass(3000, kAll);
    const int lead = net.leader(), out = (lead + 1) % 5;
    std::vector<std::string> four = net.at(lead).voters(), three;
    std::erase(four, net.names[static_cast<std::size_t>(out)]);
    three.assign(four.begin(), four.begin() + 3);
    Actions a;
    EXPECT_FALSE(net.at(lead).changeVoters(net.now, three, a));  // two at once
    EXPECT_TRUE(net.at(lead).changeVoters(net.now, four, a));
    EXPECT_FALSE(net.at(lead).changeVoters(net.now, net.names, a));  // one is under way
    net.out(lead, a);
    net.pass(2000, kAll);
    EXPECT_EQ(net.at(out).role(), Role::learner);
    const Term term = net.at(lead).currentTerm();
    net.pass(8000, kAll);
    EXPECT_EQ(net.at(lead).currentTerm(), term);
    EXPECT_TRUE(net.at(lead).isLeader());
}
// Found in virtual time (voters that change, seed 11): one of three has forgotten, and a fourth comes in. Of the four only two have
// their memory: they could settle nothing any more, and neither of the others could recover by them.
TEST(RaftConsensus, RejectsAVoterWhenTheNewSetHasNoMajorityWithState) {
    Net net(4, {}, false);
    for (int i = 0; i < 4; ++i) net.names[static_cast<std::size_t>(i)] = "s" + std::to_string(i + 1);
    net.names.resize(3);  // the group begins with three
    for (int i = 0; i < 3; ++i) net.kill(i), net.start(i);
    net.found();
    net.pass(3000, {0, 1, 2});
    const int lead = net.leader(), gone = (lead + 1) % 3;
    ASSERT_GE(lead, 0);
    const std::vector<std::string> four{"s1", "s2", "s3", "s4"};
    net.kill(gone);
    net.pass(1500, {0, 1, 2});
    Actions no, yes;
    EXPECT_FALSE(net.at(lead).changeVoters(net.now, four, no));
    EXPECT_TRUE(no.send.empty());
    net.start(gone);
    net.pass(3000, {0, 1, 2});  // it has recovered
    EXPECT_TRUE(net.at(lead).changeVoters(net.now, four, yes));
}
TEST(RaftConsensus, RejectsEntriesOverTheMaximumSize) {
    Net net(3);
    net.found();
    net.pass(3000, {0, 1, 2});
    Actions a;
    EXPECT_FALSE(net.at(net.leader()).propose(net.now, std::string(kMaxEntryBytes + 1, 'x'), a));
    EXPECT_TRUE(net.at(net.leader()).propose(net.now, std::string(kMaxEntryBytes, 'x'), a));
}

}  // namespace
}  // namespace beechpoint::raft
