// Two processes of one gatherer during an upgrade.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>
#include <sys/inotify.h>
#include <unistd.h>

#include <algorithm>
#include <asio/post.hpp>
#include <filesystem>
#include <stdexcept>

#include "operator_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// Clients send one query after another, each on its connection or on a new one; the old process ends, and
// no query is left without an answer.
TEST(Upgrade, AnswersEachQueryWhenAnotherProcessTakesOver) {
    StateFolder folder;
    OperatorFixture old([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = old.fixture.io;
    const tcp::endpoint at = old.fixture.gatherer->endpoint();
    std::vector<std::unique_ptr<TestClient>> clients;
    int asked = 0, answered = 0;
    std::function<void(int)> ask = [&](int i) {
        clients[static_cast<std::size_t>(i)]->send(query("t" + std::to_string(asked++), {0, 1}));
    };
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<TestClient>(io, at));
        clients.back()->onAnswer = [&, i](const Answer& answer) {
            EXPECT_EQ(answer.status, 200);
            ++answered;
            asio::post(io, [&, i, keep = answer.keepAlive] {
                auto& client = clients[static_cast<std::size_t>(i)];
                if (!keep) {
                    auto next = std::make_unique<TestClient>(io, at);
                    next->onAnswer = client->onAnswer;
                    client = std::move(next);
                }
                if (asked < 2000) ask(i);
            });
        };
    }
    for (int i = 0; i < 4; ++i) ask(i);
    runUntil(io, [&] { return answered >= 300; });
    OperatorFixture next([&](Config& c) {
        c.stateFolder = folder.path;
        c.listen = at;
    });
    runUntil(io, [&] { return answered >= 600; });
    bool ended = false;
    old.fixture.gatherer->stop([&] { ended = true; });
    runUntil(io, [&] { return ended && answered == 2000; });
    EXPECT_EQ(asked, 2000);
    EXPECT_EQ(old.fixture.count(Counter::queriesTaken) + next.fixture.count(Counter::queriesTaken), 2000);
    EXPECT_GE(next.fixture.count(Counter::queriesTaken), 1000);  // all connections moved over
}

TEST(Upgrade, SharesTheOpenCapWhileTwoProcessesRun) {
    StateFolder folder;
    const auto change = [&](Config& c) {
        c.stateFolder = folder.path;
        c.settings.openCap = 8;
    };
    OperatorFixture old(change);
    old.host.onPart = [](const StubFrameHost::Part&) {};
    asio::io_context& io = old.fixture.io;
    int id = 0;
    // Sends queries of two parts that no host answers; how many of them are let in.
    const auto admitted = [&](int queries) {
        std::vector<std::unique_ptr<TestClient>> clients;
        for (int i = 0; i < queries; ++i) {
            clients.push_back(std::make_unique<TestClient>(io, old.fixture.gatherer->endpoint()));
            clients.back()->send(query("t" + std::to_string(++id), {0, 1}));
        }
        const auto refused = [&] {
            return std::count_if(clients.begin(), clients.end(),
                                 [](const auto& c) { return !c->answers.empty(); });
        };
        runUntil(io, [&] {
            return static_cast<int>(old.fixture.gatherer->exchange().live() + refused()) == queries;
        });
        const auto live = old.fixture.gatherer->exchange().live();
        clients.clear();
        runUntil(io, [&] { return old.fixture.gatherer->exchange().live() == 0; });
        return live;
    };
    EXPECT_EQ(admitted(4), 2);
    {
        OperatorFixture beside(change);
        // Its record is seen once the old process reads the folder again.
        runUntil(io, [&] { return old.fixture.gatherer->limitsShare() == 0.5; });
        EXPECT_EQ(beside.fixture.gatherer->limitsShare(), 0.5);
        EXPECT_EQ(admitted(4), 1);
    }
    runUntil(io, [&] { return old.fixture.gatherer->limitsShare() == 1; });
    EXPECT_EQ(admitted(4), 2);
}

// A file of the folder that another process of this gatherer holds locked.
class LockedFile {
public:
    LockedFile(const std::string& path, const std::string& text)
        : descriptor_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
        if (descriptor_ < 0 || ::flock(descriptor_, LOCK_EX | LOCK_NB) != 0)
            throw std::runtime_error("can't lock " + path);
        write(text);
    }
    ~LockedFile() { ::close(descriptor_); }
    LockedFile(const LockedFile&) = delete;
    LockedFile& operator=(const LockedFile&) = delete;
    void write(const std::string& text) {
        const auto size = static_cast<ssize_t>(text.size());
        if (::ftruncate(descriptor_, 0) != 0 || ::pwrite(descriptor_, text.data(), text.size(), 0) != size)
            throw std::runtime_error("can't write a locked file");
    }

private:
    int descriptor_;
};

// SIGTERM comes after the successor listens and before its record says so: this process accepts clients
// until it does.
TEST(Upgrade, AcceptsClientsUntilTheSuccessorsRecordSaysItServes) {
    StateFolder folder;
    OperatorFixture old([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = old.fixture.io;
    LockedFile record(folder.otherProcessRecord(), R"({"started":1e15,"state":0})");
    runUntil(io, [&] { return old.fixture.gatherer->limitsShare() == 0.5; });
    // The clock stands still, so that only the record can close the listener.
    old.fixture.clock.set(old.fixture.clock.now());
    const tcp::endpoint at = old.fixture.gatherer->endpoint();
    bool ended = false;
    old.fixture.gatherer->stop([&] { ended = true; });
    {
        TestClient client(io, at);
        const Answer answer = client.request(query("t", {0}));
        EXPECT_EQ(answer.status, 200);
        EXPECT_FALSE(answer.keepAlive);
        EXPECT_FALSE(ended);
        EXPECT_EQ(old.up(), 503);
    }
    record.write(R"({"started":1e15,"state":1})");
    runUntil(io, [&] { return ended; });
    tcp::socket late(io);
    asio::error_code refused;
    late.connect(at, refused);
    EXPECT_EQ(refused, asio::error::connection_refused);
}

TEST(Upgrade, ChangesNothingWhenStoppedWhileACallWaitsForTheLock) {
    StateFolder folder;
    LockedFile record(folder.otherProcessRecord(), R"({"started":1e15,"state":1})");
    auto old = std::make_unique<OperatorFixture>([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = eventLoop();
    auto lock = std::make_unique<LockedFile>(folder.banFile() + ".lock", "");
    const int watch = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    ASSERT_GE(watch, 0);
    ASSERT_GE(::inotify_add_watch(watch, (folder.banFile() + ".lock").c_str(), IN_OPEN), 0);
    TestClient caller(io, old->fixture.gatherer->operatorAddress());
    caller.send(put("/ops/track-hosts/down/h0"));
    char event[512];
    runUntil(io, [&] { return ::read(watch, event, sizeof event) > 0; });  // the call has tried for it
    ::close(watch);
    bool ended = false, passed = false;
    old->fixture.gatherer->stop([&] { ended = true; });
    runUntil(io, [&] { return ended && caller.connection->ended; });
    ASSERT_TRUE(caller.answers.empty());
    lock.reset();  // from here on the call could have it
    old.reset();
    // Behind the next attempt to lock, which is due within 10 ms.
    asio::steady_timer later(io, std::chrono::milliseconds(50));
    later.async_wait([&](asio::error_code) { passed = true; });
    runUntil(io, [&] { return passed; });
    EXPECT_FALSE(std::filesystem::exists(folder.banFile()));
}

}  // namespace
