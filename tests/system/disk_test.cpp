// Disks are emptied right after an acknowledgement; members are replaced, planned and not; a second loss follows at once.
#include <csignal>

#include "fixture.hpp"

namespace beechpoint::system_test {
namespace {

class DiskTest : public SystemTest {
protected:
    // The process ends and its disk is gone.
    void lose(std::size_t member) {
        system_->killMember(member);
        system_->wipe(member);
    }

    // A change that is acknowledged while the view is whole: a member that was left out, because this machine was too busy
    // to run it, is a loss already.
    void takeNextByAll(const Members& members) {
        constexpr int kAttempts = 10;
        for (int attempt = 0; attempt < kAttempts; ++attempt) {
            ASSERT_TRUE(system_->awaitView(members));
            ASSERT_NO_FATAL_FAILURE(takeNext("calm", members));
            if (system_->chainAt(acknowledgedBy_).size() == members.size()) return;
        }
        FAIL() << "the view was never whole at an acknowledgement";
    }
};

TEST_F(DiskTest, TheDiskOfTheAcknowledgingMemberIsEmptiedEachTime) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    const std::string kind = "disk of the acknowledging member emptied";
    const int rounds = byForm(3, 60);
    for (int round = 0; round < rounds; ++round) {
        ASSERT_NO_FATAL_FAILURE(takeNextByAll(all));
        const std::size_t lost = acknowledgedBy_;
        lose(lost);
        system_->startMember(lost);
        const Members others = without(all, lost);
        ASSERT_NO_FATAL_FAILURE(expectReadBack(others));
        const Millis since = system_->clock().now();
        ASSERT_NO_FATAL_FAILURE(takeNext(kind, all));
        ASSERT_TRUE(system_->awaitView(all)) << "member " << lost << " did not come back";
        report(kind, "whole view after", system_->clock().now() - since);
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
}

// One member is cut off and misses changes; another loses its disk, the third its process; the cut heals: one disk is lost.
TEST_F(DiskTest, AMemberThatWasAwayCountsWhenAnotherDiskIsLost) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const std::string kind = "disk lost while another member was away";
    const Members all = system_->founders();
    const Members order = chain();
    const std::size_t away = order[2], lost = order[1], dark = order[0];
    const Members others = without(all, away);
    system_->relay().isolate(system_->nodeOf(away));
    ASSERT_TRUE(system_->awaitView(others)) << "the others do not go on";
    ASSERT_NO_FATAL_FAILURE(takeNext("while a member is away", others));
    ASSERT_NO_FATAL_FAILURE(expectServed("while a member is away"));
    system_->killMember(dark);
    lose(lost);
    system_->relay().rejoin(system_->nodeOf(away), Held::lost);
    system_->startMember(lost);
    const Millis since = system_->clock().now();
    system_->startMember(dark);
    ASSERT_TRUE(system_->awaitView(all)) << "not served again though one disk was lost";
    report(kind, "whole view after", system_->clock().now() - since);
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
    ASSERT_NO_FATAL_FAILURE(takeNext(kind, all));
    ASSERT_NO_FATAL_FAILURE(expectServed(kind));
}

TEST_F(DiskTest, ASecondLossFollowsAnUnplannedReplacementAtOnce) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const std::string kind = "second loss after an unplanned replacement";
    ASSERT_NO_FATAL_FAILURE(takeNext("calm", system_->founders()));
    const std::size_t first = acknowledgedBy_, added = system_->shape().members;
    lose(first);
    system_->startMember(added);
    Members now = without(system_->founders(), first);
    now.push_back(added);
    ASSERT_TRUE(system_->awaitView(now)) << "the new member did not come in";
    ASSERT_NO_FATAL_FAILURE(takeNext("calm", now));
    const std::size_t second = acknowledgedBy_;
    lose(second);
    const Members rest = without(now, second);
    ASSERT_NO_FATAL_FAILURE(expectReadBack(rest));
    ASSERT_NO_FATAL_FAILURE(takeNext(kind, rest));
    ASSERT_NO_FATAL_FAILURE(expectServed(kind));
}

// The new one first, SIGTERM to the old one then, and another disk is lost the moment the old one has ended.
TEST_F(DiskTest, ASecondLossFollowsAPlannedReplacementAtOnce) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const std::string kind = "second loss after a planned replacement";
    Members now = system_->founders();
    std::size_t added = now.size();
    const int rounds = byForm(1, 5);
    for (int round = 0; round < rounds; ++round) {
        system_->startMember(added, false, now);
        now.push_back(added++);
        ASSERT_TRUE(system_->awaitView(now)) << "the new member did not come in";
        ASSERT_NO_FATAL_FAILURE(takeNext("calm", now));
        const std::size_t old = now.front();
        now = without(now, old);
        const Millis since = system_->clock().now();
        system_->signalMember(old, SIGTERM);
        const std::optional<int> status = system_->awaitEnd(old);
        ASSERT_TRUE(status) << "member " << old << " did not end";
        EXPECT_EQ(*status, 0);
        report(kind, "the old member ended after", system_->clock().now() - since);
        const std::size_t lost = now.front();
        lose(lost);
        const Members rest = without(now, lost);
        ASSERT_NO_FATAL_FAILURE(expectReadBack(rest));
        ASSERT_NO_FATAL_FAILURE(takeNext(kind, rest));
        ASSERT_NO_FATAL_FAILURE(expectServed(kind));
        system_->startMember(lost, false, now);
        ASSERT_TRUE(system_->awaitView(now)) << "member " << lost << " did not come back";
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(now));
}

// Five members that bear two losses: the acknowledging one and another lose their disks at one moment.
TEST_F(DiskTest, TwoOfFiveLoseTheirDisksAtOnce) {
    System::Shape shape;
    shape.members = 5;
    shape.gateways = 1;
    shape.machinesToLose = shape.zonesToLose = 2;
    ASSERT_NO_FATAL_FAILURE(begin(shape));
    const Members all = system_->founders();
    const std::string kind = "two of five disks emptied";
    const int rounds = byForm(1, 20);
    for (int round = 0; round < rounds; ++round) {
        ASSERT_NO_FATAL_FAILURE(takeNext("calm", all));
        const std::size_t first = acknowledgedBy_, second = (first + 1 + round % 4) % all.size();
        lose(first);
        lose(second);
        const Members rest = without(without(all, first), second);
        ASSERT_NO_FATAL_FAILURE(expectReadBack(rest));
        ASSERT_NO_FATAL_FAILURE(takeNext(kind, rest));
        ASSERT_NO_FATAL_FAILURE(expectServed(kind));
        system_->startMember(first);
        system_->startMember(second);
        ASSERT_TRUE(system_->awaitView(all))
            << "members " << first << " and " << second << " did not come back";
    }
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
}

}  // namespace
}  // namespace beechpoint::system_test
