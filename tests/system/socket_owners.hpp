// Which of the test's processes a connection on loopback comes from, as the kernel's tables tell it.
#pragma once

#include <sys/types.h>

#include <asio/ip/tcp.hpp>
#include <map>
#include <mutex>
#include <string>

namespace beechpoint::system_test {

inline constexpr const char* kOperator = "operator";  // the test itself

class SocketOwners {
public:
    void add(const std::string& node, pid_t pid);
    void remove(const std::string& node);

    // The node whose process holds the connection's end at `caller`; kOperator where it is no child of the test; empty
    // where nobody holds it any more.
    std::string ownerOf(const asio::ip::tcp::endpoint& caller, const asio::ip::tcp::endpoint& called) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, pid_t> processes_;
};

}  // namespace beechpoint::system_test
