#include "http_answer.hpp"

#include <fmt/format.h>

#include <charconv>

#include "loopback.hpp"

namespace beechpoint::golden {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kStatusAt = 9;  // behind "HTTP/1.1 "

std::string headerNames(std::string_view headers) {
    std::string names;
    while (!headers.empty()) {
        const std::string_view line = headers.substr(0, headers.find(kLineEnd));
        headers.remove_prefix(std::min(headers.size(), line.size() + kLineEnd.size()));
        names += fmt::format("{}{}", names.empty() ? "" : ", ", line.substr(0, line.find(':')));
    }
    return names;
}

}  // namespace

std::string answerLine(std::string_view name, int status, std::string_view headers, std::string_view body) {
    return fmt::format("{} | {} | {} | {}", name, status, headerNames(headers), onOneLine(body));
}

std::string answerLine(std::string_view name, const std::string& answer) {
    const std::size_t head = answer.find(kHeadEnd), first = answer.find(kLineEnd);
    if (head == std::string::npos || answer.size() < kStatusAt + 3)
        return fmt::format("{} | no answer", name);
    int status = 0;
    std::from_chars(answer.data() + kStatusAt, answer.data() + kStatusAt + 3, status);
    const std::string_view all = answer;
    const std::string_view headers =
        first == head ? std::string_view{}
                      : all.substr(first + kLineEnd.size(), head - first - kLineEnd.size());
    return answerLine(name, status, headers, bodyOf(answer));
}

std::string request(std::string_view method, std::string_view target, std::string_view headers,
                    std::string_view body) {
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: {}\r\n{}\r\n{}", method,
        target, body.size(), headers, body);
}

std::string ask(asio::io_context& io, const asio::ip::tcp::endpoint& to, std::string_view bytes) {
    const test::PeerPtr peer = test::connectTo(io, to);
    peer->send(bytes);
    EXPECT_TRUE(test::until(io, [&] { return peer->ended; })) << "no end of the answer to " << bytes;
    peer->close();
    return peer->got;
}

std::string bodyOf(const std::string& answer) {
    const std::size_t head = answer.find(kHeadEnd);
    return head == std::string::npos ? std::string() : answer.substr(head + kHeadEnd.size());
}

}  // namespace beechpoint::golden
