#include "stream_host.hpp"

#include <fmt/format.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/framing.hpp"

namespace beechpoint::system_test {
namespace {

using asio::ip::tcp;

constexpr std::uint64_t kShortestPauseMs = 2, kLongestPauseMs = 25;  // between pieces

std::string chunkOf(const std::string& bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

}  // namespace

class StreamHost::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(StreamHost& host, tcp::socket socket)
        : host_(host), socket_(std::move(socket)), timer_(host.io_) {}

    void read() {
        socket_.async_read_some(asio::buffer(space_),
                                [self = shared_from_this()](asio::error_code error, std::size_t size) {
                                    if (self->closed_) return;
                                    if (error) return self->end();
                                    self->in_.append(self->space_.data(), size);
                                    self->takeRequests();
                                    if (!self->closed_) self->read();
                                });
    }

    void close() {
        closed_ = true;
        timer_.cancel();
        asio::error_code ignored;
        socket_.close(ignored);
    }

private:
    void end() {
        const auto self = shared_from_this();
        close();
        host_.connections_.erase(self);
    }

    void reset() {
        asio::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        end();
    }

    void takeRequests() {
        if (answering_) return;
        const std::size_t size = net::headEnd(in_);
        if (size == 0) return;
        const std::string bytes = in_.substr(0, size);
        in_.erase(0, size);
        const auto head = net::parseRequestHead(bytes);
        if (!head) return end();
        answer(*head);
    }

    void answer(const net::MessageHead& head) {
        answering_ = true;
        const std::string id(head.header("X-Attempt-Id"));
        const auto stream = PieceStream::ofPath(head.target);
        if (!stream) return sendAnswer(200, "");
        stream_ = *stream;
        script_ = host_.drawScript(stream_, net::decimalNumber(head.header("Last-Event-Id")).value_or(0));
        run_ = host_.nextRun();
        if (script_.isOther) return sendPartOfOther(id);
        if (script_.fails) return sendAnswer(500, fmt::format("X-Attempt-Id: {}\r\n", id));
        next_ = script_.first;
        write(streamHead(id));
    }

    void sendAnswer(int status, const std::string& lines) {
        script_ = {};
        script_.framing = Script::Framing::statedLength;
        next_ = 1;  // nothing follows
        write(fmt::format("HTTP/1.1 {} X\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n{}\r\n", status,
                          host_.instance_, lines));
    }

    void sendPartOfOther(const std::string& id) {
        next_ = script_.last + 1;  // nothing follows
        script_.ending = Script::Ending::close;
        const char* const status = host_.happens(0.5) ? "404 Not Found" : "200 OK";
        write(fmt::format(
            "HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\n"
            "Transfer-Encoding: chunked\r\n\r\n{}",
            status, id, chunkOf("half of ")));
    }

    std::string streamHead(const std::string& id) const {
        std::string framing;
        if (script_.framing == Script::Framing::chunked) framing = "Transfer-Encoding: chunked\r\n";
        if (script_.framing == Script::Framing::statedLength)
            framing = fmt::format("Content-Length: {}\r\n", wholeLength());
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\nKeep-Alive: timeout=5\r\n"
            "Content-Type: text/event-stream\r\n{}\r\n",
            id, framing);
    }

    std::size_t wholeLength() const {
        std::size_t length = 0;
        for (std::uint64_t number = script_.first; number <= stream_.pieces; ++number)
            length += stream_.event(number, run_, script_.hasIds).size();
        return length;
    }

    void write(std::string bytes) {
        const auto kept = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(socket_, asio::buffer(*kept),
                          [self = shared_from_this(), kept](asio::error_code error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->end();
                              self->goOn();
                          });
    }

    void goOn() {
        if (next_ > script_.last) return finish();
        timer_.expires_after(std::chrono::milliseconds(host_.between(kShortestPauseMs, kLongestPauseMs)));
        timer_.async_wait([self = shared_from_this()](asio::error_code error) {
            if (!error && !self->closed_) self->sendPiece();
        });
    }

    void sendPiece() {
        const std::string event = stream_.event(next_++, run_, script_.hasIds);
        write(script_.framing == Script::Framing::chunked ? chunkOf(event) : event);
    }

    void finish() {
        using Ending = Script::Ending;
        if (script_.ending == Ending::silence) return;
        if (script_.ending == Ending::close) return end();
        if (script_.ending == Ending::reset) return reset();
        if (script_.framing == Script::Framing::closeDelimited) return end();
        if (script_.framing == Script::Framing::chunked && !std::exchange(lastChunkSent_, true))
            return write("0\r\n\r\n");
        lastChunkSent_ = false;
        answering_ = false;
        takeRequests();
    }

    StreamHost& host_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, 8 * 1024> space_{};
    std::string in_;
    PieceStream stream_;
    Script script_;
    std::string run_;
    std::uint64_t next_ = 1;  // piece
    bool answering_ = false, lastChunkSent_ = false, closed_ = false;
};

StreamHost::StreamHost(asio::io_context& io, tcp::endpoint at, std::string instance, const Habits& habits,
                       std::uint64_t seed)
    : io_(io),
      at_(std::move(at)),
      instance_(std::move(instance)),
      habits_(habits),
      random_(seed),
      acceptor_(io) {}

StreamHost::~StreamHost() { kill(); }

void StreamHost::start() {
    if (acceptor_.is_open()) return;
    acceptor_.open(tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(at_);
    acceptor_.listen();
    accept();
}

void StreamHost::kill() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& connection : std::exchange(connections_, {})) connection->close();
}

void StreamHost::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error) return;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->read();
        accept();
    });
}

std::string StreamHost::nextRun() { return fmt::format("{}.{}", instance_, ++runs_); }

StreamHost::Script StreamHost::drawScript(const PieceStream& stream, std::uint64_t after) {
    Script script;
    if (happens(habits_.closeDelimited))
        script.framing = Script::Framing::closeDelimited;
    else if (happens(habits_.statedLength))
        script.framing = Script::Framing::statedLength;
    script.fails = happens(habits_.failsFirst);
    script.isOther = happens(habits_.answersOther);
    script.hasIds = !happens(habits_.leavesOutIds);
    script.first = happens(habits_.ignoresLastEventId) ? 1 : after + 1;
    script.last = stream.pieces;
    if (happens(habits_.closesEarly)) script.ending = Script::Ending::close;
    if (happens(habits_.resetsEarly)) script.ending = Script::Ending::reset;
    if (happens(habits_.fallsSilent)) script.ending = Script::Ending::silence;
    if (script.ending == Script::Ending::whole || script.first > script.last) return script;
    script.last = between(script.first, script.last) - 1;
    ++earlyEnds_;
    return script;
}

}  // namespace beechpoint::system_test
