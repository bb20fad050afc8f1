#include "storage/store_thread.hpp"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "folder.hpp"

namespace beechpoint::storage {
namespace {

constexpr std::size_t kMap = 2u << 20;

class StoreThreadTest : public ::testing::Test {
protected:
    Store openStore() { return std::move(Store::open(folder_.store(), kMap).value().store); }

    template <class Done>
    bool runUntil(Done done) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!done()) {
            if (std::chrono::steady_clock::now() > until) return false;
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    static Update vote(int number) {
        Update update;
        update.vote = std::to_string(number);
        return update;
    }

    Folder folder_;
    asio::io_context io_;
};

TEST_F(StoreThreadTest, WritesCompleteInOrderOnTheLoopsThread) {
    constexpr int kWrites = 50;
    std::vector<int> done;
    {
        StoreThread thread(io_, openStore());
        for (int i = 0; i < kWrites; ++i)
            thread.write(vote(i), [&, i, own = std::this_thread::get_id()](Result<void> result) {
                EXPECT_TRUE(result);
                EXPECT_EQ(std::this_thread::get_id(), own);
                done.push_back(i);
            });
        EXPECT_TRUE(done.empty());
        ASSERT_TRUE(runUntil([&] { return done.size() == kWrites; }));
        EXPECT_EQ(thread.waiting(), 0u);
        EXPECT_EQ(thread.oldestWaiting(), 0);
        EXPECT_FALSE(thread.lastFailure());
    }
    for (int i = 0; i < kWrites; ++i) EXPECT_EQ(done[i], i);
    EXPECT_EQ(Store::open(folder_.store(), kMap).value().contents.vote, std::to_string(kWrites - 1));
}

TEST_F(StoreThreadTest, ACompletionMayWriteAgain) {
    StoreThread thread(io_, openStore());
    int done = 0;
    thread.write(vote(1), [&](Result<void>) {
        ++done;
        thread.write(vote(2), [&](Result<void>) { ++done; });
    });
    EXPECT_TRUE(runUntil([&] { return done == 2; }));
}

TEST_F(StoreThreadTest, TheLastFailureIsTellingUntilAWriteSucceeds) {
    StoreThread thread(io_, openStore());
    int done = 0;
    Update tooLarge;
    tooLarge.vote = std::string(2 * kMap, 'x');
    thread.write(tooLarge, [&](Result<void> result) {
        ++done;
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::storage);
        ASSERT_TRUE(thread.lastFailure());
        EXPECT_EQ(thread.lastFailure()->text(), result.error().text());
    });
    thread.write(vote(1), [&](Result<void> result) {
        ++done;
        EXPECT_TRUE(result);
        EXPECT_FALSE(thread.lastFailure());
    });
    EXPECT_TRUE(runUntil([&] { return done == 2; }));
}

TEST_F(StoreThreadTest, WaitingWritesShowTheirAgeAndAreBounded) {
    StoreThread thread(io_, openStore());
    std::size_t refused = 0, taken = 0;
    // The queue is filled far faster than a disk syncs; whatever was taken meanwhile, the rest is refused.
    Update large;
    large.vote = std::string(1'000, 'x');
    for (std::size_t i = 0; i < 2 * kMaxWaitingWrites; ++i) {
        thread.write(large, [&](Result<void> result) {
            if (result) return void(++taken);
            EXPECT_EQ(result.error().kind, ErrorKind::unavailable);
            ++refused;
        });
        ASSERT_LE(thread.waiting(), kMaxWaitingWrites);
    }
    EXPECT_GT(thread.oldestWaiting(), 0);
    ASSERT_TRUE(runUntil([&] { return taken + refused == 2 * kMaxWaitingWrites; }));
    EXPECT_GE(taken, kMaxWaitingWrites);
    EXPECT_GT(refused, 0u);
    EXPECT_EQ(thread.oldestWaiting(), 0);
}

TEST_F(StoreThreadTest, DestroyedWithWritesWaitingNothingIsCalledBack) {
    {
        StoreThread thread(io_, openStore());
        for (int i = 0; i < 100; ++i)
            thread.write(vote(i), [](Result<void>) { ADD_FAILURE() << "called back"; });
    }
    io_.restart();
    io_.poll();
}

}  // namespace
}  // namespace beechpoint::storage
