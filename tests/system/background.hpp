// A loop on a thread of its own, for what must go on while a test waits: the relays, the platform's list, the host.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <future>
#include <thread>

namespace beechpoint::system_test {

class Background {
public:
    Background() : work_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
    ~Background() { stop(); }
    Background(const Background&) = delete;
    Background& operator=(const Background&) = delete;

    asio::io_context& io() { return io_; }

    // Does the work on the loop's thread and waits for its end. Not to be called there.
    template <class Work>
    auto run(Work work) -> decltype(work()) {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto result = task.get_future();
        asio::post(io_, [&task] { task(); });
        return result.get();
    }

    // Nothing runs on the loop from now on.
    void stop() {
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

}  // namespace beechpoint::system_test
