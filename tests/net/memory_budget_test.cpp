// Whom the budget of client connections refuses or frees, and in which order.
#include "net/memory_budget.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "net/connection_budget.hpp"

namespace beechpoint::net {
namespace {

using AccountId = MemoryBudget::AccountId;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kLimit = 1024 * kKilobyte;
constexpr Millis kNow = 10'000;

MemoryBudget::Holding partial(std::size_t bytes, Millis since) {
    return {MemoryUse::partialRequest, bytes, 0, since};
}

class MemoryBudgetTest : public ::testing::Test {
protected:
    AccountId openWith(const MemoryBudget::Holding& holding) {
        const AccountId id = budget.open();
        budget.hold(id, holding);
        return id;
    }

    MemoryBudget budget{kLimit};
};

TEST_F(MemoryBudgetTest, GrantsWhatFitsAndFreesNobody) {
    openWith(partial(512 * kKilobyte, 0));
    const AccountId growing = openWith(partial(0, kNow));
    const auto decision = budget.grow(growing, 512 * kKilobyte, kNow);
    EXPECT_TRUE(decision.granted);
    EXPECT_TRUE(decision.toFree.empty());
}

TEST_F(MemoryBudgetTest, CountsWhatIsHeldUntilItIsReplacedOrClosed) {
    const AccountId id = openWith({MemoryUse::queuedAnswer, 30 * kKilobyte, 20 * kKilobyte, 0});
    EXPECT_EQ(budget.used(), 50 * kKilobyte);
    EXPECT_EQ(budget.pinned(), 20 * kKilobyte);
    budget.hold(id, partial(10 * kKilobyte, 0));
    EXPECT_EQ(budget.used(), 10 * kKilobyte);
    EXPECT_EQ(budget.pinned(), 0U);
    budget.close(id);
    EXPECT_EQ(budget.used(), 0U);
}

TEST_F(MemoryBudgetTest, FreesWhatHasBeenHeldLongestAmongEquals) {
    openWith(partial(512 * kKilobyte, kNow - 10));
    const AccountId oldest = openWith(partial(512 * kKilobyte, kNow - 5000));
    const AccountId growing = openWith(partial(0, kNow));
    const auto decision = budget.grow(growing, 100 * kKilobyte, kNow);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.toFree, std::vector<AccountId>{oldest});
}

TEST_F(MemoryBudgetTest, FreesTheLargestAmongThoseThatCameTogether) {
    openWith(partial(300 * kKilobyte, kNow));
    const AccountId largest = openWith(partial(724 * kKilobyte, kNow));
    const auto decision = budget.grow(openWith(partial(0, kNow)), 100 * kKilobyte, kNow);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.toFree, std::vector<AccountId>{largest});
}

TEST_F(MemoryBudgetTest, TheGrowingOneGivesUpWhereItIsTheCostliest) {
    for (int i = 0; i < 10; ++i) openWith(partial(60 * kKilobyte, kNow));
    const AccountId growing = openWith(partial(400 * kKilobyte, kNow - 1000));
    const auto decision = budget.grow(growing, 800 * kKilobyte, kNow);
    EXPECT_FALSE(decision.granted);
    EXPECT_TRUE(decision.toFree.empty());
}

TEST_F(MemoryBudgetTest, NeverFreesWhatIsInUseOrPinned) {
    openWith({MemoryUse::inUse, 500 * kKilobyte, 0, 0});
    openWith({MemoryUse::queuedAnswer, 0, 500 * kKilobyte, 0});
    const auto decision = budget.grow(openWith(partial(0, kNow)), 100 * kKilobyte, kNow);
    EXPECT_FALSE(decision.granted);
    EXPECT_TRUE(decision.toFree.empty());
}

TEST_F(MemoryBudgetTest, ManySmallOnesAreLeftAlone) {
    for (std::size_t i = 0; i < 128; ++i) openWith(partial(8 * kKilobyte, 0));
    const auto decision = budget.grow(openWith(partial(0, kNow)), 64 * kKilobyte, kNow);
    EXPECT_FALSE(decision.granted);
    EXPECT_TRUE(decision.toFree.empty());
}

