#include "host_discovery/platform_connection.hpp"

#include <fmt/format.h>

#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace beechpoint::host_discovery {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kMaxPageBytes = 8 * 1024 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr long kMaxPort = 65535;

}  // namespace

PlatformConnection::PlatformConnection(asio::io_context& io, std::string address)
    : address_(std::move(address)), socket_(io), timer_(io), io_(io) {}

void PlatformConnection::get(const std::string& target, Millis timeout, OnAnswer onAnswer) {
    begin(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", target, address_),
          timeout, std::move(onAnswer));
}

void PlatformConnection::send(const PlatformRequest& request, Millis timeout, OnAnswer onAnswer) {
    begin(fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}Content-Length: {}\r\n\r\n{}", request.method,
                      request.target, address_, request.headerLines, request.body.size(), request.body),
          timeout, std::move(onAnswer));
}

void PlatformConnection::begin(std::string request, Millis timeout, OnAnswer onAnswer) {
    onAnswer_ = std::move(onAnswer);
    request_ = std::move(request);
    // Bytes that came while no call was open belong to none: answers carry no id that would tell.
    if (socket_.is_open() && hasUnreadBytes()) close();
    call_++;
    startTimer(timeout);
    if (socket_.is_open())
        write();
    else
        connect();
}

bool PlatformConnection::hasUnreadBytes() const {
    asio::error_code error;
    return socket_.available(error) > 0 || error;
}

void PlatformConnection::cancel() {
    if (onAnswer_) close();
    onAnswer_ = nullptr;
    timer_.cancel();
}

void PlatformConnection::close() {
    asio::error_code ignored;
    socket_.close(ignored);
    reader_.reset();
    buffer_ = net::Buffer{};
    call_++;  // handlers of the closed socket find another call
}

void PlatformConnection::startTimer(Millis timeout) {
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout * 1000)));
    timer_.async_wait([self = shared_from_this(), call = call_](const asio::error_code& error) {
        if (!error && call == self->call_) self->fail("no answer in time");
    });
}

void PlatformConnection::connect() {
    asio::error_code error;
    const auto colon = address_.rfind(':');
    const std::string host = address_.substr(0, colon);
    long port = 0;
    if (colon != std::string::npos) port = std::strtol(address_.c_str() + colon + 1, nullptr, 10);
    const auto ip = asio::ip::make_address(host, error);
    if (error || port < 1 || port > kMaxPort) return failLater("cloud_api.address is not IP:PORT");
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

void PlatformConnection::write() {
    if (!reader_) {
        reader_ = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, buffer_,
                                                    net::HttpReader::OnBody{}, kMaxPageBytes);
    }
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this(), call = call_](const asio::error_code& error, std::size_t) {
                          if (call != self->call_) return;
                          if (error) return self->fail(error.message());
                          self->read();
                      });
}

void PlatformConnection::read() {
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [self = shared_from_this(), call = call_](const asio::error_code& error, std::size_t size) {
            if (call == self->call_) self->onRead(error, size);
        });
}

void PlatformConnection::onRead(const asio::error_code& error, std::size_t size) {
    buffer_.commit(size);
    const auto state = error ? reader_->finish() : reader_->parse();
    if (state == net::HttpReader::State::complete) return complete(!error);
    if (error) return fail(error.message());
    if (state != net::HttpReader::State::more) return fail("the answer can't be read");
    read();
}

void PlatformConnection::complete(bool open) {
    const net::HttpMessage message = reader_->message();
    const int status = message.status;
    const std::string body(message.body);
    const bool reusable = open && message.keepAlive;
    reader_->next();
    if (!reusable || buffer_.size() > 0) close();
    buffer_.release();
    answer(status, body);
}

void PlatformConnection::fail(const std::string& reason) {
    close();
    answer(0, reason);
}

void PlatformConnection::failLater(std::string reason) {
    asio::post(io_, [self = shared_from_this(), call = call_, reason = std::move(reason)] {
        if (call == self->call_) self->fail(reason);
    });
}

void PlatformConnection::answer(int status, std::string_view body) {
    timer_.cancel();
    call_++;
    const OnAnswer onAnswer = std::move(onAnswer_);
    onAnswer_ = nullptr;  // the handler may make the next call
    if (onAnswer) onAnswer(status, body);
}

}  // namespace beechpoint::host_discovery
