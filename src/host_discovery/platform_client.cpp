#include "host_discovery/platform_client.hpp"

#include <fmt/format.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::host_discovery {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kMaxPageBytes = 8 * 1024 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;

}  // namespace

struct PlatformClient::Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::io_context& io, std::string address)
        : address_(std::move(address)), socket_(io), timer_(io), io_(io) {}

    void get(const std::string& target, Millis timeout, OnAnswer onAnswer) {
        onAnswer_ = std::move(onAnswer);
        request_ =
            fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", target, address_);
        call_++;
        watch(timeout);
        if (socket_.is_open())
            write();
        else
            connect();
    }

    void cancel() {
        if (onAnswer_) close();
        onAnswer_ = nullptr;
        timer_.cancel();
    }

    void close() {
        asio::error_code ignored;
        socket_.close(ignored);
        reader_.reset();
        buffer_ = net::Buffer{};
        call_++;  // handlers of the closed socket find another call
    }

private:
    void watch(Millis timeout) {
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout * 1000)));
        timer_.async_wait([self = shared_from_this(), call = call_](const asio::error_code& error) {
            if (!error && call == self->call_) self->fail("no answer in time");
        });
    }

    void connect() {
        asio::error_code error;
        const auto colon = address_.rfind(':');
        const std::string host = address_.substr(0, colon);
        const long port =
            colon == std::string::npos ? 0 : std::strtol(address_.c_str() + colon + 1, nullptr, 10);
        const auto ip = asio::ip::make_address(host, error);
        if (error || port < 1 || port > 65535) return failLater("cloud_api.address is not IP:PORT");
        socket_.open(Tcp::v4(), error);
        if (error) return failLater(error.message());
        socket_.set_option(Tcp::no_delay(true), error);
        socket_.async_connect({ip, static_cast<std::uint16_t>(port)},
                              [self = shared_from_this(), call = call_](const asio::error_code& failure) {
                                  if (call != self->call_) return;
                                  if (failure) return self->fail(failure.message());
                                  self->write();
                              });
    }

    void write() {
        if (!reader_) {
            reader_ = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, buffer_,
                                                        net::HttpReader::OnBody{}, kMaxPageBytes);
        }
        asio::async_write(
            socket_, asio::buffer(request_),
            [self = shared_from_this(), call = call_](const asio::error_code& error, std::size_t) {
                if (call != self->call_) return;
                if (error) return self->fail(error.message());
                self->read();
            });
    }

    void read() {
        socket_.async_read_some(
            buffer_.prepare(kReadBytes),
            [self = shared_from_this(), call = call_](const asio::error_code& error, std::size_t got) {
                if (call == self->call_) self->onRead(error, got);
            });
    }

    void onRead(const asio::error_code& error, std::size_t got) {
        buffer_.commit(got);
        const auto state = error ? reader_->finish() : reader_->parse();
        if (state == net::HttpReader::State::complete) return complete(!error);
        if (error) return fail(error.message());
        if (state != net::HttpReader::State::more) return fail("the answer can't be read");
        read();
    }

    void complete(bool open) {
        const net::HttpMessage message = reader_->message();
        const int status = message.status;
        const std::string body(message.body);
        const bool keep = open && message.keepAlive;
        reader_->next();
        if (!keep || buffer_.size() > 0) close();
        buffer_.release();
        answer(status, body);
    }

    void fail(const std::string& reason) {
        close();
        answer(0, reason);
    }

    void failLater(std::string reason) {
        asio::post(io_, [self = shared_from_this(), call = call_, reason = std::move(reason)] {
            if (call == self->call_) self->fail(reason);
        });
    }

    void answer(int status, std::string_view body) {
        timer_.cancel();
        call_++;
        const OnAnswer then = std::exchange(onAnswer_, nullptr);
        if (then) then(status, body);
    }

    std::string address_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    asio::io_context& io_;
    net::Buffer buffer_;
    std::unique_ptr<net::HttpReader> reader_;
    std::string request_;
    OnAnswer onAnswer_;
    std::uint64_t call_ = 0;  // handlers of earlier calls and of closed sockets are told by it
};

PlatformClient::PlatformClient(asio::io_context& io, std::string address)
    : connection_(std::make_shared<Connection>(io, std::move(address))) {}

PlatformClient::~PlatformClient() {
    connection_->cancel();
    connection_->close();
}

void PlatformClient::get(const std::string& target, Millis timeout, OnAnswer onAnswer) {
    connection_->get(target, timeout, std::move(onAnswer));
}

void PlatformClient::cancel() { connection_->cancel(); }

}  // namespace beechpoint::host_discovery
