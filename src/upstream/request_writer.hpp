/// Writes one request after another to a connection's socket, as much at a time as the system takes. Private to the module.
#pragma once

#include <asio/error_code.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

class RequestWriter {
public:
    enum class State {
        writing,   ///< the system takes no more for now
        complete,  ///< the system has all of the request
        failed,  ///< the connection takes no more. Not its end yet: the host may have answered before it closed
    };

    /// Begins a request; what was left of the one before is dropped.
    void begin(const Request& request);
    /// Writes what the system takes; on a non-blocking socket.
    State write(asio::ip::tcp::socket& socket);
    [[nodiscard]] State state() const { return state_; }
    /// Bytes of head and body that the system has.
    [[nodiscard]] std::size_t written() const { return written_; }

private:
    std::string head_;
    std::shared_ptr<const std::string> body_;
    std::size_t written_ = 0;
    State state_ = State::complete;
};

}  // namespace beechpoint::upstream
