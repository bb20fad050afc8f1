#include "scale/cluster.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <new>
#include <stdexcept>

namespace beechpoint::scale {
namespace {

constexpr int kPortAttempts = 50;

bool freeAtAllMembers(asio::io_context& io, std::uint16_t port) {
    for (std::size_t member = 0; member < kMembers; member++) {
        asio::ip::tcp::acceptor acceptor(io);
        asio::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({asio::ip::make_address(memberIp(member)), port}, error);
        if (error) return false;
    }
    return true;
}

std::vector<std::uint16_t> choosePorts(std::size_t count) {
    asio::io_context io;
    std::vector<std::uint16_t> ports;
    for (int attempt = 0; attempt < kPortAttempts && ports.size() < count; attempt++) {
        asio::ip::tcp::acceptor chosen(io, {asio::ip::make_address(memberIp(0)), 0});
        const std::uint16_t port = chosen.local_endpoint().port();
        chosen.close();
        const bool known = std::find(ports.begin(), ports.end(), port) != ports.end();
        if (!known && freeAtAllMembers(io, port)) ports.push_back(port);
    }
    if (ports.size() < count) throw std::runtime_error("no port is free at all members' addresses");
    return ports;
}

SharedState* makeShared() {
    void* const memory =
        mmap(nullptr, sizeof(SharedState), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) throw std::runtime_error("no shared memory");
    return new (memory) SharedState;
}

void endChild(Child& child) {
    if (child.pid < 0) return;
    ::kill(child.pid, SIGKILL);
    waitpid(child.pid, nullptr, 0);
    child.pid = -1;
}

}  // namespace

std::string memberIp(std::size_t member) { return fmt::format("127.0.0.{}", member + 1); }

std::string memberAddress(std::size_t member, std::uint16_t port) {
    return fmt::format("{}:{}", memberIp(member), port);
}

Cluster::Cluster(const std::string& parentFolder) : shared_(makeShared()) {
    const std::vector<std::uint16_t> ports = choosePorts(4);
    ports_ = {ports[0], ports[1], ports[2], ports[3]};
    std::string name = (std::filesystem::path(parentFolder) / "beechpoint-scale-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error(fmt::format("no folder can be made in {}", parentFolder));
    folder_ = name;
}

Cluster::~Cluster() {
    for (Child& child : children_) endChild(child);
    munmap(shared_, sizeof(SharedState));
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::filesystem::path Cluster::storeOf(std::size_t member) const {
    return folder_ / fmt::format("member-{}", member);
}

void Cluster::start(const std::string& name, const std::function<void()>& run) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("no child process can be started");
    if (pid > 0) {
        children_.push_back({name, pid});
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() == parent) run();
    _exit(0);
}

void Cluster::kill(const std::string& name) {
    for (Child& child : children_)
        if (child.name == name) endChild(child);
}

}  // namespace beechpoint::scale
