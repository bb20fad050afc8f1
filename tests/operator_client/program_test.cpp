// The program as operators call it, against one control member that is a process of its own.
#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace beechpoint::operator_client {
namespace {

using Tcp = asio::ip::tcp;
namespace fs = std::filesystem;

constexpr auto kProbeEvery = std::chrono::milliseconds(20);
constexpr int kMostProbes = 3000;
constexpr auto kMostAProbe = std::chrono::seconds(5);

std::string contentOf(const fs::path& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Starts the program with its output in these files.
pid_t start(const std::vector<std::string>& words, const fs::path& out, const fs::path& err) {
    std::vector<char*> arguments;
    std::string program = BEECHPOINT_PROGRAM;
    arguments.push_back(program.data());
    std::vector<std::string> copies = words;
    for (std::string& word : copies) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    const int flags = O_WRONLY | O_CREAT | O_TRUNC;
    ::dup2(::open(out.c_str(), flags, 0600), STDOUT_FILENO);
    ::dup2(::open(err.c_str(), flags, 0600), STDERR_FILENO);
    ::unsetenv("BEECHPOINT_CONTROL");
    ::execv(program.c_str(), arguments.data());
    ::_exit(127);
}

int statusOfProcess(pid_t pid) {
    int status = 0;
    ::waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

struct Outcome {
    int status = -1;
    std::string out, err;
};

class ProgramTest : public ::testing::Test {
protected:
    void SetUp() override {
        std::string name = (fs::temp_directory_path() / "operator-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        folder = name;
        std::vector<Tcp::acceptor> acceptors;  // all at once, so that they differ
        for (std::uint16_t* port : {&control, &directory, &readiness, &internal}) {
            acceptors.emplace_back(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            *port = acceptors.back().local_endpoint().port();
        }
    }
    void TearDown() override {
        if (member > 0) {
            ::kill(member, SIGTERM);
            EXPECT_EQ(statusOfProcess(member), 0) << contentOf(folder / "member.err");
        }
        std::error_code ignored;
        fs::remove_all(folder, ignored);
    }

    fs::path write(const std::string& name, const std::string& text) {
        std::ofstream(folder / name) << text;
        return folder / name;
    }

    void startMember() {
        const fs::path settings =
            write("node.toml",
                  fmt::format(
                      "node_name = \"core-1\"\nnode_role = \"control\"\nmachine_class = \"core\"\n"
                      "served_roles = [\"control_plane\", \"directory\"]\nip_address = \"127.0.0.1\"\n"
                      "zone = \"za\"\nregion = \"r1\"\ninternal_port_range = [{0},{0}]\n"
                      "seed_nodes = [\"127.0.0.1:{1}\"]\nbootstrap = true\ndata_directory = \"{2}\"\n"
                      "[zones]\nza = \"r1\"\n[listen_addresses]\ncontrol = \"127.0.0.1:{1}\"\n"
                      "directory = \"127.0.0.1:{3}\"\nreadiness = \"127.0.0.1:{4}\"\n"
                      "[fault_tolerance]\nmachines = 0\nzones = 0\n[cloud_api]\naddress = \"127.0.0.1:9\"\n",
                      internal, control, (folder / "data").string(), directory, readiness));
        member =
            start({"control", "--settings", settings.string()}, folder / "member.out", folder / "member.err");
        ASSERT_GT(member, 0);
        ASSERT_TRUE(awaitReady()) << contentOf(folder / "member.err");
    }

    // Asks again and again, each time with an end, until the member says that it is ready.
    bool awaitReady() {
        for (int probe = 0; probe < kMostProbes; ++probe) {
            if (answer(readiness, "/readiness").starts_with("HTTP/1.1 200")) return true;
            asio::steady_timer timer(io, kProbeEvery);
            timer.async_wait([](const asio::error_code&) {});
            io.restart();
            io.run();
        }
        return false;
    }

    // The complete answer; empty where there is none.
    std::string answer(std::uint16_t port, const std::string& target) {
        Tcp::socket socket(io);
        const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        std::string in;
        socket.async_connect({asio::ip::address_v4::loopback(), port}, [&](const asio::error_code& error) {
            if (error) return;
            asio::async_write(socket, asio::buffer(request),
                              [&](const asio::error_code& failed, std::size_t) {
                                  if (failed) return;
                                  asio::async_read(socket, asio::dynamic_buffer(in),
                                                   [](const asio::error_code&, std::size_t) {});
                              });
        });
        io.restart();
        io.run_for(kMostAProbe);
        asio::error_code ignored;
        socket.close(ignored);
        io.restart();
        io.run();
        return in;
    }

    Outcome call(std::vector<std::string> words) {
        const fs::path out = folder / "call.out", err = folder / "call.err";
        Outcome outcome;
        outcome.status = statusOfProcess(start(words, out, err));
        outcome.out = contentOf(out);
        outcome.err = contentOf(err);
        return outcome;
    }

    Outcome ask(std::vector<std::string> words) {
        words.insert(words.end(), {"--control", fmt::format("127.0.0.1:{}", control), "--timeout", "30"});
        return call(std::move(words));
    }

    asio::io_context io;
    fs::path folder;
    std::uint16_t control = 0, directory = 0, readiness = 0, internal = 0;
    pid_t member = 0;
};

std::string wholeConfiguration(int revision, int timeout) {
    return fmt::format(
        R"({{"revision":{},"routes":[{{"name":"r1","hostname":"a.example","path_prefix":"/x/",)"
        R"("type":"idempotent","timeout_ms":{},"backend":"s1"}}],)"
        R"("services":[{{"name":"s1","max_connections":10}}]}})",
        revision, timeout);
}

TEST_F(ProgramTest, PutsReadsChangesAndComparesConfiguration) {
    ASSERT_NO_FATAL_FAILURE(startMember());
    const std::string first = write("first.json", wholeConfiguration(3, 500)).string();
    Outcome outcome = ask({"config", "put", first});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_EQ(outcome.out, "in force: revision 3\n");
    EXPECT_NE(outcome.err.find(fmt::format("asking 127.0.0.1:{}\n", control)), std::string::npos);

    outcome = ask({"config", "get"});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_EQ(nlohmann::json::parse(outcome.out), nlohmann::json::parse(wholeConfiguration(3, 500)));

    outcome = ask({"config", "diff", write("second.json", wholeConfiguration(4, 900)).string()});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_EQ(outcome.out, "changed  routes/r1\n           timeout_ms: 500 -> 900\n");

    const std::string change =
        write("change.json",
              R"({"revision":5,"upsert":{"services":[{"name":"s2"}]},"remove":{"routes":["r1"]}})")
            .string();
    outcome = ask({"config", "patch", change, "--json"});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    const auto answer = nlohmann::json::parse(outcome.out);
    EXPECT_EQ(answer["outcome"], "done");
    EXPECT_EQ(answer["answer"]["revision"], 5);

    outcome = ask({"config", "put", first, "--if-match", "0"});  // the very call that was applied before
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    outcome = ask({"config", "put", first, "--if-match", "4"});
    EXPECT_EQ(outcome.status, 1);
    EXPECT_NE(outcome.err.find("refused with 412"), std::string::npos) << outcome.err;
    outcome = ask({"config", "put", first});
    EXPECT_EQ(outcome.status, 1);
    EXPECT_NE(outcome.err.find("refused with 400"), std::string::npos) << outcome.err;
}

TEST_F(ProgramTest, EvacuatesZoneAndShowsItInStatus) {
    ASSERT_NO_FATAL_FAILURE(startMember());
    Outcome outcome = ask({"evacuate", "za"});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_EQ(outcome.out, "zone za: evacuated\n");
    outcome = ask({"status"});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_NE(outcome.out.find("core-1 in zone za: in view yes"), std::string::npos) << outcome.out;
    EXPECT_NE(outcome.out.find("evacuated zones: za\n"), std::string::npos) << outcome.out;
    EXPECT_NE(outcome.out.find("writes taken: 1\n"), std::string::npos) << outcome.out;
    outcome = ask({"evacuate", "za", "--back"});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    outcome = ask({"status", "--json"});
    EXPECT_TRUE(nlohmann::json::parse(outcome.out)["evacuated_zones"].empty());

    const std::string metrics = answer(readiness, "/metrics");
    EXPECT_NE(metrics.find("text/plain; version=0.0.4"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("\nbeechpoint_control_writes_taken_total 2\n"), std::string::npos) << metrics;

    outcome = call({"status", "--settings", (folder / "node.toml").string()});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    outcome = call({"status", "--control", fmt::format("127.0.0.1:1,127.0.0.1:{}", control)});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_NE(outcome.err.find("127.0.0.1:1: notConnected"), std::string::npos) << outcome.err;

    // No gateway is known: not now, and nothing that the next member would know better.
    outcome = call({"resolve", "a.example", "--zone", "za", "--control",
                    fmt::format("127.0.0.1:{}", directory), "--timeout", "1"});
    EXPECT_EQ(outcome.status, 3);
    EXPECT_NE(outcome.err.find("no ready gateway is known here"), std::string::npos) << outcome.err;
}

TEST_F(ProgramTest, ReportsUnreachableInTimeWithoutMember) {
    Outcome outcome = call({"status", "--control", fmt::format("127.0.0.1:{}", control), "--timeout", "0.3"});
    EXPECT_EQ(outcome.status, 3);
    EXPECT_NE(outcome.err.find("no control member gave a clear answer"), std::string::npos) << outcome.err;
    for (const std::vector<std::string>& words :
         {std::vector<std::string>{"status"},
          {"status", "--control", "nowhere"},
          {"evacuate"},
          {"config"},
          {"config", "put", "no-such-file", "--control", "127.0.0.1:1"},
          {"status", "--timeout", "x"}})
        EXPECT_EQ(call(words).status, 2) << words.back();
}

TEST_F(ProgramTest, ChecksFileWithoutAnyMember) {
    Outcome outcome = call({"config", "check", write("good.json", wholeConfiguration(3, 500)).string()});
    EXPECT_EQ(outcome.status, 0) << outcome.err;
    EXPECT_EQ(outcome.out, "the configuration is sound: revision 3\n");
    outcome = call({"config", "check", write("bad.json", wholeConfiguration(3, 0)).string()});
    EXPECT_EQ(outcome.status, 1);
    EXPECT_NE(outcome.err.find("/routes/0/timeout_ms"), std::string::npos) << outcome.err;
}

}  // namespace
}  // namespace beechpoint::operator_client
