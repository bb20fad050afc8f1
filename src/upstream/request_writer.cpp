#include "upstream/request_writer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <string_view>

namespace beechpoint::upstream {

namespace {

constexpr std::string_view kAttemptId = "X-Attempt-Id";

// Methods whose requests state a length also where they have no body (RFC 9110, 8.6).
bool carriesBody(std::string_view method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

std::string requestHead(const Request& request) {
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    const Headers headers = endToEndHeaders(request.headers);
    head += headerLines(headers);
    if (!request.attemptId.empty() && findHeader(headers, kAttemptId) == nullptr)
        head += fmt::format("{}: {}\r\n", kAttemptId, request.attemptId);
    const std::size_t size = request.body ? request.body->size() : 0;
    if (size > 0 || carriesBody(request.method)) head += fmt::format("Content-Length: {}\r\n", size);
    head += "\r\n";
    return head;
}

// What of `bytes` is left to write, where they begin after `before` others.
asio::const_buffer remaining(std::string_view bytes, std::size_t before, std::size_t written) {
    const std::size_t done = std::min(written - std::min(written, before), bytes.size());
    return asio::buffer(bytes.data() + done, bytes.size() - done);
}

}  // namespace

void RequestWriter::begin(const Request& request) {
    head_ = requestHead(request);
    body_ = request.body;
    written_ = 0;
    state_ = State::writing;
}

RequestWriter::State RequestWriter::write(asio::ip::tcp::socket& socket) {
    const std::string_view body = body_ ? std::string_view(*body_) : std::string_view();
    const std::size_t size = head_.size() + body.size();
    asio::error_code error;
    while (!error && written_ < size) {
        const std::array<asio::const_buffer, 2> parts = {remaining(head_, 0, written_),
                                                         remaining(body, head_.size(), written_)};
        written_ += socket.write_some(parts, error);
    }
    if (written_ == size) {
        state_ = State::complete;
        std::string().swap(head_);  // gives its memory back: unused connections are many
        body_.reset();
    } else if (error && error != asio::error::would_block) {
        state_ = State::failed;
    }
    return state_;
}

}  // namespace beechpoint::upstream
