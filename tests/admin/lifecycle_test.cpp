// The lifecycle's table, state by state, and what holds in each.
#include "admin/lifecycle.hpp"

#include <gtest/gtest.h>

using beechpoint::admin::Lifecycle;
using State = Lifecycle::State;

namespace {

Lifecycle in(State state) {
    Lifecycle l;
    if (state != State::starting) l.served();
    if (state == State::draining) l.drainStart();
    if (state == State::stopping) l.terminate(1000);
    return l;
}

TEST(Lifecycle, EveryEventInEveryState) {
    struct Row {
        State from;
        State served, start, stop;
        bool startYes, stopYes, terminateFirst;
    };
    const Row rows[] = {
        {State::starting, State::serving, State::starting, State::starting, false, false, true},
        {State::serving, State::serving, State::draining, State::serving, true, true, true},
        {State::draining, State::draining, State::draining, State::serving, true, true, true},
        {State::stopping, State::stopping, State::stopping, State::stopping, true, false, false}};
    for (const Row& row : rows) {
        Lifecycle served = in(row.from), start = in(row.from), stop = in(row.from), end = in(row.from);
        served.served();
        EXPECT_EQ(served.state(), row.served);
        EXPECT_EQ(start.drainStart(), row.startYes);
        EXPECT_EQ(start.state(), row.start);
        EXPECT_EQ(stop.drainStop(), row.stopYes);
        EXPECT_EQ(stop.state(), row.stop);
        EXPECT_EQ(end.terminate(2000), row.terminateFirst);
        EXPECT_EQ(end.state(), State::stopping);
    }
}

TEST(Lifecycle, WhatHoldsInEachState) {
    EXPECT_FALSE(in(State::starting).up(false) || in(State::starting).ready());
    EXPECT_TRUE(in(State::serving).up(false) && in(State::serving).ready());
    EXPECT_FALSE(in(State::serving).closing());
    const Lifecycle draining = in(State::draining);
    EXPECT_TRUE(draining.ready() && draining.closing() && draining.listening(1e6, true));
    EXPECT_FALSE(draining.up(true));
    const Lifecycle stopping = in(State::stopping);
    EXPECT_FALSE(stopping.ready() || stopping.up(false));
    EXPECT_TRUE(stopping.closing() && stopping.up(true));
}

TEST(Lifecycle, ADrainHoldsThroughTheStop) {
    Lifecycle l = in(State::draining);
    l.terminate(1000);
    EXPECT_FALSE(l.up(true));  // the successor speaks for itself
}

TEST(Lifecycle, TheEndComesOnceAllIsAnsweredOrTimeIsUp) {
    const Lifecycle l = in(State::stopping);
    EXPECT_TRUE(l.listening(1499, false));
    EXPECT_FALSE(l.over(1499, 0, false));  // newcomers may come yet
    EXPECT_FALSE(l.listening(1000, true));
    EXPECT_TRUE(l.over(1000, 0, true));
    EXPECT_FALSE(l.over(4199, 1, false));
    EXPECT_TRUE(l.over(4200, 1, false));
    EXPECT_FALSE(in(State::draining).over(1e9, 0, true));
}

}  // namespace
