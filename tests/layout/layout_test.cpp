// Layouts, plans and epochs.
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

std::string refusal(Epoch epoch, std::vector<Slice> slices) {
    try {
        Layout::make(epoch, std::move(slices));
    } catch (const BadLayout& e) {
        return e.what();
    }
    return "none";
}

TEST(Layout, RefusesWhatMustNotBe) {
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd)}), "none");
    EXPECT_EQ(refusal(0, {slice(1, 0, kEnd)}), "an epoch's number must be above 0");
    EXPECT_EQ(refusal(1, {}), "a layout without slices");
    EXPECT_EQ(refusal(1, {slice(1, 0, 9), slice(2, 11, kEnd)}), "slice 2: a gap lies before it");
    EXPECT_EQ(refusal(1, {slice(1, 0, 9), slice(2, 9, kEnd)}), "slice 2: overlaps the one before it");
    EXPECT_EQ(refusal(1, {slice(1, 0, 9)}), "slice 1: a gap lies behind it");
    EXPECT_EQ(refusal(1, {slice(1, 5, kEnd)}), "slice 1: a gap lies before it");
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd), slice(2, kEnd, kEnd)}), "slice 2: lies beyond the last hash");
    EXPECT_EQ(refusal(1, {slice(1, 0, 9), slice(1, 10, kEnd)}), "slice 1: its id stands twice");
    EXPECT_EQ(refusal(1, {slice(1, 9, 0)}), "slice 1: its range ends before it begins");
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd, {})}), "slice 1: no host holds it complete");
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd, {{"a", HolderState::catchingUp}})}),
              "slice 1: no host holds it complete");
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd, {{"a", HolderState::retired}})}),
              "slice 1: no host may be asked for it");
    EXPECT_EQ(refusal(1, {slice(1, 0, kEnd, {{"a"}, {"a"}})}), "slice 1: host a holds it twice");
}

TEST(Layout, FindsEveryHashsSlice) {
    std::vector<Slice> slices;
    KeyHash at = 0;
    for (SliceId id = 1; id <= 2000; ++id) {  // of uneven widths, some narrower than the look-up's grain
        const KeyHash last =
            id == 2000 ? kEnd : at + (kEnd / 4000) * (1 + id % 2) / (id % 7 == 0 ? 1'000'000 : 1);
        slices.push_back(slice(id, at, last));
        at = last + 1;
    }
    const LayoutPtr l = Layout::make(3, slices);
    for (const Slice& s : l->slices()) {
        EXPECT_EQ(l->sliceOf(s.first).id, s.id);
        EXPECT_EQ(l->sliceOf(s.last).id, s.id);
        EXPECT_EQ(l->find(s.id), &s);
    }
    EXPECT_EQ(l->find(2001), nullptr);
    EXPECT_EQ(l->highestId(), 2000U);
}

TEST(Layout, TheHashIsTheOneStated) {
    // Parties that hash otherwise would ask the wrong hosts: these figures are part of the form.
    EXPECT_EQ(hashKey(""), hashKey(std::string_view()));
    EXPECT_NE(hashKey("c1"), hashKey("c2"));
    EXPECT_EQ(hashKey("consignment-4711"), 0x9a7ba2fae5bcfaf3U);
}

TEST(Layout, TheRingGivesThePlatformsPartsToTheBit) {
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
    const QueryPlan plan = planNamed(ring, named);
    for (std::size_t i = 0; i < named.size(); ++i) {
        EXPECT_EQ(plan.parts[i].slice, named[i].slice);
        EXPECT_EQ(plan.parts[i].share, named[i].share);
    }
    EXPECT_THROW(planNamed(ring, {{30, 1}}), BadLayout);
}

double sum(const QueryPlan& plan) {
    return std::accumulate(plan.parts.begin(), plan.parts.end(), 0.0,
                           [](double s, const PlannedPart& p) { return s + p.share; });
}

TEST(Plan, SharesSumToOneAtEveryLayout) {
    std::vector<Slice> slices = {slice(1, 0, kEnd)};
    SliceId last = 1;
    for (Epoch epoch = 1; epoch < 300; ++epoch) {  // split after split
        const LayoutPtr l = Layout::make(epoch, slices);
        EXPECT_NEAR(sum(planAll(l)), 1, 1e-9);
        EXPECT_NEAR(sum(planRange(l, 12345, kEnd / 3)), 1, 1e-9);
        EXPECT_NEAR(sum(planKeys(l, {"a", "b", "c", "d", "e", "f", "g"})), 1, 1e-9);
        Slice& s = slices[epoch % slices.size()];
        if (s.last - s.first < 4) continue;
        Slice upper = s;
        upper.first = s.first + (s.last - s.first) / 3 + 1;
        s.last = upper.first - 1;
        upper.id = ++last;
        slices.push_back(upper);
    }
}

