#include "storage/store_thread.hpp"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "temporary_directory.hpp"

namespace beechpoint::storage {
namespace {

constexpr std::size_t kMapBytes = 2u << 20;

class StoreThreadTest : public ::testing::Test {
protected:
    Store openStore() { return std::move(Store::open(directory_.store(), kMapBytes).value().store); }

    template <class Condition>
    bool runUntil(Condition condition) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) return false;
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    static Update voteUpdate(int number) {
        Update update;
        update.vote = std::to_string(number);
        return update;
    }

    TemporaryDirectory directory_;
    asio::io_context io_;
};

TEST_F(StoreThreadTest, CompletesWritesInOrderOnLoopThread) {
    constexpr int kWrites = 50;
    std::vector<int> done;
    {
        StoreThread thread(io_, openStore());
        for (int i = 0; i < kWrites; ++i)
            thread.write(voteUpdate(i), [&, i, own = std::this_thread::get_id()](Result<void> result) {
                EXPECT_TRUE(result);
                EXPECT_EQ(std::this_thread::get_id(), own);
                done.push_back(i);
            });
        EXPECT_TRUE(done.empty());
        ASSERT_TRUE(runUntil([&] { return done.size() == kWrites; }));
        EXPECT_EQ(thread.queuedWrites(), 0u);
        EXPECT_EQ(thread.oldestWriteAge(), 0);
        EXPECT_FALSE(thread.lastFailure());
    }
    for (int i = 0; i < kWrites; ++i) EXPECT_EQ(done[i], i);
    EXPECT_EQ(Store::open(directory_.store(), kMapBytes).value().contents.vote, std::to_string(kWrites - 1));
}

TEST_F(StoreThreadTest, AcceptsWriteFromCompletion) {
    StoreThread thread(io_, openStore());
    int done = 0;
    thread.write(voteUpdate(1), [&](Result<void>) {
        ++done;
        thread.write(voteUpdate(2), [&](Result<void>) { ++done; });
    });
    EXPECT_TRUE(runUntil([&] { return done == 2; }));
}

TEST_F(StoreThreadTest, ReturnsLastFailureUntilWriteSucceeds) {
    StoreThread thread(io_, openStore());
    int done = 0;
    Update tooLarge;
    tooLarge.vote = std::string(2 * kMapBytes, 'x');
    thread.write(tooLarge, [&](Result<void> result) {
        ++done;
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::storage);
        ASSERT_TRUE(thread.lastFailure());
        EXPECT_EQ(thread.lastFailure()->text(), result.error().text());
    });
    thread.write(voteUpdate(1), [&](Result<void> result) {
        ++done;
        EXPECT_TRUE(result);
        EXPECT_FALSE(thread.lastFailure());
    });
    EXPECT_TRUE(runUntil([&] { return done == 2; }));
}

TEST_F(StoreThreadTest, LimitsQueuedWritesAndReturnsTheirAge) {
    StoreThread thread(io_, openStore());
    std::size_t rejected = 0, written = 0;
    // The queue is filled far faster than a disk syncs; whatever was written meanwhile, the rest is rejected.
    Update large;
    large.vote = std::string(1'000, 'x');
    for (std::size_t i = 0; i < 2 * kMaxQueuedWrites; ++i) {
        thread.write(large, [&](Result<void> result) {
            if (result) {
                ++written;
                return;
            }
            EXPECT_EQ(result.error().kind, ErrorKind::unavailable);
            ++rejected;
        });
        ASSERT_LE(thread.queuedWrites(), kMaxQueuedWrites);
    }
    EXPECT_GT(thread.oldestWriteAge(), 0);
    ASSERT_TRUE(runUntil([&] { return written + rejected == 2 * kMaxQueuedWrites; }));
    EXPECT_GE(written, kMaxQueuedWrites);
    EXPECT_GT(rejected, 0u);
    EXPECT_EQ(thread.oldestWriteAge(), 0);
}

TEST_F(StoreThreadTest, CallsNothingBackAfterDestructionWithQueuedWrites) {
    {
        StoreThread thread(io_, openStore());
        for (int i = 0; i < 100; ++i)
            thread.write(voteUpdate(i), [](Result<void>) { ADD_FAILURE() << "called back"; });
    }
    io_.restart();
    io_.poll();
}

}  // namespace
}  // namespace beechpoint::storage
