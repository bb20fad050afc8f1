// The change state machine: every state left by each of its exits.
#include "layout/changes.hpp"

#include <gtest/gtest.h>

namespace beechpoint::layout {
namespace {

constexpr KeyHash kEnd = ~KeyHash{0};

struct Bed {
    Bed() : changes(Layout::make(1, {{1, 0, 999, {{"a"}, {"b"}}}, {2, 1000, kEnd, {{"a"}, {"b"}}}})) {}
    ChangeId move(const std::string& from = "a", const std::string& to = "c", SliceId slice = 1) {
        return begin(Move{slice, from, to});
    }
    ChangeId begin(const ChangeSpec& spec) { return changes.begin(now, spec, out, why); }
    // A move brought to a state.
    ChangeId in(ChangeState state) {
        const ChangeId id = move();
        if (state == ChangeState::copying) return id;
        changes.copied(now, id, out);
        if (state == ChangeState::catchingUp) return id;
        changes.caughtUp(now, id, out);
        if (state == ChangeState::dual) return id;
        stands("c");
        return id;
    }
    void stands(const std::string& host) { changes.standsAt(now, host, changes.layout()->epoch(), out); }
    void pass(Millis ms) {
        for (const Millis end = now + ms; now < end;) {
            now = std::min(end, std::max(changes.next(), now));
            changes.advance(now, out);
            if (changes.next() > end) now = end;
        }
    }
    // The state of a change; a host's state in a slice, as text.
    std::string state(ChangeId id) const {
        for (const ChangeView& v : changes.changes())
            if (v.id == id) return nameOf(v.state);
        return "none";
    }
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
    std::string ended() const {
        for (const LayoutAction& a : out)
            if (const auto* e = std::get_if<Ended>(&a)) return (e->done ? "done" : "undone: ") + e->why;
        return "open";
    }
    Changes changes;
    Millis now = 0;
    LayoutActions out;
    std::string why;
};

TEST(Move, GoesStepByStepAndEachStepIsAnEpoch) {
    Bed b;
    const ChangeId id = b.move();
    ASSERT_EQ(id, 1U);
    EXPECT_EQ(b.holder("c"), "copying");
    EXPECT_EQ(b.count<StartCopy>(), 1U);
    b.changes.copied(b.now, id, b.out);
    EXPECT_EQ(b.holder("c"), "catching up");
    b.changes.caughtUp(b.now, id, b.out);
    EXPECT_EQ(b.holder("c"), "handing over");
    EXPECT_EQ(b.holder("a"), "serving");
    b.changes.standsAt(b.now, "c", b.changes.layout()->epoch() - 1, b.out);  // not yet the epoch that asks it
    EXPECT_EQ(b.state(id), "dual");
    b.stands("c");
    EXPECT_EQ(b.holder("c"), "serving");
    EXPECT_EQ(b.holder("a"), "retired");
    EXPECT_EQ(b.state(id), "releasing");
    b.changes.released(b.now, b.changes.layout()->epoch() - 1, b.out);  // a query holds the epoch before
    EXPECT_EQ(b.state(id), "releasing");
    b.changes.released(b.now, b.changes.layout()->epoch(), b.out);
    EXPECT_EQ(b.ended(), "done");
    EXPECT_EQ(b.holder("a"), "none");
    EXPECT_EQ(b.count<DropData>(), 1U);
    EXPECT_EQ(b.changes.layout()->epoch(), 6U);
    EXPECT_EQ(b.count<Publish>(), 5U);
}

TEST(Move, IsRefusedWithAReason) {
    Bed b;
    const auto refused = [&](const ChangeSpec& spec) {
        EXPECT_EQ(b.begin(spec), 0U);
        return b.why;
    };
    EXPECT_EQ(refused(Move{9, "a", "c"}), "slice 9 is not in epoch 1");
    EXPECT_EQ(refused(Move{1, "x", "c"}), "slice 1 is not served by host x");
    EXPECT_EQ(refused(Move{1, "a", "b"}), "host b holds slice 1 already");
    EXPECT_EQ(refused(Move{1, "a", ""}), "a move needs a host to move to");
    b.changes.died(0, "c", b.out);
    EXPECT_EQ(refused(Move{1, "a", "c"}), "host c is dead");
    b.changes.returned(0, "c", b.out);
    b.move();
    EXPECT_EQ(refused(Move{1, "b", "d"}), "slice 1 is being changed already");
    EXPECT_EQ(refused(Merge{1, 2}), "slice 1 is being changed already");
    for (int i = 0; i < 3; ++i) {  // the limit of changes at once
        std::string why;
        b.begin(Split{2, 2000});
        b.begin(Move{2, "a", "d"});
    }
    EXPECT_LE(b.changes.underWay(), 4U);
    EXPECT_EQ(refused(Split{1, 0}), "slice 1 is being changed already");
}

TEST(Move, IsUndoneWhereTheTargetDiesInEachState) {
    for (const ChangeState state :
         {ChangeState::copying, ChangeState::catchingUp, ChangeState::dual, ChangeState::releasing}) {
        Bed b;
        b.in(state);
        b.changes.died(b.now, "c", b.out);
        EXPECT_EQ(b.ended(), "undone: host c died") << nameOf(state);
        EXPECT_EQ(b.holder("c"), "none");
        EXPECT_EQ(b.holder("a"), "serving");  // also after hand-over was decided: it is complete still
        EXPECT_EQ(b.holder("b"), "serving");
    }
}

TEST(Move, GoesOnWhereTheSourceDiesOnlyIfTheTargetIsOrCanBecomeComplete) {
    Bed copying;
    const ChangeId id = copying.in(ChangeState::copying);
    copying.changes.died(0, "a", copying.out);
    EXPECT_EQ(copying.state(id), "copying");  // from b, which is complete too
    EXPECT_EQ(std::get<StartCopy>(copying.out.back()).from, "b");
    copying.changes.died(0, "b", copying.out);
    EXPECT_EQ(copying.ended(), "undone: host b died, and no other lives to copy from");
    EXPECT_EQ(copying.holder("a"), "serving");  // dead, but what it holds is all there is

    Bed catching;
    const ChangeId second = catching.in(ChangeState::catchingUp);
    catching.changes.died(0, "a", catching.out);
    EXPECT_EQ(catching.state(second),
              "copying");  // what a alone had taken may be missing: again from the start
    EXPECT_EQ(catching.holder("c"), "copying");

    for (const ChangeState state : {ChangeState::dual, ChangeState::releasing}) {
        Bed b;
        b.in(state);
        b.changes.died(b.now, "a", b.out);
        b.stands("c");
        b.pass(60'000);
        EXPECT_EQ(b.ended(), "done") << nameOf(state);
        EXPECT_EQ(b.holder("c"), "serving");
    }
}

TEST(Move, OverlappingTroubles) {
    Bed b;  // the source dies, and then the target while it copies anew
    b.in(ChangeState::catchingUp);
    b.changes.died(0, "a", b.out);
    b.changes.died(0, "c", b.out);
    EXPECT_EQ(b.ended(), "undone: host c died");
    Bed dual;  // the target dies while it is asked beside a source that is dead
    dual.in(ChangeState::dual);
    dual.changes.died(0, "a", dual.out);
    dual.changes.died(0, "c", dual.out);
    EXPECT_EQ(dual.holder("a"), "serving");
    EXPECT_EQ(dual.holder("c"), "none");
}

TEST(Move, EveryWaitHasAnEnd) {
    Bed copying, catching, dual, releasing;
    copying.in(ChangeState::copying);
    copying.pass(600'000);
    EXPECT_EQ(copying.ended(), "undone: the copy took too long");
    catching.in(ChangeState::catchingUp);
    catching.pass(60'000);
    EXPECT_EQ(catching.ended(), "undone: catching up took too long");
    const ChangeId id = dual.in(ChangeState::dual);
    dual.pass(10'000);
    EXPECT_EQ(dual.state(id), "releasing");  // it was asked: retired first
    EXPECT_EQ(dual.holder("c"), "retired");
    EXPECT_EQ(dual.holder("a"), "serving");
    dual.stands("c");
    dual.pass(10'000);
    EXPECT_EQ(dual.ended(), "undone: 1 hosts did not confirm the epoch in time");
    EXPECT_EQ(dual.holder("c"), "none");
    releasing.in(ChangeState::releasing);
    releasing.stands("a");
    releasing.pass(10'000);  // the longest query's time, whatever gatherers report
    EXPECT_EQ(releasing.ended(), "done");
}

TEST(Move, WhoLeavesIsWrittenToUntilItKnowsOrDies) {
    Bed b;
    const ChangeId id = b.in(ChangeState::releasing);
    b.pass(500'000);  // a was never heard of: it may answer by an older epoch
    EXPECT_EQ(b.state(id), "releasing");
    EXPECT_EQ(b.holder("a"), "retired");
    b.stands("a");
    b.pass(9'999);
    EXPECT_EQ(b.state(id), "releasing");
    b.pass(1);
    EXPECT_EQ(b.ended(), "done");
    Bed dead;
    dead.in(ChangeState::releasing);
    dead.changes.died(dead.now, "a", dead.out);
    dead.pass(10'000);
    EXPECT_EQ(dead.ended(), "done");
}

TEST(Move, CanBeAbortedUntilItsHandOver) {
    for (const ChangeState state : {ChangeState::copying, ChangeState::catchingUp, ChangeState::dual}) {
        Bed b;
        const ChangeId id = b.in(state);
        EXPECT_TRUE(b.changes.abort(b.now, id, b.out));
        b.stands("c");
        b.pass(20'000);
        EXPECT_EQ(b.ended(), "undone: aborted");
        EXPECT_EQ(b.holder("c"), "none");
    }
    Bed b;
    const ChangeId id = b.in(ChangeState::releasing);
    EXPECT_FALSE(b.changes.abort(b.now, id, b.out));
    EXPECT_FALSE(b.changes.abort(b.now, 99, b.out));
}

TEST(Move, ReportsThatFitNothingAreCountedAndDropped) {
    Bed b;
    const ChangeId id = b.in(ChangeState::dual);
    const Epoch epoch = b.changes.layout()->epoch();
    b.changes.copied(0, id, b.out);
    b.changes.caughtUp(0, id, b.out);
    b.changes.copied(0, 77, b.out);
    b.changes.standsAt(0, "c", epoch + 5, b.out);  // an epoch that was never published
    EXPECT_EQ(b.changes.ignored(), 4U);
    EXPECT_EQ(b.changes.layout()->epoch(), epoch);
}

TEST(Split, ReplacesASliceByItsHalvesOnceItsHostsStandThere) {
    Bed b;
    const ChangeId id = b.begin(Split{1, 500});
    EXPECT_EQ(b.changes.layout()->find(1), nullptr);
    EXPECT_EQ(b.changes.layout()->sliceOf(499).id, 3U);
    EXPECT_EQ(b.changes.layout()->sliceOf(500).id, 4U);
    b.stands("a");
    EXPECT_EQ(b.state(id), "preparing");
    b.changes.died(0, "b", b.out);  // the others serve; it hears when it returns
    EXPECT_EQ(b.state(id), "releasing");
    b.pass(10'000);
    EXPECT_EQ(b.ended(), "done");
    EXPECT_EQ(b.count<DropData>(), 0U);
    EXPECT_EQ(b.begin(Split{3, 0}), 0U);
    EXPECT_EQ(b.why, "slice 3 can't be split there: both halves must hold a hash");
}

TEST(Split, IsUndoneUnderNewIdsWhereHostsDoNotFollow) {
    Bed b;
    b.begin(Split{1, 500});
    b.pass(10'000);
    EXPECT_EQ(b.ended(), "undone: 2 hosts did not confirm the epoch in time");
    const Slice& s = b.changes.layout()->sliceOf(0);
    EXPECT_EQ(s.last, 999U);
    EXPECT_EQ(s.id, 5U);  // not 1: that was planned on before, and 3 and 4 may be planned on now
}

TEST(Merge, JoinsNeighboursThatTheSameHostsHold) {
    Bed b;
    EXPECT_EQ(b.begin(Merge{2, 1}), 0U);
    EXPECT_EQ(b.why, "slices 2 and 1 are not neighbours in this order");
    b.begin(Merge{1, 2});
    b.stands("a");
    b.stands("b");
    b.pass(10'000);
    EXPECT_EQ(b.ended(), "done");
    EXPECT_EQ(b.changes.layout()->slices().size(), 1U);
    Bed moved;
    moved.in(ChangeState::releasing);
    moved.stands("a");
    moved.pass(10'000);
    EXPECT_EQ(moved.begin(Merge{1, 2}), 0U);
    EXPECT_EQ(moved.why, "slices 1 and 2 are not held by the same hosts: move one first");
}

TEST(Changes, KeepsABoundedHistory) {
    ChangeLimits limits;
    limits.endedKept = 5;
    Changes changes(Layout::make(1, {{1, 0, kEnd, {{"a"}, {"b"}}}}), limits);
    LayoutActions out;
    std::string why;
    for (int i = 0; i < 20; ++i) changes.abort(0, changes.begin(0, Move{1, "a", "c"}, out, why), out);
    EXPECT_EQ(changes.changes().size(), 5U);
    EXPECT_EQ(changes.changes().front().id, 20U);
    EXPECT_EQ(changes.changes().front().why, "aborted");
}

}  // namespace
}  // namespace beechpoint::layout
