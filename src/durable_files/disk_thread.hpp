/// One helper thread for the disk, so that no query waits for a write or a sync. Work runs in the order of post(); its
/// continuation comes back to the event loop's thread in the same order. No work is dropped while this object lives; at its
/// end the running job is finished, pending ones are not begun, and nothing comes back any more. Called from the event
/// loop's thread only.
#pragma once

#include <asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace beechpoint::durable_files {

class DiskThread {
public:
    explicit DiskThread(asio::io_context& io);
    ~DiskThread();
    DiskThread(const DiskThread&) = delete;
    DiskThread& operator=(const DiskThread&) = delete;

    // `work` on the helper thread, then `then` with its result on the loop's.
    void post(std::function<bool()> work, std::function<void(bool)> then);

private:
    struct Job {
        std::function<bool()> work;
        std::function<void(bool)> then;
    };
    void run();

    asio::io_context& io_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // touched on the loop's thread alone
    std::mutex mutex_;
    std::condition_variable more_;
    std::deque<Job> jobs_;
    bool ending_ = false;
    std::thread thread_;
};

}  // namespace beechpoint::durable_files
