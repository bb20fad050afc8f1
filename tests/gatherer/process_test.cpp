// The program as the platform runs it: a process, its configuration file and its signals.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// `beechpoint serve` in a process of its own; killed at the end.
class ServeProcess {
public:
    explicit ServeProcess(const std::string& configurationFile) : pid_(::fork()) {
        if (pid_ < 0) throw std::runtime_error("can't fork");
        if (pid_ > 0) return;
        ::execl(BEECHPOINT_PROGRAM, BEECHPOINT_PROGRAM, "serve", "--config", configurationFile.c_str(),
                nullptr);
        ::_exit(127);
    }
    ~ServeProcess() {
        if (pid_ > 0) ::kill(pid_, SIGKILL);
    }
    ServeProcess(const ServeProcess&) = delete;
    ServeProcess& operator=(const ServeProcess&) = delete;
    void signal(int number) const { ::kill(pid_, number); }
    bool ended() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
        return pid_ == 0;
    }
    /// As waitpid reports it.
    int status() const { return status_; }

private:
    pid_t pid_;
    int status_ = -1;
};

void writeFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

// The configuration file of a gatherer that follows this discovery.
std::string configuration(const StubHttpHost& discoveryServer) {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discoveryServer.address() +
           R"(","seed":"1","limits":{"sockets":256},"known":{"generation":41,"reset":true,"instances":[]},)"
           R"("settings":{"classes":[{"name":"c","promise":1000000000,"deadline":2000000000,"effect":"safe"}],)"
           R"("familyInfo":{"shards":4,"cells":2,"span":2,"bundleMax":1},"permissions":{"maxAttempts":3},)"
           R"("rules":{}}})";
}

TEST(GathererProcess, MovesToAnotherDiscoveryOnSighupAndEndsOnSigterm) {
    asio::io_context& io = eventLoop();
    StubHttpHost first(io), second(io);
    std::string path =
        BEECHPOINT_PROGRAM "-config-XXXXXX";  // in the build folder, wherever the test is started
    ASSERT_EQ(::close(::mkstemp(path.data())), 0);
    writeFile(path, configuration(first));
    ServeProcess process(path);
    runUntil(io, [&] { return first.targets.size() == 1; });
    EXPECT_EQ(first.targets[0], "/discovery/hosts?watch=1&from=41");
    const std::string line = "{\"generation\":43,\"reset\":false,\"instances\":[]}\n";
    first.connections[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                               fmt::format("{:x}\r\n{}\r\n", line.size(), line));

    writeFile(path, "{\"name\":");  // half a file: nothing changes
    process.signal(SIGHUP);
    first.connections[0]->close();  // so that the watch shows where it stands
    runUntil(io, [&] { return first.targets.size() == 2; });
    EXPECT_EQ(first.targets[1], "/discovery/hosts?watch=1&from=43");
    EXPECT_FALSE(process.ended());

    writeFile(path, configuration(second));
    process.signal(SIGHUP);
    runUntil(io, [&] { return second.targets.size() == 1 && first.connections.back()->ended; });
    EXPECT_EQ(second.targets[0], "/discovery/hosts?watch=1&from=43");
    ASSERT_EQ(first.targets.size(), 2);

    // Half written when the signal comes, and no other follows: the whole is read all the same.
    StubHttpHost third(io);
    writeFile(path, configuration(third).substr(0, 60));
    process.signal(SIGHUP);
    second.connections[0]->close();
    runUntil(io, [&] { return second.targets.size() == 2; });  // the signal was handled before
    writeFile(path, configuration(third));
    runUntil(io, [&] { return third.targets.size() == 1 && second.connections.back()->ended; });
    EXPECT_EQ(third.targets[0], "/discovery/hosts?watch=1&from=43");
    EXPECT_FALSE(process.ended());

    process.signal(SIGHUP);  // the same address again, and a planned restart right behind it
    process.signal(SIGTERM);
    process.signal(SIGTERM);
    runUntil(io, [&] { return process.ended(); });
    EXPECT_TRUE(WIFEXITED(process.status()));
    EXPECT_EQ(WEXITSTATUS(process.status()), 0);
    ASSERT_EQ(second.targets.size(), 2);
    ASSERT_EQ(third.targets.size(), 1);
    ::unlink(path.c_str());
}

}  // namespace
