/// One call at a time to the platform over HTTP/1.1, on a persistent connection. A call that has no complete answer by its deadline
/// fails and closes the connection. Called from the loop's thread only.
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

class PlatformConnection;

/// A call with a body.
struct PlatformRequest {
    std::string method;
    std::string target;
    std::string headerLines;  ///< complete lines, each ended by CRLF; without Host and Content-Length
    std::string body;
};

class PlatformClient {
public:
    /// Status and body of the answer; 0 and the reason where there was none.
    using OnAnswer = std::function<void(int status, std::string_view body)>;

    /// `address` is IP:PORT; one that can't be read fails every call.
    PlatformClient(asio::io_context& io, std::string address);
    /// No call is answered any more.
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// `timeout`: ms to the complete answer. Never called back from within. Only while no call is in flight.
    void get(const std::string& target, Millis timeout, OnAnswer onAnswer);
    /// The same for any method and with a body.
    void send(const PlatformRequest& request, Millis timeout, OnAnswer onAnswer);
    /// The call in flight, if any, is not answered.
    void cancel();

private:
    std::shared_ptr<PlatformConnection> connection_;
};

}  // namespace beechpoint::host_discovery
