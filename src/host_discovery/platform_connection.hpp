/// The connection of a PlatformClient. Private to the module; its handlers keep it alive until its socket and timer have let go of it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "host_discovery/platform_client.hpp"
#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::host_discovery {

class PlatformConnection : public std::enable_shared_from_this<PlatformConnection> {
public:
    using OnAnswer = PlatformClient::OnAnswer;

    PlatformConnection(asio::io_context& io, std::string address);

    /// As PlatformClient::get(); connects where no connection is open.
    void get(const std::string& target, Millis timeout, OnAnswer onAnswer);
    /// As PlatformClient::send(); likewise.
    void send(const PlatformRequest& request, Millis timeout, OnAnswer onAnswer);
    void cancel();
    void close();

private:
    void begin(std::string request, Millis timeout, OnAnswer onAnswer);
    [[nodiscard]] bool hasUnreadBytes() const;
    void startTimer(Millis timeout);
    void connect();
    void write();
    void read();
    void onRead(const asio::error_code& error, std::size_t size);
    void complete(bool open);
    void fail(const std::string& reason);
    void failLater(std::string reason);
    void answer(int status, std::string_view body);

    std::string address_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::io_context& io_;
    net::Buffer buffer_;
    std::unique_ptr<net::HttpReader> reader_;
    std::string request_;
    OnAnswer onAnswer_;
    std::uint64_t call_ = 0;  // handlers of earlier calls and of closed sockets have another one
};

}  // namespace beechpoint::host_discovery
