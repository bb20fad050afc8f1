/// Callbacks that are put off until the event at hand has been handled, since they may bring the next event. Not synchronized.
#pragma once

#include <deque>
#include <functional>

namespace beechpoint::control {

/// Owns the callbacks that have not run. Whoever calls run() keeps the queue alive until it returns.
class CallbackQueue {
public:
    /// An empty function is ignored.
    void add(std::function<void()> callback);
    /// Runs all in order, also those added meanwhile. Called from within a callback it does nothing: the outer call goes on.
    void run();
    /// Whether run() is under way.
    [[nodiscard]] bool running() const { return running_; }
    /// Those that have not begun are dropped.
    void clear() { callbacks_.clear(); }

private:
    std::deque<std::function<void()>> callbacks_;
    bool running_ = false;
};

}  // namespace beechpoint::control
