// State machine of layout changes: every transition out of every state.
#include "layout/changes.hpp"

#include <gtest/gtest.h>

namespace beechpoint::layout {
namespace {

constexpr KeyHash kEnd = ~KeyHash{0};

// A ChangeManager with two slices on hosts a and b, driven with virtual time.
struct ChangeFixture {
    ChangeFixture()
        : changes(Layout::make(1, {{1, 0, 999, {{"a"}, {"b"}}}, {2, 1000, kEnd, {{"a"}, {"b"}}}})) {}
    ChangeId move(const std::string& from = "a", const std::string& to = "c", SliceId slice = 1) {
        return begin(Move{slice, from, to});
    }
    ChangeId begin(const ChangeSpec& spec) { return changes.begin(now, spec, out, reason); }
    // Starts a move and drives it to this state.
    ChangeId moveIn(ChangeState state) {
        const ChangeId id = move();
        if (state == ChangeState::copying) return id;
        changes.copyCompleted(now, id, out);
        if (state == ChangeState::catchingUp) return id;
        changes.catchUpCompleted(now, id, out);
        if (state == ChangeState::dual) return id;
        confirmNewest("c");
        return id;
    }
    void confirmNewest(const std::string& host) {
        changes.epochConfirmed(now, host, changes.layout()->epoch(), out);
    }
    void advanceBy(Millis ms) {
        for (const Millis end = now + ms; now < end;) {
            now = std::min(end, std::max(changes.nextDeadline(), now));
            changes.advance(now, out);
            if (changes.nextDeadline() > end) now = end;
        }
    }
    // The name of a change's state.
    std::string state(ChangeId id) const {
        for (const ChangeView& v : changes.changes())
            if (v.id == id) return nameOf(v.state);
        return "none";
    }
    // The name of a host's state in a slice.
    std::string holder(const std::string& host, SliceId slice = 1) const {
        const Slice* s = changes.layout()->find(slice);
        const Holder* h = s ? s->find(host) : nullptr;
        return h ? nameOf(h->state) : "none";
    }
    template <class T>
    std::size_t count() const {
        std::size_t n = 0;
        for (const LayoutAction& a : out) n += std::holds_alternative<T>(a) ? 1 : 0;
        return n;
    }
    std::string outcome() const {
        for (const LayoutAction& a : out)
            if (const auto* e = std::get_if<ChangeEnded>(&a))
                return (e->done ? "done" : "undone: ") + e->reason;
        return "open";
    }
    ChangeManager changes;
    Millis now = 0;
    LayoutActions out;
    std::string reason;
};

TEST(Move, PublishesOneEpochPerStep) {
    ChangeFixture f;
    const ChangeId id = f.move();
    ASSERT_EQ(id, 1U);
    EXPECT_EQ(f.holder("c"), "copying");
    EXPECT_EQ(f.count<StartCopy>(), 1U);
    f.changes.copyCompleted(f.now, id, f.out);
    EXPECT_EQ(f.holder("c"), "catching up");
    f.changes.catchUpCompleted(f.now, id, f.out);
    EXPECT_EQ(f.holder("c"), "handing over");
    EXPECT_EQ(f.holder("a"), "serving");
    f.changes.epochConfirmed(f.now, "c", f.changes.layout()->epoch() - 1,
                             f.out);  // older than the epoch that makes c selectable
    EXPECT_EQ(f.state(id), "dual");
    f.confirmNewest("c");
    EXPECT_EQ(f.holder("c"), "serving");
    EXPECT_EQ(f.holder("a"), "retired");
    EXPECT_EQ(f.state(id), "releasing");
    f.changes.epochReleased(f.now, f.changes.layout()->epoch() - 1,
                            f.out);  // a query still uses the previous epoch
    EXPECT_EQ(f.state(id), "releasing");
    f.changes.epochReleased(f.now, f.changes.layout()->epoch(), f.out);
    EXPECT_EQ(f.outcome(), "done");
    EXPECT_EQ(f.holder("a"), "none");
    EXPECT_EQ(f.count<DropData>(), 1U);
    EXPECT_EQ(f.changes.layout()->epoch(), 6U);
    EXPECT_EQ(f.count<Publish>(), 5U);
}

TEST(Move, IsRejectedWithAReason) {
    ChangeFixture f;
    const auto rejection = [&](const ChangeSpec& spec) {
        EXPECT_EQ(f.begin(spec), 0U);
        return f.reason;
    };
    EXPECT_EQ(rejection(Move{9, "a", "c"}), "slice 9 does not exist in epoch 1");
    EXPECT_EQ(rejection(Move{1, "x", "c"}), "slice 1 is not served by host x");
    EXPECT_EQ(rejection(Move{1, "a", "b"}), "host b already holds slice 1");
    EXPECT_EQ(rejection(Move{1, "a", ""}), "move has no target host");
    f.changes.hostDied(0, "c", f.out);
    EXPECT_EQ(rejection(Move{1, "a", "c"}), "host c is dead");
    f.changes.hostReturned(0, "c", f.out);
    f.move();
    EXPECT_EQ(rejection(Move{1, "b", "d"}), "slice 1 already has a change in progress");
    EXPECT_EQ(rejection(Merge{1, 2}), "slice 1 already has a change in progress");
    for (int i = 0; i < 3; ++i) {  // reaches the limit of concurrent changes
        std::string reason;
        f.begin(Split{2, 2000});
        f.begin(Move{2, "a", "d"});
    }
    EXPECT_LE(f.changes.activeCount(), 4U);
    EXPECT_EQ(rejection(Split{1, 0}), "slice 1 already has a change in progress");
}

TEST(Move, IsUndoneIfTheTargetDiesInAnyState) {
    for (const ChangeState state :
         {ChangeState::copying, ChangeState::catchingUp, ChangeState::dual, ChangeState::releasing}) {
        ChangeFixture f;
        f.moveIn(state);
        f.changes.hostDied(f.now, "c", f.out);
        EXPECT_EQ(f.outcome(), "undone: host c died") << nameOf(state);
        EXPECT_EQ(f.holder("c"), "none");
        EXPECT_EQ(f.holder("a"), "serving");  // also after the handover: it is still complete
        EXPECT_EQ(f.holder("b"), "serving");
    }
}

TEST(Move, ContinuesAfterSourceDeathOnlyIfTheTargetCanBeComplete) {
    ChangeFixture copying;
    const ChangeId id = copying.moveIn(ChangeState::copying);
    copying.changes.hostDied(0, "a", copying.out);
    EXPECT_EQ(copying.state(id), "copying");  // copies from b, which is also complete
    EXPECT_EQ(std::get<StartCopy>(copying.out.back()).from, "b");
    copying.changes.hostDied(0, "b", copying.out);
    EXPECT_EQ(copying.outcome(), "undone: host b died, and no other live host has a complete copy");
    EXPECT_EQ(copying.holder("a"), "serving");  // dead, but a complete holder must remain

    ChangeFixture catching;
    const ChangeId second = catching.moveIn(ChangeState::catchingUp);
    catching.changes.hostDied(0, "a", catching.out);
    // Writes that only a had received may be missing, so the copy restarts.
    EXPECT_EQ(catching.state(second), "copying");
    EXPECT_EQ(catching.holder("c"), "copying");

    for (const ChangeState state : {ChangeState::dual, ChangeState::releasing}) {
        ChangeFixture f;
        f.moveIn(state);
        f.changes.hostDied(f.now, "a", f.out);
        f.confirmNewest("c");
        f.advanceBy(60'000);
        EXPECT_EQ(f.outcome(), "done") << nameOf(state);
        EXPECT_EQ(f.holder("c"), "serving");
    }
}

TEST(Move, OverlappingFailures) {
    ChangeFixture f;  // the source dies, then the target during the new copy
    f.moveIn(ChangeState::catchingUp);
    f.changes.hostDied(0, "a", f.out);
    f.changes.hostDied(0, "c", f.out);
    EXPECT_EQ(f.outcome(), "undone: host c died");
    ChangeFixture dual;  // the target dies in dual after its source
    dual.moveIn(ChangeState::dual);
    dual.changes.hostDied(0, "a", dual.out);
    dual.changes.hostDied(0, "c", dual.out);
    EXPECT_EQ(dual.holder("a"), "serving");
    EXPECT_EQ(dual.holder("c"), "none");
}

TEST(Move, EveryStateTimesOut) {
    ChangeFixture copying, catching, dual, releasing;
    copying.moveIn(ChangeState::copying);
    copying.advanceBy(600'000);
    EXPECT_EQ(copying.outcome(), "undone: copy timed out");
    catching.moveIn(ChangeState::catchingUp);
    catching.advanceBy(60'000);
    EXPECT_EQ(catching.outcome(), "undone: catch-up timed out");
    const ChangeId id = dual.moveIn(ChangeState::dual);
    dual.advanceBy(10'000);
    EXPECT_EQ(dual.state(id), "releasing");  // the target was selectable, so it is retired first
    EXPECT_EQ(dual.holder("c"), "retired");
    EXPECT_EQ(dual.holder("a"), "serving");
    dual.confirmNewest("c");
    dual.advanceBy(10'000);
    EXPECT_EQ(dual.outcome(), "undone: 1 hosts did not confirm the epoch in time");
    EXPECT_EQ(dual.holder("c"), "none");
    releasing.moveIn(ChangeState::releasing);
    releasing.confirmNewest("a");
    releasing.advanceBy(10'000);  // maxQueryDuration, without any report of gatherers
    EXPECT_EQ(releasing.outcome(), "done");
}

TEST(Move, DepartingHostStaysRetiredUntilItConfirmsOrDies) {
    ChangeFixture f;
    const ChangeId id = f.moveIn(ChangeState::releasing);
    f.advanceBy(500'000);  // a has not confirmed and may answer by an older epoch
    EXPECT_EQ(f.state(id), "releasing");
    EXPECT_EQ(f.holder("a"), "retired");
    f.confirmNewest("a");
    f.advanceBy(9'999);
    EXPECT_EQ(f.state(id), "releasing");
    f.advanceBy(1);
    EXPECT_EQ(f.outcome(), "done");
    ChangeFixture dead;
    dead.moveIn(ChangeState::releasing);
    dead.changes.hostDied(dead.now, "a", dead.out);
    dead.advanceBy(10'000);
    EXPECT_EQ(dead.outcome(), "done");
}

TEST(Move, CanBeAbortedUntilHandover) {
    for (const ChangeState state : {ChangeState::copying, ChangeState::catchingUp, ChangeState::dual}) {
        ChangeFixture f;
        const ChangeId id = f.moveIn(state);
        EXPECT_TRUE(f.changes.abort(f.now, id, f.out));
        f.confirmNewest("c");
        f.advanceBy(20'000);
        EXPECT_EQ(f.outcome(), "undone: aborted");
        EXPECT_EQ(f.holder("c"), "none");
    }
    ChangeFixture f;
    const ChangeId id = f.moveIn(ChangeState::releasing);
    EXPECT_FALSE(f.changes.abort(f.now, id, f.out));
    EXPECT_FALSE(f.changes.abort(f.now, 99, f.out));
}

TEST(Move, UnexpectedReportsAreCountedAndIgnored) {
    ChangeFixture f;
    const ChangeId id = f.moveIn(ChangeState::dual);
    const Epoch epoch = f.changes.layout()->epoch();
    f.changes.copyCompleted(0, id, f.out);
    f.changes.catchUpCompleted(0, id, f.out);
    f.changes.copyCompleted(0, 77, f.out);
    f.changes.epochConfirmed(0, "c", epoch + 5, f.out);  // an epoch that was never published
    EXPECT_EQ(f.changes.ignoredReports(), 4U);
    EXPECT_EQ(f.changes.layout()->epoch(), epoch);
}

TEST(Split, ReplacesASliceByItsHalvesOnceItsHostsConfirm) {
    ChangeFixture f;
    const ChangeId id = f.begin(Split{1, 500});
    EXPECT_EQ(f.changes.layout()->find(1), nullptr);
    EXPECT_EQ(f.changes.layout()->sliceOf(499).id, 3U);
    EXPECT_EQ(f.changes.layout()->sliceOf(500).id, 4U);
    f.confirmNewest("a");
    EXPECT_EQ(f.state(id), "preparing");
    f.changes.hostDied(0, "b", f.out);  // the others serve; b receives the epoch when it returns
    EXPECT_EQ(f.state(id), "releasing");
    f.advanceBy(10'000);
    EXPECT_EQ(f.outcome(), "done");
    EXPECT_EQ(f.count<DropData>(), 0U);
    EXPECT_EQ(f.begin(Split{3, 0}), 0U);
    EXPECT_EQ(f.reason, "slice 3 cannot be split there: each half must contain at least one hash");
}

TEST(Split, IsUndoneUnderNewIdsIfHostsDoNotConfirm) {
    ChangeFixture f;
    f.begin(Split{1, 500});
    f.advanceBy(10'000);
    EXPECT_EQ(f.outcome(), "undone: 2 hosts did not confirm the epoch in time");
    const Slice& s = f.changes.layout()->sliceOf(0);
    EXPECT_EQ(s.last, 999U);
    EXPECT_EQ(s.id, 5U);  // not 1: ids are never reused, and queries may be planned on 1, 3 and 4
}

TEST(Merge, JoinsAdjacentSlicesOfTheSameHosts) {
    ChangeFixture f;
    EXPECT_EQ(f.begin(Merge{2, 1}), 0U);
    EXPECT_EQ(f.reason, "slices 2 and 1 are not adjacent in this order");
    f.begin(Merge{1, 2});
    f.confirmNewest("a");
    f.confirmNewest("b");
    f.advanceBy(10'000);
    EXPECT_EQ(f.outcome(), "done");
    EXPECT_EQ(f.changes.layout()->slices().size(), 1U);
    ChangeFixture moved;
    moved.moveIn(ChangeState::releasing);
    moved.confirmNewest("a");
    moved.advanceBy(10'000);
    EXPECT_EQ(moved.begin(Merge{1, 2}), 0U);
    EXPECT_EQ(moved.reason, "slices 1 and 2 are not held by the same hosts: move one first");
}

TEST(ChangeManager, KeepsABoundedHistory) {
    ChangeLimits limits;
    limits.maxEndedRetained = 5;
    ChangeManager changes(Layout::make(1, {{1, 0, kEnd, {{"a"}, {"b"}}}}), limits);
    LayoutActions out;
    std::string reason;
    for (int i = 0; i < 20; ++i) changes.abort(0, changes.begin(0, Move{1, "a", "c"}, out, reason), out);
    EXPECT_EQ(changes.changes().size(), 5U);
    EXPECT_EQ(changes.changes().front().id, 20U);
    EXPECT_EQ(changes.changes().front().reason, "aborted");
}

}  // namespace
}  // namespace beechpoint::layout
