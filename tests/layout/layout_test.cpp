// Tests of Layout, QueryPlan and EpochTracker.
#include "layout/layout.hpp"

#include <gtest/gtest.h>

#include <numeric>

#include "layout/epochs.hpp"

namespace beechpoint::layout {
namespace {

constexpr KeyHash kEnd = ~KeyHash{0};

Slice slice(SliceId id, KeyHash first, KeyHash last,
            std::vector<Holder> holders = {{"a", HolderState::serving}}) {
    return {id, first, last, std::move(holders)};
}

std::string rejection(Epoch epoch, std::vector<Slice> slices) {
    try {
        Layout::make(epoch, std::move(slices));
    } catch (const InvalidLayout& e) {
        return e.what();
    }
    return "none";
}

TEST(Layout, RejectsInvalidLayouts) {
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd)}), "none");
    EXPECT_EQ(rejection(0, {slice(1, 0, kEnd)}), "epoch number must be greater than 0");
    EXPECT_EQ(rejection(1, {}), "layout has no slices");
    EXPECT_EQ(rejection(1, {slice(1, 0, 9), slice(2, 11, kEnd)}), "slice 2: gap before its range");
    EXPECT_EQ(rejection(1, {slice(1, 0, 9), slice(2, 9, kEnd)}), "slice 2: overlaps the preceding slice");
    EXPECT_EQ(rejection(1, {slice(1, 0, 9)}), "slice 1: gap after its range");
    EXPECT_EQ(rejection(1, {slice(1, 5, kEnd)}), "slice 1: gap before its range");
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd), slice(2, kEnd, kEnd)}),
              "slice 2: begins after the end of the hash space");
    EXPECT_EQ(rejection(1, {slice(1, 0, 9), slice(1, 10, kEnd)}), "slice 1: duplicate id");
    EXPECT_EQ(rejection(1, {slice(1, 9, 0)}), "slice 1: range end precedes range start");
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd, {})}), "slice 1: no holder is complete");
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd, {{"a", HolderState::catchingUp}})}),
              "slice 1: no holder is complete");
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd, {{"a", HolderState::retired}})}),
              "slice 1: no holder is available to new queries");
    EXPECT_EQ(rejection(1, {slice(1, 0, kEnd, {{"a"}, {"a"}})}), "slice 1: host a is listed twice");
}

TEST(Layout, FindsTheSliceOfEveryHash) {
    std::vector<Slice> slices;
    KeyHash at = 0;
    for (SliceId id = 1; id <= 2000; ++id) {  // uneven widths, some narrower than a lookup bucket
        const KeyHash last =
            id == 2000 ? kEnd : at + (kEnd / 4000) * (1 + id % 2) / (id % 7 == 0 ? 1'000'000 : 1);
        slices.push_back(slice(id, at, last));
        at = last + 1;
    }
    const LayoutPtr layout = Layout::make(3, slices);
    for (const Slice& s : layout->slices()) {
        EXPECT_EQ(layout->sliceOf(s.first).id, s.id);
        EXPECT_EQ(layout->sliceOf(s.last).id, s.id);
        EXPECT_EQ(layout->find(s.id), &s);
    }
    EXPECT_EQ(layout->find(2001), nullptr);
    EXPECT_EQ(layout->highestId(), 2000U);
}

TEST(Layout, HashMatchesTheSpecification) {
    // Parties with a different hash would query the wrong hosts, so these values are part of the wire format.
    EXPECT_EQ(hashKey(""), hashKey(std::string_view()));
    EXPECT_NE(hashKey("c1"), hashKey("c2"));
    EXPECT_EQ(hashKey("consignment-4711"), 0x9a7ba2fae5bcfaf3U);
}

TEST(Layout, RingMatchesThePlatformAndKeepsSharesExactly) {
    std::vector<std::pair<std::string, int>> hosts;
    for (int cell = 0; cell < 15; ++cell) hosts.emplace_back("t" + std::to_string(cell), cell);
    const LayoutPtr ring = Layout::ring(30, 15, 2, hosts);
    ASSERT_EQ(ring->slices().size(), 30U);
    for (int shard = 0; shard < 30; ++shard) {
        const Slice& s = *ring->find(static_cast<SliceId>(shard));
        ASSERT_EQ(s.holders.size(), 2U);
        EXPECT_EQ(s.holders[0].host, "t" + std::to_string(shard % 15));
        EXPECT_EQ(s.holders[1].host, "t" + std::to_string((shard + 1) % 15));
    }
    const std::vector<PlannedPart> named = {{7, 0.1}, {8, 0.2000000001}, {9, 0.7}};
    const QueryPlan plan = planFromParts(ring, named);
    for (std::size_t i = 0; i < named.size(); ++i) {
        EXPECT_EQ(plan.parts[i].slice, named[i].slice);
        EXPECT_EQ(plan.parts[i].share, named[i].share);
    }
    EXPECT_THROW(planFromParts(ring, {{30, 1}}), InvalidLayout);
}

double sumOfShares(const QueryPlan& plan) {
    return std::accumulate(plan.parts.begin(), plan.parts.end(), 0.0,
                           [](double s, const PlannedPart& p) { return s + p.share; });
}

