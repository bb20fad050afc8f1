// Which member the head reports as stalled while its batch is not stored by all: only one that could have stored it.
#include "replica/chain.hpp"
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

constexpr std::uint64_t kOpening = 1;    // chain items stored after the opening
constexpr std::uint64_t kWithBatch = 2;  // and after the first batch

// The chain of the head "b", followed by "a" and "c".
class StalledMemberTest : public ::testing::Test {
protected:
    struct Report {
        Member member;
        Status status;
    };

    StalledMemberTest()
        : outbox_(membership_),
          detector_(membership_, outbox_, 1, now_),
          chain_(membership_, outbox_, disk()) {
        detector_.enterView(now_);
        chain_.enterView(now_);
        outbox_.begin(now_, actions_);
        chain_.tick(now_);
        chain_.onCommit(now_, Message{memberOf("a"), kEpoch, Commit{kStart}}, Commit{kStart});
        chain_.write(now_, ClientWrite{7, {{"k", "1"}}});
        for (const Action& action : std::vector<Action>(actions_))
            if (const auto* persist = std::get_if<Persist>(&action))
                outbox_.complete(now_, persist->token, true);
    }
    static Membership membership() {
        Membership membership;
        membership.self = memberOf("b");
        membership.view = View{kEpoch, {memberOf("b"), memberOf("a"), memberOf("c")}, kStart};
        membership.index = 0;
        return membership;
    }
    static DurableState disk() {
        DurableState state;
        state.syncedEpoch = kEpoch;
        state.position = kStart;
        return state;
    }
    static Report reportOf(const std::string& name, std::uint64_t storedItems) {
        Report report{memberOf(name), {}};
        report.status.installed = true;
        report.status.storedItems = storedItems;
        return report;
    }
    void answer(const std::vector<Report>& reports) {
        for (const Report& report : reports) {
            const HeartbeatReply reply{1, now_, membership_.self.session, report.status};
            detector_.onReply(now_, Message{report.member, kEpoch, reply}, reply);
        }
    }
    // Internal address of the member that is reported once these have been the last reports for longer than a batch
    // may take to be stored; empty if none is.
    std::string stalledAfter(const std::vector<Report>& reports) {
        now_ += kStallTimeout + 1;
        answer(reports);
        return chain_.stalledMember(now_, detector_);
    }
    static std::string addressOf(const std::string& name) { return memberOf(name).internalAddress; }

    static constexpr std::uint64_t kEpoch = 2;
    static constexpr Position kStart{1, 3};

    Millis now_ = kBegin;
    Membership membership_ = membership();
    std::vector<Action> actions_;
    Outbox outbox_;
    FailureDetector detector_;
    Chain chain_;
};

TEST_F(StalledMemberTest, IsFirstMemberWithoutBatch) {
    EXPECT_EQ(stalledAfter({reportOf("a", kOpening), reportOf("c", kOpening)}), addressOf("a"));
}

TEST_F(StalledMemberTest, IsLaterMemberWhosePredecessorStoredBatch) {
    EXPECT_EQ(stalledAfter({reportOf("a", kWithBatch), reportOf("c", kOpening)}), addressOf("c"));
}

// Guards against: the tail was blamed for a batch that the failed member before it had stored but not passed on.
TEST_F(StalledMemberTest, IsNotSuccessorOfUnreachableMember) {
    answer({reportOf("a", kWithBatch), reportOf("c", kOpening)});
    EXPECT_EQ(stalledAfter({reportOf("c", kOpening)}), "") << "blamed the successor of a failed member";
}

TEST_F(StalledMemberTest, IsNotSuccessorOfMemberWithFailingDisk) {
    Report failing = reportOf("a", kWithBatch);
    failing.status.diskFailing = true;
    EXPECT_EQ(stalledAfter({failing, reportOf("c", kOpening)}), "");
}

TEST_F(StalledMemberTest, IsNotMemberThatPredecessorCannotReach) {
    Report cutOff = reportOf("a", kWithBatch);
    cutOff.status.unresponsivePeers = {addressOf("c")};
    EXPECT_EQ(stalledAfter({cutOff, reportOf("c", kOpening)}), "");
}

// Guards against: a restarted member was blamed for the batch that its old process had not stored.
TEST_F(StalledMemberTest, IsNotRestartedMember) {
    Report restarted = reportOf("a", 0);
    ++restarted.member.session;
    EXPECT_EQ(stalledAfter({restarted, reportOf("c", kOpening)}), "") << "blamed a restarted member";
}

}  // namespace
}  // namespace beechpoint::replica
