#include "storage/store_thread.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace beechpoint::storage {

struct StoreThread::State {
    using TimePoint = std::chrono::steady_clock::time_point;
    struct Job {
        Update update;
        Callback callback;
        TimePoint given;
    };
    // What completions need. They hold it from the loop's queue, where they may outlive the StoreThread. Loop's thread only.
    struct OnLoop {
        bool alive = true;
        std::optional<Error> lastFailure;
    };

    State(asio::io_context& context, Store opened) : io(context), store(std::move(opened)) {}

    void run();
    void complete(Callback callback, Result<void> result);

    asio::io_context& io;
    Store store;  // used by the thread only
    std::shared_ptr<OnLoop> onLoop = std::make_shared<OnLoop>();
    mutable std::mutex mutex;         // guards the next three
    std::condition_variable changed;  // of `jobs` or `ending`
    std::deque<Job> jobs;             // the first stays here while it runs, so that its age can be asked for
    bool ending = false;
    std::thread thread;
};

void StoreThread::State::run() {
    for (;;) {
        Job* job = nullptr;
        {
            std::unique_lock lock(mutex);
            changed.wait(lock, [this] { return ending || !jobs.empty(); });
            if (ending) return;
            job = &jobs.front();  // a deque does not move it when others are added at the end
        }
        Result<void> result = store.write(job->update);
        Callback callback = std::move(job->callback);
        {
            const std::lock_guard lock(mutex);
            jobs.pop_front();
        }
        complete(std::move(callback), std::move(result));
    }
}

void StoreThread::State::complete(Callback callback, Result<void> result) {
    asio::post(io, [onLoop = onLoop, callback = std::move(callback), result = std::move(result)]() mutable {
        if (!onLoop->alive) return;
        onLoop->lastFailure = result ? std::nullopt : std::optional(result.error());
        callback(std::move(result));
    });
}

StoreThread::StoreThread(asio::io_context& io, Store store)
    : state_(std::make_unique<State>(io, std::move(store))) {
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

StoreThread::~StoreThread() {
    state_->onLoop->alive = false;
    {
        const std::lock_guard lock(state_->mutex);
        state_->ending = true;
    }
    state_->changed.notify_one();
    state_->thread.join();
}

void StoreThread::write(Update update, Callback callback) {
    {
        const std::lock_guard lock(state_->mutex);
        if (state_->jobs.size() < kMaxQueuedWrites) {
            state_->jobs.push_back(
                {std::move(update), std::move(callback), std::chrono::steady_clock::now()});
            state_->changed.notify_one();
            return;
        }
    }
    const Error full{ErrorKind::unavailable, "store", "too many writes are waiting for the disk",
                     "write again later"};
    state_->complete(std::move(callback), full);
}

Millis StoreThread::oldestWriteAge() const {
    const std::lock_guard lock(state_->mutex);
    if (state_->jobs.empty()) return 0;
    const std::chrono::duration<double, std::milli> waited =
        std::chrono::steady_clock::now() - state_->jobs.front().given;
    return waited.count();
}

std::size_t StoreThread::queuedWrites() const {
    const std::lock_guard lock(state_->mutex);
    return state_->jobs.size();
}

std::optional<Error> StoreThread::lastFailure() const { return state_->onLoop->lastFailure; }

}  // namespace beechpoint::storage
