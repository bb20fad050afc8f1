// A host on loopback that answers by chance in every way that a host may: complete, truncated, reset, duplicated, early, late, not at all. It
// notes what it ran and which bodies it sent completely, and checks that nothing but requests and their bodies reaches it.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

#include "loopback.hpp"
#include "net/framing.hpp"

namespace beechpoint::test {

enum class Act {
    counted,
    chunked,
    unframed,         // ends with the connection
    unframedReset,    // the same, and the connection is reset
    truncatedClosed,  // a part of a framed answer, then the end
    truncatedReset,   // then a reset
    resetUnanswered,  // nothing
    closedAfter,      // a complete answer, then the end of the connection
    doubled,          // a second copy in the same chunk
    doubledLate,      // a second copy when the next request has come, ahead of its answer
    doubledIdle,      // a second copy once the first has left
    interim,          // 1xx answers first
    bodiless,         // 204, and bytes where a body would stand
    foreign,          // an answer with another id
    unresponsive,
    notExecuted,
    notExecutedDoubledLate,
};
constexpr std::size_t kActs = static_cast<std::size_t>(Act::notExecutedDoubledLate) + 1;

// The body that a request with that id bears, or `size` bytes of it from `offset` on: the alphabet again and again.
inline std::string requestBody(const std::string& id, std::size_t size, std::size_t offset = 0) {
    static const std::string cycles = [] {
        std::string text;
        while (text.size() < 26 * 4096) text += "abcdefghijklmnopqrstuvwxyz";
        return text;
    }();
    const std::size_t start = (std::hash<std::string>{}(id) + offset) % 26;
    std::string body = cycles.substr(start, size);
    while (body.size() < size) body.append(cycles, (start + body.size()) % 26, size - body.size());
    return body;
}

class ErraticHost {
public:
    struct Request {
        int runs = 0;
        std::set<std::string> completeBodies;  // that may look complete to its caller
    };

    ErraticHost(asio::io_context& io, std::uint64_t seed) : acceptor_(io), random_(seed) {
        acceptor_.open(tcp::v4());
        // Little, so that an early answer meets a body that is still on its way.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(128 * 1024));
        acceptor_.bind(anyPort());
        acceptor_.listen();
        accept();
    }
    ~ErraticHost() {
        for (const auto& connection : connections_) connection->abort();
    }
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    std::map<std::string, Request> requests;
    std::array<std::size_t, kActs> met{};
    std::size_t early = 0;              // answers before the complete body
    std::size_t lateCopiesAhead = 0;    // copies that went out ahead of another answer
    std::vector<std::string> offences;  // bytes that are neither a request nor its body

private:
    enum class After { goOn, close, reset };

    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(ErraticHost& host, tcp::socket socket) : host_(host), socket_(std::move(socket)) {}

        void read() {
            if (after_ != After::goOn) return;
            socket_.async_read_some(asio::buffer(space_),
                                    [self = shared_from_this()](asio::error_code error, std::size_t size) {
                                        if (error) return self->abort();
                                        self->in_.append(self->space_, size);
                                        self->take();
                                        self->read();
                                    });
        }
        void abort() {
            aborted_ = true;
            asio::error_code ignored;
            socket_.close(ignored);
        }

    private:
        void take() {
            while (after_ == After::goOn && (inBody_ ? takeBody() : takeHead()))
                ;
        }
        bool takeHead() {
            const std::size_t end = net::headEnd(in_);
            if (end == 0) return false;
            const auto head = net::parseRequestHead(std::string_view(in_).substr(0, end));
            if (!head) return offend("no request: " + in_.substr(0, 60));
            id_ = std::string(head->header("X-Attempt-Id"));
            bodySize_ = bodyLeft_ = net::decimalNumber(head->header("Content-Length")).value_or(0);
            in_.erase(0, end);
            inBody_ = true;
            answered_ = false;
            if (bodyLeft_ > 0 && host_.random_() % 3 == 0) {
                ++host_.early;
                answer();
            }
            return true;
        }
        bool takeBody() {
            const std::size_t size = std::min(bodyLeft_, in_.size());
            const std::string expected = requestBody(id_, size, bodySize_ - bodyLeft_);
            if (in_.compare(0, size, expected) != 0) return offend("other bytes in the body of " + id_);
            in_.erase(0, size);
            bodyLeft_ -= size;
            if (bodyLeft_ > 0) return false;
            inBody_ = false;
            if (!answered_) answer();
            return true;
        }
        bool offend(std::string what) {
            host_.offences.push_back(std::move(what));
            after_ = After::close;
            return false;
        }

