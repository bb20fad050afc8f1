// SIGTERM to each member in turn, while an operator sends change after change.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include "fixture.hpp"
#include "gateway_watch.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kClearAnswerMost = 8'000;  // from a change's first call to its clear answer

class RollTest : public SystemTest {
protected:
    // Sends change after change until it is told to end; every one must be taken.
    void sendSteadily(const std::atomic<bool>& ends) {
        Operator steady(*system_);
        while (!ends && unclear_.empty()) {
            const Outcome outcome = steady.put(revision_ + 1, system_->founders());
            if (!outcome.taken()) unclear_ = outcome.text();
            if (outcome.taken()) ++revision_;
            longest_ = std::max(longest_, outcome.took);
            ++sent_;
        }
    }

    std::string unclear_;
    Millis longest_ = 0;
    std::size_t sent_ = 0;
};

TEST_F(RollTest, EveryChangeIsTakenWhileEachMemberStartsAnew) {
    ASSERT_NO_FATAL_FAILURE(begin());
    const Members all = system_->founders();
    GatewayWatch watch(*system_);
    std::atomic<bool> ends = false;
    std::thread steady([&] { sendSteadily(ends); });
    bool whole = true;
    const int rounds = byForm(1, 20);
    for (int round = 0; whole && round < rounds; ++round) {
        for (const std::size_t member : all) {
            const Millis since = system_->clock().now();
            system_->signalMember(member, SIGTERM);
            const std::optional<int> status = system_->awaitEnd(member);
            EXPECT_EQ(status, std::optional<int>(0)) << "member " << member;
            report("roll", "a member ended after", system_->clock().now() - since);
            if (!status) system_->killMember(member);
            system_->startMember(member);
            whole = whole && system_->awaitView(all);
        }
    }
    ends = true;
    steady.join();
    EXPECT_TRUE(whole) << "a member did not come back";
    EXPECT_EQ(unclear_, "");
    EXPECT_LT(longest_, kClearAnswerMost);
    report("roll", "longest time to a clear answer", longest_);
    report("roll", "changes sent", static_cast<double>(sent_));
    ASSERT_NO_FATAL_FAILURE(expectReadBack(all));
    ASSERT_TRUE(system_->awaitGateways(revision_));
    EXPECT_EQ(watch.end().backwards, 0u);
}

}  // namespace
}  // namespace beechpoint::system_test
