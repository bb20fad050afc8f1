// Tests of the admission of large replies.
#include "control/transfer_slots.hpp"

#include <gtest/gtest.h>

namespace beechpoint::control {
namespace {

std::string name(std::size_t number) { return "g" + std::to_string(number); }

TransferSlots full(Millis now) {
    TransferSlots slots;
    for (std::size_t number = 0; number < TransferSlots::kSlots; ++number)
        EXPECT_TRUE(slots.admit(now, name(number)));
    return slots;
}

TEST(TransferSlots, AdmitsGatewaysUpToTheNumberOfSlots) {
    TransferSlots slots = full(0);
    EXPECT_FALSE(slots.admit(0, "late"));
    EXPECT_TRUE(slots.admit(0, name(0)));
    slots.release(10, name(0));
    EXPECT_TRUE(slots.admit(10, "late"));
    EXPECT_FALSE(slots.admit(10, name(0)));
}

TEST(TransferSlots, FreesASlotAfterTheMaximumTimeWhenTheGatewayIsGone) {
    TransferSlots slots = full(0);
    EXPECT_FALSE(slots.admit(TransferSlots::kMaxSlotTime - 1, "late"));
    EXPECT_TRUE(slots.admit(TransferSlots::kMaxSlotTime, "late"));
    EXPECT_EQ(slots.occupied(), 1u);
}

TEST(TransferSlots, RetryAfterGrowsWithPendingGatewaysUpToTheLimit) {
    TransferSlots slots = full(0);
    const Millis withNonePending = slots.retryAfter();
    for (std::size_t number = 0; number < 16; ++number) EXPECT_FALSE(slots.admit(0, "late" + name(number)));
    EXPECT_GT(slots.retryAfter(), withNonePending);
    for (std::size_t number = 0; number < 5000; ++number) EXPECT_FALSE(slots.admit(0, "more" + name(number)));
    EXPECT_EQ(slots.pending(), TransferSlots::kMaxPending);
    EXPECT_EQ(slots.retryAfter(), TransferSlots::kMaxRetryAfter);
    for (std::size_t number = 0; number < TransferSlots::kSlots; ++number) slots.release(1, name(number));
    EXPECT_TRUE(slots.admit(TransferSlots::kPendingExpiry + 1, "last"));
    EXPECT_EQ(slots.pending(), 0u);
}

}  // namespace
}  // namespace beechpoint::control