        void answer() {
            answered_ = true;
            const Act act = host_.drawAct();
            ++host_.met[static_cast<std::size_t>(act)];
            Request& request = host_.requests[id_];
            if (act != Act::notExecuted && act != Act::notExecutedDoubledLate) ++request.runs;
            if (!lateCopy_.empty()) {
                ++host_.lateCopiesAhead;
                out_ += std::exchange(lateCopy_, "");
            }
            body_ = fmt::format("{}/{}/{}", id_, request.runs, std::string(host_.random_() % 3000, 'y'));
            perform(act, request);
            write();
        }
        void perform(Act act, Request& request) {
            switch (act) {
                case Act::counted:
                    return sendComplete(request, counted());
                case Act::chunked:
                    return sendComplete(request, chunked());
                case Act::unframed:
                    after_ = After::close;
                    return sendComplete(request, head("200 OK", "") + body_);
                case Act::unframedReset:
                    after_ = After::reset;
                    out_ += head("200 OK", "") + body_;
                    return;
                case Act::truncatedClosed:
                    after_ = After::close;
                    return sendTruncated();
                case Act::truncatedReset:
                    after_ = After::reset;
                    return sendTruncated();
                case Act::resetUnanswered:
                    after_ = After::reset;
                    return;
                case Act::closedAfter:
                    after_ = After::close;
                    return sendComplete(request, counted());
                case Act::doubled:
                    sendComplete(request, counted());
                    out_ += counted();
                    return;
                case Act::doubledLate:
                    sendComplete(request, counted());
                    lateCopy_ = counted();
                    return;
                case Act::doubledIdle:
                    sendComplete(request, counted());
                    copyOnceIdle_ = counted();
                    return;
                case Act::interim:
                    out_ += "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
                    return sendComplete(request, chunked());
                case Act::bodiless:
                    request.completeBodies.insert("");
                    out_ += head("204 No Content", "") + (host_.random_() % 2 == 0 ? counted() : "");
                    return;
                case Act::foreign: {
                    const std::string own = std::exchange(id_, "another");
                    out_ += counted();
                    id_ = own;
                    return;
                }
                case Act::unresponsive:
                    return;
                case Act::notExecuted:
                    out_ += refusal();
                    return;
                case Act::notExecutedDoubledLate:
                    out_ += refusal();
                    lateCopy_ = refusal();
                    return;
            }
        }
        void sendComplete(Request& request, const std::string& bytes) {
            request.completeBodies.insert(body_);
            out_ += bytes;
        }
        void sendTruncated() {
            const std::string bytes = host_.random_() % 2 == 0 ? counted() : chunked();
            out_ += bytes.substr(0, host_.random_() % bytes.size());
        }
        std::string head(std::string_view status, std::string_view lines) const {
            return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nKeep-Alive: timeout=5\r\n{}\r\n", status,
                               id_, lines);
        }
        std::string counted() const {
            return head("200 OK", fmt::format("Content-Length: {}\r\n", body_.size())) + body_;
        }
        std::string chunked() const {
            std::string bytes = head("200 OK", "Transfer-Encoding: chunked\r\n");
            const std::size_t half = body_.size() / 2;
            for (const std::string& chunk : {body_.substr(0, half), body_.substr(half)})
                if (!chunk.empty()) bytes += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
            return bytes + "0\r\nTrailer: x\r\n\r\n";
        }
        std::string refusal() const {
            return head("503 Service Unavailable", "X-Not-Executed: 1\r\nContent-Length: 2\r\n") + "no";
        }

        void write() {
            if (writing_) return;
            if (out_.empty()) return written();
            writing_ = true;
            const auto bytes = std::make_shared<std::string>(std::exchange(out_, ""));
            asio::async_write(socket_, asio::buffer(*bytes),
                              [self = shared_from_this(), bytes](asio::error_code error, std::size_t) {
                                  self->writing_ = false;
                                  if (error || self->aborted_) return;
                                  self->write();
                              });
        }
        void written() {
            if (!copyOnceIdle_.empty()) {
                out_ = std::exchange(copyOnceIdle_, "");
                return write();
            }
            asio::error_code ignored;
            if (after_ == After::reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
            if (after_ != After::goOn) socket_.close(ignored);
        }

        ErraticHost& host_;
        tcp::socket socket_;
        char space_[16 * 1024];
        std::string in_, out_, id_, body_, lateCopy_, copyOnceIdle_;
        std::size_t bodySize_ = 0, bodyLeft_ = 0;
        bool inBody_ = false, answered_ = false, writing_ = false, aborted_ = false;
        After after_ = After::goOn;
    };

    void accept() {
        acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) return;
            connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
            connections_.back()->read();
            accept();
        });
    }
    // Half of the answers are complete and leave the connection open, so that connections are reused; time-outs cost time.
    Act drawAct() {
        const auto number = random_() % 100;
        if (number < 50) return number % 2 == 0 ? Act::counted : Act::chunked;
        if (number == 50) return Act::unresponsive;
        return static_cast<Act>(random_() % kActs == static_cast<std::size_t>(Act::unresponsive)
                                    ? static_cast<std::size_t>(Act::counted)
                                    : random_() % kActs);
    }

    tcp::acceptor acceptor_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace beechpoint::test
