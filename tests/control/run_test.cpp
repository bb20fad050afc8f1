// The process of the control role in a thread: starts, serves alone where the fault tolerance is 0, handles its signals.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "control/control.hpp"

namespace beechpoint::control {
namespace {

using Tcp = asio::ip::tcp;

constexpr auto kConditionTimeout = std::chrono::seconds(20);

std::uint16_t freePort(asio::io_context& io) {
    return Tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

// Status of one call; 0 where there is no answer.
int statusOf(asio::io_context& io, std::uint16_t port, const std::string& target) {
    Tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    if (error) return 0;
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    asio::write(socket, asio::buffer(request), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

class RunTest : public ::testing::Test {
protected:
    RunTest() : logger(clock, logging::Format::json, -1) {
        std::string name = (std::filesystem::temp_directory_path() / "control-run-XXXXXX").string();
        if (!mkdtemp(name.data())) throw std::runtime_error("no folder");
        folder = name;
        path = folder / "node.toml";
        controlPort = freePort(io);
        readinessPort = freePort(io);
    }
    ~RunTest() override {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    void writeSettings(double ttl) {
        std::ofstream file(path);
        file << fmt::format(
            "node_name = \"core-1\"\nnode_role = \"control\"\nmachine_class = \"core\"\n"
            "served_roles = [\"control_plane\", \"directory\"]\nip_address = \"127.0.0.1\"\nzone = \"za\"\n"
            "region = \"r1\"\ninternal_port_range = [{0},{0}]\nseed_nodes = [\"127.0.0.1:{1}\"]\nbootstrap = "
            "true\n"
            "data_directory = \"{2}\"\n[zones]\nza = \"r1\"\n[listen_addresses]\ncontrol = "
            "\"127.0.0.1:{1}\"\n"
            "directory = \"127.0.0.1:{3}\"\nreadiness = \"127.0.0.1:{4}\"\n"
            "[fault_tolerance]\nmachines = 0\nzones = 0\n[timing_bounds]\nttl_max_s = {5}\n"
            "[cloud_api]\naddress = \"127.0.0.1:9\"\n",
            internalPort(), controlPort, (folder / "data").string(), directoryPort(), readinessPort, ttl);
    }
    std::uint16_t internalPort() {
        if (!internalPort_) internalPort_ = freePort(io);
        return internalPort_;
    }
    std::uint16_t directoryPort() {
        if (!directoryPort_) directoryPort_ = freePort(io);
        return directoryPort_;
    }
    bool waitFor(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + kConditionTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) return false;
            std::this_thread::yield();
        }
        return true;
    }

    Clock clock;
    Logger logger;
    asio::io_context io;
    std::filesystem::path folder, path;
    std::uint16_t controlPort, readinessPort, internalPort_ = 0, directoryPort_ = 0;
};

TEST_F(RunTest, ServesAloneReloadsSettingsAndShutsDownGracefully) {
    writeSettings(2);
    int status = -1;
    std::thread process([&] { status = run(path.string(), clock, logger); });
    EXPECT_TRUE(waitFor([&] { return statusOf(io, readinessPort, "/readiness") == 200; }));
    EXPECT_TRUE(waitFor([&] { return statusOf(io, controlPort, "/configuration") == 200; }));
    writeSettings(1);
    std::raise(SIGHUP);
    EXPECT_EQ(statusOf(io, controlPort, "/configuration"), 200);
    std::ofstream(path) << "half = ";
    std::raise(SIGHUP);
    EXPECT_EQ(statusOf(io, controlPort, "/configuration"), 200);
    std::raise(SIGTERM);
    process.join();
    EXPECT_EQ(status, 0);
    EXPECT_EQ(statusOf(io, controlPort, "/configuration"), 0);
}

TEST_F(RunTest, ExitsAtOnceOnInvalidSettings) {
    EXPECT_EQ(run((folder / "none.toml").string(), clock, logger), 2);
    std::ofstream(path) << "node_name = 7\n";
    EXPECT_EQ(run(path.string(), clock, logger), 2);
}

}  // namespace
}  // namespace beechpoint::control