TEST(Plan, SharesSumToOneInEveryLayout) {
    std::vector<Slice> slices = {slice(1, 0, kEnd)};
    SliceId last = 1;
    for (Epoch epoch = 1; epoch < 300; ++epoch) {  // one split per epoch
        const LayoutPtr layout = Layout::make(epoch, slices);
        EXPECT_NEAR(sumOfShares(planAll(layout)), 1, 1e-9);
        EXPECT_NEAR(sumOfShares(planRange(layout, 12345, kEnd / 3)), 1, 1e-9);
        EXPECT_NEAR(sumOfShares(planKeys(layout, {"a", "b", "c", "d", "e", "f", "g"})), 1, 1e-9);
        Slice& s = slices[epoch % slices.size()];
        if (s.last - s.first < 4) continue;
        Slice upper = s;
        upper.first = s.first + (s.last - s.first) / 3 + 1;
        s.last = upper.first - 1;
        upper.id = ++last;
        slices.push_back(upper);
    }
}

TEST(Plan, AcceptsOnlyAnswersThatAreNotStale) {
    const LayoutPtr five = Layout::make(
        5,
        {slice(1, 0, 99),
         slice(2, 100, kEnd, {{"a"}, {"b", HolderState::handingOver, 4}, {"c", HolderState::copying, 5}})});
    const QueryPlan plan = planAll(five);
    EXPECT_TRUE(plan.acceptsAnswer(2, "a", 5, 1));
    EXPECT_TRUE(plan.acceptsAnswer(2, "a", 3, 1));   // has not received 5 yet, but already held the slice
    EXPECT_TRUE(plan.acceptsAnswer(2, "b", 9, 4));   // newer than the plan, and held without interruption
    EXPECT_FALSE(plan.acceptsAnswer(2, "b", 3, 1));  // was not complete at 3, despite its report
    EXPECT_FALSE(plan.acceptsAnswer(2, "b", 9, 8));  // lost the slice and regained it
    EXPECT_FALSE(plan.acceptsAnswer(2, "b", 4, 9));  // inconsistent report
    EXPECT_FALSE(plan.acceptsAnswer(2, "c", 5, 5));  // not complete in this plan
    EXPECT_FALSE(plan.acceptsAnswer(2, "d", 5, 1));  // not a holder in this plan
    EXPECT_FALSE(plan.acceptsAnswer(7, "a", 5, 1));  // not in this plan: split or merged
}

TEST(Plan, KeysOfOneSliceFormOnePart) {
    const LayoutPtr layout = Layout::make(1, {slice(1, 0, kEnd / 2), slice(2, kEnd / 2 + 1, kEnd)});
    const QueryPlan plan = planKeys(layout, {"x", "x", "x"});
    ASSERT_EQ(plan.parts.size(), 1U);
    EXPECT_DOUBLE_EQ(plan.parts[0].share, 1);
    EXPECT_EQ(planRange(layout, 5, 4).parts.size(), 0U);
}

// ---- epochs

LayoutPtr epoch(Epoch number) { return Layout::make(number, {slice(1, 0, kEnd)}); }

TEST(Epochs, AcceptsGapsAndDiscardsOldAndDuplicateEpochs) {
    EpochTracker tracker;
    EXPECT_EQ(tracker.pin(10), 0U);  // no epoch to plan on yet
    EXPECT_TRUE(tracker.update(epoch(3)));
    EXPECT_TRUE(tracker.update(epoch(5)));   // 4 was not received
    EXPECT_FALSE(tracker.update(epoch(4)));  // older than the newest
    EXPECT_FALSE(tracker.update(epoch(5)));
    EXPECT_EQ(tracker.newest()->epoch(), 5U);
    EXPECT_EQ(tracker.counts().skipped, 1U);
    EXPECT_EQ(tracker.counts().outdated, 1U);
    EXPECT_EQ(tracker.counts().duplicate, 1U);
    EXPECT_EQ(tracker.retainedCount(), 1U);
}

TEST(Epochs, RetainsPinnedEpochsUntilUnpinnedOrExpired) {
    EpochTracker tracker;
    tracker.update(epoch(1));
    const auto first = tracker.pin(100), second = tracker.pin(200);
    tracker.update(epoch(2));
    const auto third = tracker.pin(300);
    tracker.update(epoch(3));
    EXPECT_EQ(tracker.oldestRetained(), 1U);  // three epochs during one query
    tracker.unpin(first);
    EXPECT_EQ(tracker.oldestRetained(), 1U);
    tracker.advance(199);
    EXPECT_EQ(tracker.oldestRetained(), 1U);
    tracker.advance(200);  // the last deadline has passed
    EXPECT_EQ(tracker.oldestRetained(), 2U);
    EXPECT_EQ(tracker.find(1), nullptr);
    tracker.unpin(second);  // already expired: no effect
    tracker.unpin(third);
    tracker.unpin(third);
    EXPECT_EQ(tracker.oldestRetained(), 3U);
    EXPECT_EQ(tracker.pinCount(), 0U);
    EXPECT_EQ(tracker.nextDeadline(), 1e300);
}

TEST(Epochs, RetainsABoundedNumberOfEpochs) {
    EpochTracker tracker(4);
    for (Epoch e = 1; e <= 100; ++e) {
        tracker.update(epoch(e));
        tracker.pin(1e9);  // queries that never end
    }
    EXPECT_EQ(tracker.retainedCount(), 5U);
    EXPECT_EQ(tracker.counts().evicted, 95U);
    EXPECT_EQ(tracker.oldestRetained(), 96U);
    tracker.advance(1e9);
    EXPECT_EQ(tracker.retainedCount(), 1U);
    EXPECT_EQ(tracker.pinCount(), 0U);
}

}  // namespace
}  // namespace beechpoint::layout
