// One call at a time to the platform over HTTP/1.1, on a connection that is kept. A call that has no whole answer by its deadline
// fails and closes the connection.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::host_discovery {

class PlatformClient {
public:
    // Status and body of the answer; 0 and the reason where there was none.
    using OnAnswer = std::function<void(int status, std::string_view body)>;

    // `address` is IP:PORT; one that can't be read fails every call.
    PlatformClient(asio::io_context& io, std::string address);
    ~PlatformClient();  // no call is answered any more
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // Never called back from within. Only while no call is out.
    void get(const std::string& target, Millis timeout, OnAnswer onAnswer);
    void cancel();  // the call that is out, if any, is not answered

private:
    struct Connection;
    std::shared_ptr<Connection> connection_;
};

}  // namespace beechpoint::host_discovery
