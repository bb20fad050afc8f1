#include "control/callback_queue.hpp"

#include <utility>

namespace beechpoint::control {

void CallbackQueue::add(std::function<void()> callback) {
    if (callback) callbacks_.push_back(std::move(callback));
}

void CallbackQueue::run() {
    if (running_) return;
    running_ = true;
    while (!callbacks_.empty()) {
        const auto callback = std::move(callbacks_.front());
        callbacks_.pop_front();
        callback();
    }
    running_ = false;
}

}  // namespace beechpoint::control
