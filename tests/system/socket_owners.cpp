#include "socket_owners.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>

namespace beechpoint::system_test {
namespace {

namespace fs = std::filesystem;
using Endpoint = asio::ip::tcp::endpoint;

// The kernel's question and answer about one connection, by its two ends (sock_diag): the time does not depend on how many
// sockets there are.
struct Question {
    nlmsghdr header;
    inet_diag_req_v2 request;
};
struct Answer {
    nlmsghdr header;
    inet_diag_msg message;
};

Question questionAbout(const Endpoint& own, const Endpoint& other) {
    Question question{};
    question.header.nlmsg_len = sizeof(question);
    question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    question.header.nlmsg_flags = NLM_F_REQUEST;
    question.request.sdiag_family = AF_INET;
    question.request.sdiag_protocol = IPPROTO_TCP;
    question.request.idiag_states = ~0u;
    inet_diag_sockid& ends = question.request.id;
    ends.idiag_sport = htons(own.port());
    ends.idiag_dport = htons(other.port());
    ends.idiag_src[0] = htonl(own.address().to_v4().to_uint());
    ends.idiag_dst[0] = htonl(other.address().to_v4().to_uint());
    ends.idiag_cookie[0] = ends.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return question;
}

// Inode of the socket with these ends; empty where there is none that a process holds.
std::string inodeOf(const Endpoint& own, const Endpoint& other) {
    const int kernel = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (kernel < 0) throw std::runtime_error("the kernel's tables of sockets can't be asked");
    const Question question = questionAbout(own, other);
    Answer answer{};
    const bool sent = ::send(kernel, &question, sizeof(question), 0) == ssize_t{sizeof(question)};
    const ssize_t got = sent ? ::recv(kernel, &answer, sizeof(answer), 0) : 0;
    ::close(kernel);
    const bool found = got == ssize_t{sizeof(answer)} && answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY;
    if (!found || answer.message.idiag_inode == 0) return {};
    return fmt::format("{}", answer.message.idiag_inode);
}

bool holds(pid_t pid, const std::string& inode) {
    const std::string wanted = fmt::format("socket:[{}]", inode);
    std::error_code error;
    fs::directory_iterator entries(fmt::format("/proc/{}/fd", pid), error);
    for (; !error && entries != fs::directory_iterator(); entries.increment(error)) {
        std::error_code gone;
        if (fs::read_symlink(entries->path(), gone) == wanted && !gone) return true;
    }
    return false;
}

}  // namespace

void SocketOwners::add(const std::string& node, pid_t pid) {
    const std::lock_guard lock(mutex_);
    processes_[node] = pid;
}

void SocketOwners::remove(const std::string& node) {
    const std::lock_guard lock(mutex_);
    processes_.erase(node);
}

std::string SocketOwners::ownerOf(const Endpoint& caller, const Endpoint& called) const {
    const std::string inode = inodeOf(caller, called);
    if (inode.empty()) return {};
    const std::lock_guard lock(mutex_);
    for (const auto& [node, pid] : processes_)
        if (holds(pid, inode)) return node;
    return kOperator;
}

}  // namespace beechpoint::system_test
