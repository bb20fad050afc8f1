// The program as the platform runs it: a process, its configuration file and its signals.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

struct Process {
    Process(const std::string& program, const std::string& config) : path(config) {
        pid = ::fork();
        CHECK(pid >= 0);
        if (pid > 0) return;
        ::execl(program.c_str(), program.c_str(), "serve", "--config", path.c_str(), nullptr);
        ::_exit(127);
    }
    ~Process() {
        if (pid > 0) ::kill(pid, SIGKILL);
    }
    bool ended() { return pid <= 0 || (::waitpid(pid, &status, WNOHANG) == pid && (pid = 0, true)); }
    std::string path;
    pid_t pid = 0;
    int status = -1;
};

void writeFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

std::string configuration(const HttpHost& agent) {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + agent.address() +
           R"(","seed":"1","limits":{"sockets":256},"known":{"generation":41,"reset":true,"instances":[]},)"
           R"("settings":{"classes":[{"name":"c","promise":1000000000,"deadline":2000000000,"effect":"safe"}],)"
           R"("familyInfo":{"shards":4,"cells":2,"span":2,"bundleMax":1},"permissions":{"maxAttempts":3},)"
           R"("rules":{}}})";
}

// A day on which SIGHUP came was void: it ended the program.
void movesToAnotherDiscovery(const std::string& program) {
    asio::io_context& io = Rig::loop();
    HttpHost first(io), second(io);
    std::string path = program + "-config-XXXXXX";  // in the build folder, wherever the test is started
    CHECK(::close(::mkstemp(path.data())) == 0);
    writeFile(path, configuration(first));
    Process process(program, path);
    until(io, [&] { return first.targets.size() == 1; });
    CHECK(first.targets[0] == "/discovery/hosts?watch=1&from=41");
    const std::string line = "{\"generation\":43,\"reset\":false,\"instances\":[]}\n";
    first.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                         fmt::format("{:x}\r\n{}\r\n", line.size(), line));

    writeFile(path, "{\"name\":");  // half a file: nothing changes
    ::kill(process.pid, SIGHUP);
    first.peers[0]->close();  // so that the watch shows where it stands
    until(io, [&] { return first.targets.size() == 2; });
    CHECK(first.targets[1] == "/discovery/hosts?watch=1&from=43" && !process.ended());

    writeFile(path, configuration(second));
    ::kill(process.pid, SIGHUP);
    until(io, [&] { return second.targets.size() == 1 && first.peers.back()->ended; });
    CHECK(second.targets[0] == "/discovery/hosts?watch=1&from=43" && first.targets.size() == 2);

    // Half written when the signal comes, and no other follows: the whole is read all the same.
    HttpHost third(io);
    writeFile(path, configuration(third).substr(0, 60));
    ::kill(process.pid, SIGHUP);
    second.peers[0]->close();
    until(io, [&] { return second.targets.size() == 2; });  // the signal was handled before
    writeFile(path, configuration(third));
    until(io, [&] { return third.targets.size() == 1 && second.peers.back()->ended; });
    CHECK(third.targets[0] == "/discovery/hosts?watch=1&from=43" && !process.ended());

    ::kill(process.pid, SIGHUP);  // the same address again, and a planned restart right behind
    ::kill(process.pid, SIGTERM);
    ::kill(process.pid, SIGTERM);
    until(io, [&] { return process.ended(); });
    CHECK(WIFEXITED(process.status) && WEXITSTATUS(process.status) == 0);
    CHECK(second.targets.size() == 2 && third.targets.size() == 1);
    ::unlink(path.c_str());
}

}  // namespace

int main(int, char** argv) { movesToAnotherDiscovery(argv[1]); }