TEST_F(MemoryBudgetTest, LargeRequestsAreRefusedBeforeSmallOnes) {
    openWith({MemoryUse::queuedAnswer, 0, 900 * kKilobyte, 0});
    const AccountId next = openWith(partial(0, kNow));
    EXPECT_FALSE(budget.admit(next, 100 * kKilobyte, kNow).granted);
    EXPECT_TRUE(budget.admit(next, 60 * kKilobyte, kNow).granted);
}

TEST_F(MemoryBudgetTest, AnAdmittedRequestTakesTheRoomOfPartialOnes) {
    const AccountId stalled = openWith(partial(kLimit, 0));
    const auto decision = budget.admit(openWith(partial(0, kNow)), 200 * kKilobyte, kNow);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.toFree, std::vector<AccountId>{stalled});
}

TEST_F(MemoryBudgetTest, WithoutALimitEverythingFits) {
    MemoryBudget unlimited;
    const AccountId id = unlimited.open();
    unlimited.hold(id, partial(kLimit * kLimit, 0));
    EXPECT_TRUE(unlimited.grow(id, kLimit * kLimit, kNow).granted);
    EXPECT_TRUE(unlimited.admit(id, kLimit * kLimit, kNow).granted);
}

// Whatever accounts do, what is granted fits once those named have been freed, and nobody is named who may not be.
TEST(MemoryBudgetProperties, TheLimitIsKeptForAnySequence) {
    constexpr std::uint32_t kSeeds = 200;
    constexpr int kSteps = 300;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        std::mt19937 random(seed);
        MemoryBudget budget(kLimit);
        std::map<AccountId, MemoryBudget::Holding> held;
        for (int step = 0; step < kSteps; ++step) {
            const Millis now = step;
            const AccountId id =
                random() % 3 == 0 || held.empty()
                    ? budget.open()
                    : std::next(held.begin(), static_cast<long>(random() % held.size()))->first;
            const std::size_t more = random() % (256 * kKilobyte);
            const bool isRequest = random() % 4 == 0;
            const auto decision = isRequest ? budget.admit(id, more, now) : budget.grow(id, more, now);
            for (const AccountId freed : decision.toFree) {
                ASSERT_NE(freed, id) << "seed " << seed;
                ASSERT_NE(held.at(freed).use, MemoryUse::inUse) << "seed " << seed;
                held[freed].bytes = 0;
                budget.hold(freed, held[freed]);
            }
            MemoryBudget::Holding& own = held[id];
            if (decision.granted) (isRequest ? own.pinned : own.bytes) += more;
            own.use = static_cast<MemoryUse>(random() % 4);
            own.since = now;
            budget.hold(id, own);
            ASSERT_LE(budget.used(), kLimit) << "seed " << seed << ", step " << step;
        }
    }
}

TEST(ConnectionMemoryTest, SharesLeaveTheProgramItsPart) {
    constexpr std::int64_t kMemoryMb = 256;
    const auto memory = ConnectionMemory::of(kMemoryMb);
    const std::size_t connections = memory.mostConnections();
    const std::size_t unread = connections * 2 * static_cast<std::size_t>(memory.receiveBuffer(connections));
    EXPECT_LE(unread, memory.unreadBytes);
    EXPECT_LE(memory.heldBytes + memory.unreadBytes, static_cast<std::size_t>(kMemoryMb) * kLimit * 3 / 4);
}

// An owner that gives up all of its bytes, as a connection does.
class FreeingOwner : public ConnectionBudget::Owner {
public:
    explicit FreeingOwner(ConnectionBudget& budget) : budget_(budget), id(budget.open(*this)) {}
    void freeMemory() override {
        ++freed;
        budget_.hold(id, {});
    }

private:
    ConnectionBudget& budget_;

public:
    const AccountId id;
    int freed = 0;
};

TEST(ConnectionBudgetTest, OwnersFreeTheirMemoryBeforeAnotherGrows) {
    ConnectionBudget budget(kLimit);
    FreeingOwner stalled(budget), next(budget);
    budget.hold(stalled.id, partial(kLimit, 0));
    EXPECT_TRUE(budget.grow(next.id, kLimit / 2, kNow));
    EXPECT_EQ(stalled.freed, 1);
    EXPECT_EQ(next.freed, 0);
    EXPECT_EQ(budget.state().used(), 0U);
}

}  // namespace
}  // namespace beechpoint::net