TEST(Plan, KeepsItsLayoutAndSaysWhoseAnswersAreStale) {
    const LayoutPtr five = Layout::make(
        5,
        {slice(1, 0, 99),
         slice(2, 100, kEnd, {{"a"}, {"b", HolderState::handingOver, 4}, {"c", HolderState::copying, 5}})});
    const QueryPlan plan = planAll(five);
    EXPECT_TRUE(plan.takes(2, "a", 5, 1));
    EXPECT_TRUE(plan.takes(2, "a", 3, 1));   // it has not heard of 5 yet, and holds what 5 says
    EXPECT_TRUE(plan.takes(2, "b", 9, 4));   // newer than the plan, and held all along
    EXPECT_FALSE(plan.takes(2, "b", 3, 1));  // at 3 it was not complete, whatever it says
    EXPECT_FALSE(plan.takes(2, "b", 9, 8));  // it lost it, and has it again
    EXPECT_FALSE(plan.takes(2, "b", 4, 9));  // makes no sense
    EXPECT_FALSE(plan.takes(2, "c", 5, 5));  // not complete in this plan
    EXPECT_FALSE(plan.takes(2, "d", 5, 1));  // does not hold it in this plan
    EXPECT_FALSE(plan.takes(7, "a", 5, 1));  // not of this plan: split or merged
}

TEST(Plan, KeysOfOneSliceAreOnePart) {
    const LayoutPtr l = Layout::make(1, {slice(1, 0, kEnd / 2), slice(2, kEnd / 2 + 1, kEnd)});
    const QueryPlan plan = planKeys(l, {"x", "x", "x"});
    ASSERT_EQ(plan.parts.size(), 1U);
    EXPECT_DOUBLE_EQ(plan.parts[0].share, 1);
    EXPECT_EQ(planRange(l, 5, 4).parts.size(), 0U);
}

// ---- epochs

LayoutPtr epoch(Epoch number) { return Layout::make(number, {slice(1, 0, kEnd)}); }

TEST(Epochs, TakesGapsAndDropsWhatIsOldOrTwice) {
    EpochBook book;
    EXPECT_EQ(book.hold(10), 0U);  // nothing to plan on yet
    EXPECT_TRUE(book.tell(epoch(3)));
    EXPECT_TRUE(book.tell(epoch(5)));   // never told of 4
    EXPECT_FALSE(book.tell(epoch(4)));  // too late for it
    EXPECT_FALSE(book.tell(epoch(5)));
    EXPECT_EQ(book.newest()->epoch(), 5U);
    EXPECT_EQ(book.counts().skipped, 1U);
    EXPECT_EQ(book.counts().old, 1U);
    EXPECT_EQ(book.counts().duplicate, 1U);
    EXPECT_EQ(book.kept(), 1U);
}

TEST(Epochs, KeepsWhatLiveQueriesHoldToTheirEndOrTheirDeadline) {
    EpochBook book;
    book.tell(epoch(1));
    const auto first = book.hold(100), second = book.hold(200);
    book.tell(epoch(2));
    const auto third = book.hold(300);
    book.tell(epoch(3));
    EXPECT_EQ(book.oldestHeld(), 1U);  // three epochs in one query's lifetime
    book.release(first);
    EXPECT_EQ(book.oldestHeld(), 1U);
    book.advance(199);
    EXPECT_EQ(book.oldestHeld(), 1U);
    book.advance(200);  // its last deadline has gone by
    EXPECT_EQ(book.oldestHeld(), 2U);
    EXPECT_EQ(book.find(1), nullptr);
    book.release(second);  // late, and harmless
    book.release(third);
    book.release(third);
    EXPECT_EQ(book.oldestHeld(), 3U);
    EXPECT_EQ(book.holds(), 0U);
    EXPECT_EQ(book.next(), 1e300);
}

TEST(Epochs, KeepsABoundedNumber) {
    EpochBook book(4);
    for (Epoch e = 1; e <= 100; ++e) {
        book.tell(epoch(e));
        book.hold(1e9);  // queries that never end
    }
    EXPECT_EQ(book.kept(), 5U);
    EXPECT_EQ(book.counts().letGo, 95U);
    EXPECT_EQ(book.oldestHeld(), 96U);
    book.advance(1e9);
    EXPECT_EQ(book.kept(), 1U);
    EXPECT_EQ(book.holds(), 0U);
}

}  // namespace
}  // namespace beechpoint::layout
