#include "admin/lifecycle.hpp"

namespace beechpoint::admin {

void Lifecycle::served() {
    if (state_ == State::starting) state_ = State::serving;
}

bool Lifecycle::drainStart() {
    if (state_ == State::starting) return false;
    if (state_ == State::serving) state_ = State::draining;
    return true;
}

bool Lifecycle::drainStop() {
    if (state_ == State::starting || state_ == State::stopping) return false;
    state_ = State::serving;
    return true;
}

bool Lifecycle::terminate(Millis now) {
    if (state_ == State::stopping) return false;
    wasDraining_ = state_ == State::draining;
    state_ = State::stopping;
    stoppedAt_ = now;
    return true;
}

}  // namespace beechpoint::admin
