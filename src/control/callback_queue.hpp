/// Callbacks deferred until the current event has been handled, since they may trigger the next event. Not synchronized.
#pragma once

#include <deque>
#include <functional>

namespace beechpoint::control {

/// Owns the callbacks that have not run. The caller of run() keeps the queue alive until it returns.
class CallbackQueue {
public:
    /// An empty function is ignored.
    void add(std::function<void()> callback);
    /// Runs all callbacks in order, including those added meanwhile. A call from within a callback returns at once: the outer call continues.
    void run();
    /// Whether run() is in progress.
    [[nodiscard]] bool running() const { return running_; }
    /// Drops the callbacks that have not started.
    void clear() { callbacks_.clear(); }

private:
    std::deque<std::function<void()>> callbacks_;
    bool running_ = false;
};

}  // namespace beechpoint::control
