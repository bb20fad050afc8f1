// The operators' endpoint: HTTP/1.1, one call to a connection. A thin wire: it carries a call to the one who decides
// and the reply back. It is the net/ server with few places: a caller who finishes no call is told so or closed
// after 2 s, and where all places are taken the oldest unfinished caller makes room.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/server.hpp"

namespace beechpoint::admin {

// What operators may ask for. The gatherer answers; the endpoint only words it.
class Controls {
public:
    enum class Reply { done, unknown, impossible };
    using Later = std::function<void(Reply)>;
    virtual ~Controls() = default;
    virtual bool ready() const = 0;
    virtual std::string stats() const = 0;  // JSON
    virtual bool drain(bool start) = 0;
    virtual std::string group() const = 0;  // JSON; empty where the gatherer is in no group
    virtual bool foundGroup(std::uint64_t number) = 0;
    // Takes a free duty of the group for this gatherer, or gives one up (`to`: to that member; empty: to whoever is next).
    struct Settled {
        bool known = false, yes = false;
        std::uint64_t fencingToken = 0;
    };
    virtual void singletonRole(bool take, const std::string& name, const std::string& to,
                               std::function<void(Settled)> later) = 0;
    virtual void trackHost(const std::string& id, bool out, Later later) = 0;
};

// An id as it stands in a path, percent-decoded once; nothing where it is malformed.
std::optional<std::string> decodeId(std::string_view text);

class OperatorEndpoint {
public:
    static constexpr std::size_t kPlaces = 16;  // descriptors kept for callers

    OperatorEndpoint(asio::io_context& io, const Clock& clock, Logger& log, Controls& controls);
    void listen(const asio::ip::tcp::endpoint& at) { server_.listen(at); }  // throws where it can't
    asio::ip::tcp::endpoint endpoint() const { return server_.endpoint(); }
    void close() { server_.closeAll(); }

private:
    using Connection = std::shared_ptr<net::HttpConnection>;
    void handle(const net::HttpMessage& message, const Connection& connection);
    void group(const net::HttpMessage& message, const Connection& connection);
    void singletonRole(bool take, std::string_view rest, const Connection& connection);
    void trackHost(std::string_view rest, const Connection& connection);

    Controls& controls_;
    Logger& log_;
    net::HttpServer server_;
};

}  // namespace beechpoint::admin
