// What the gatherer is doing as a whole: starting, serving, draining or stopping. `/up`, readiness, drain and
// SIGTERM all go through it. It is told what happens and when, and says what holds; it has no clock, socket or
// timer. The gatherer owns it, carries out what it says and asks again every few milliseconds while closing().
//
// | state    | served       | drainStart        | drainStop      | terminate   |
// | ---      | ---          | ---               | ---            | ---         |
// | starting | -> serving   | no: serves nobody | no             | -> stopping |
// | serving  | ignored      | -> draining, yes  | yes, as it was | -> stopping |
// | draining | ignored      | yes, as it was    | -> serving, yes| -> stopping |
// | stopping | ignored: the | yes: it takes no  | no: there is   | ignored: the|
// |          | end has come | more as it is     | no way back    | first counts|
#pragma once

#include <cstddef>

#include "core/clock.hpp"

namespace beechpoint::admin {

struct LifecycleTimes {
    Millis acceptAfterStop = 500;   // without a successor the front goes on sending newcomers for so long
    Millis idleWhileClosing = 700;  // a kept connection may still bring a request, which ends it in order
    Millis answerWithin = 3050;     // then what is left is answered as given up
    Millis stopWithin = 3200;       // then the rest is cut off; SIGKILL comes later
};

class Lifecycle {
public:
    enum class State { starting, serving, draining, stopping };

    explicit Lifecycle(LifecycleTimes times = {}) : times_(times) {}

    void served();  // it can serve from now on
    bool drainStart();
    bool drainStop();
    // False: it was stopping already.
    bool terminate(Millis now);

    State state() const { return state_; }
    // Whether clients may be sent here. With a successor that serves, the address takes clients all the same.
    bool up(bool successor) const {
        return state_ == State::serving || (state_ == State::stopping && !wasDraining_ && successor);
    }
    bool ready() const { return state_ == State::serving || state_ == State::draining; }
    // Every answer ends its connection, and who is idle for longer than mayIdle() is closed.
    bool closing() const { return state_ == State::draining || state_ == State::stopping; }
    // From so long after the signal on nobody may: what came now could not have its whole time before SIGKILL.
    Millis mayIdle(Millis now) const {
        return state_ == State::stopping && now >= stoppedAt_ + times_.idleWhileClosing
                   ? 0
                   : times_.idleWhileClosing;
    }
    // Whether what is left has to have its answer now.
    bool lastCall(Millis now) const {
        return state_ == State::stopping && now >= stoppedAt_ + times_.answerWithin;
    }
    // Whether to listen on: a drain is to be undone, and newcomers on their way are served. With a successor at
    // the same addresses newcomers are its own from the signal on.
    bool listening(Millis now, bool successor) const {
        return state_ != State::stopping || (!successor && now < stoppedAt_ + times_.acceptAfterStop);
    }
    // Whether the process may end.
    bool over(Millis now, std::size_t connections, bool successor) const {
        return state_ == State::stopping &&
               ((connections == 0 && !listening(now, successor)) || now >= stoppedAt_ + times_.stopWithin);
    }

private:
    LifecycleTimes times_;
    State state_ = State::starting;
    bool wasDraining_ = false;
    Millis stoppedAt_ = 0;
};

}  // namespace beechpoint::admin
