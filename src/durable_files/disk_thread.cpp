#include "durable_files/disk_thread.hpp"

#include <asio/post.hpp>
#include <utility>

namespace beechpoint::durable_files {

DiskThread::DiskThread(asio::io_context& io) : io_(io), thread_([this] { run(); }) {}

DiskThread::~DiskThread() {
    *alive_ = false;
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    more_.notify_one();
    thread_.join();
}

void DiskThread::post(std::function<bool()> work, std::function<void(bool)> then) {
    {
        const std::lock_guard lock(mutex_);
        jobs_.push_back({std::move(work), std::move(then)});
    }
    more_.notify_one();
}

void DiskThread::run() {
    for (;;) {
        Job job;
        {
            std::unique_lock lock(mutex_);
            more_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
            if (ending_) return;
            job = std::move(jobs_.front());
            jobs_.pop_front();
        }
        const bool done = job.work();
        asio::post(io_, [alive = alive_, then = std::move(job.then), done] {
            if (*alive) then(done);
        });
    }
}

}  // namespace beechpoint::durable_files
