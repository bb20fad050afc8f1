// Heads and bodies: what is accepted, and what is rejected since it could be read in two ways.
#include "net/framing.hpp"

#include <gtest/gtest.h>

#include <string>

#include "net/http.hpp"

namespace beechpoint::net {
namespace {

std::string head(const std::string& lines) { return "POST /a HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"; }

struct Read {
    HttpReader::State state = HttpReader::State::more;
    std::string method, target, body, rest;
};

// What the strict reader makes of `bytes`, fed in chunks of that size.
Read readStrictly(const std::string& bytes, std::size_t chunk, std::size_t maxHead = 1024,
                  std::size_t maxBody = 64 * 1024) {
    Buffer buffer;
    HttpReader reader(HttpReader::Kind::request, buffer);
    reader.strict();
    reader.limits(maxHead, maxBody);
    Read read;
    std::size_t at = 0;
    while (at < bytes.size() && read.state == HttpReader::State::more) {
        const std::size_t size = std::min(chunk, bytes.size() - at);
        std::memcpy(buffer.prepare(size).data(), bytes.data() + at, size);
        buffer.commit(size);
        at += size;
        read.state = reader.parse();
    }
    if (read.state != HttpReader::State::complete) return read;
    const HttpMessage message = reader.message();
    read.method = message.method;
    read.target = message.target;
    read.body = message.body;
    reader.next();
    read.rest = std::string(buffer.view()) + bytes.substr(at);
    return read;
}

void expectState(const std::string& bytes, HttpReader::State state) {
    for (const std::size_t chunk : {std::size_t{1}, std::size_t{7}, bytes.size()})
        EXPECT_EQ(readStrictly(bytes, chunk).state, state) << "in chunks of " << chunk << ": " << bytes;
}

TEST(StrictReading, AcceptsPlainRequests) {
    const std::pair<std::string, std::string> cases[] = {
        {head("Content-Length: 3\r\n") + "abc", "abc"},
        {head("content-length:3\r\n") + "abc", "abc"},
        {head("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n", "abc"},
        {head("Transfer-Encoding: Chunked\r\n") +
             "2;x=y\r\nab\r\n00001\r\nc\r\n0\r\nTrailer-Field: v\r\n\r\n",
         "abc"},
        {head(""), ""},
        {"\r\n" + head("Content-Length: 0\r\n"), ""},
        {"GET /x?y=%20 HTTP/1.0\r\n\r\n", ""},
        {"OPTIONS * HTTP/1.1\r\nHost: h\r\nEmpty:\r\nBlank: a b\t c \r\n\r\n", ""}};
    for (const auto& [bytes, body] : cases) {
        for (const std::size_t chunk : {std::size_t{1}, std::size_t{5}, bytes.size()}) {
            const Read read = readStrictly(bytes + "GET", chunk);
            EXPECT_EQ(read.state, HttpReader::State::complete) << bytes;
            EXPECT_EQ(read.body, body) << bytes;
            EXPECT_EQ(read.rest, "GET") << bytes;
        }
    }
}

TEST(StrictReading, RejectsAmbiguousFraming) {
    const std::string smuggled = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string cases[] = {
        head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + smuggled,
        head("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") + "0\r\n\r\n" + smuggled,
        head("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc",
        head("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd",
        head("Content-Length: 3, 3\r\n") + "abc",
        head("Content-Length: +3\r\n") + "abc",
        head("Content-Length: -3\r\n") + "abc",
        head("Content-Length: 0x3\r\n") + "abc",
        head("Content-Length: 3 4\r\n") + "abc",
        head("Content-Length:\r\n") + "abc",
        head("Content-Length: 99999999999999999999\r\n"),
        head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n",
        head("Transfer-Encoding: identity\r\n"),
        head("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n",
        head("Transfer-Encoding: \"chunked\"\r\n") + "0\r\n\r\n",
        head("Transfer-Encoding:\r\n"),
        head("Transfer-Encoding: chunked\r\n") + "3\r\nabcd\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3\r\nabc0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3\r\nabc\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3 \r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + " 3\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "0x3\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "-3\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "g\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "10000000000000003\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3;" + std::string(300, 'x') + "\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "3;\x01\r\nabc\r\n0\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "0\r\nno field\r\n\r\n",
        head("Transfer-Encoding: chunked\r\n") + "0\r\n folded: x\r\n\r\n",
        head("Transfer-Encoding : chunked\r\n") + "0\r\n\r\n",
        head("Content-Length : 3\r\n") + "abc",
        head("Content-Length\t: 3\r\n") + "abc",
        head(" Content-Length: 3\r\n") + "abc",
        head("X: y\r\n Content-Length: 3\r\n") + "abc",
        head("X: y\r\n\tmore\r\n"),
        head("X: y\nContent-Length: 3\r\n") + "abc",
        head("X: y\rContent-Length: 3\r\n") + "abc",
        head("X: a\x01z\r\n"),
        head(std::string("X: a\0z\r\n", 8)),
        head("X: a\x7fz\r\n"),
        head("X\x01: y\r\n"),
        head(": y\r\n"),
        head("no colon\r\n"),
        head("X[]: y\r\n"),
        head("Host: other\r\n"),
        "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1 \r\n\r\n",
        "GET  /a HTTP/1.1\r\n\r\n",
        "GET /a b HTTP/1.1\r\n\r\n",
        "GET\t/a\tHTTP/1.1\r\n\r\n",
        " GET /a HTTP/1.1\r\n\r\n",
        "GET /a\r\n\r\n",
        "GET /a HTTP/0.9\r\n\r\n",
        "GET /a HTTP/2.0\r\n\r\n",
        "GET /a HTTP/1.10\r\n\r\n",
        "GET /a http/1.1\r\n\r\n",
        "GET /\x01 HTTP/1.1\r\n\r\n",
        "GET /\xc3\xa9 HTTP/1.1\r\n\r\n",
        "GET /a#b HTTP/1.1\r\n\r\n",
        "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
        "G(T /a HTTP/1.1\r\n\r\n",
        "/a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\n\n",
        "nonsense\r\n\r\n"};
    for (const std::string& bytes : cases) expectState(bytes, HttpReader::State::bad);
}

TEST(StrictReading, BoundsHeadAndBody) {
    const std::string long_ = head("X: " + std::string(1100, 'x') + "\r\n");
    expectState(long_, HttpReader::State::tooLarge);
    expectState("GET /" + std::string(2000, 'x'), HttpReader::State::tooLarge);
    const std::string atBound = head("Content-Length: 65536\r\n") + std::string(65536, 'x');
    EXPECT_EQ(readStrictly(atBound, 4096).state, HttpReader::State::complete);
    EXPECT_EQ(readStrictly(head("Content-Length: 65537\r\n"), 4096).state, HttpReader::State::tooLarge);
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    std::string chunks = head("Transfer-Encoding: chunked\r\n");
    for (int i = 0; i < 16; ++i) chunks += chunk;
    EXPECT_EQ(readStrictly(chunks + "0\r\n\r\n", 1000).state, HttpReader::State::complete);
    EXPECT_EQ(readStrictly(chunks + "1\r\nx\r\n0\r\n\r\n", 1000).state, HttpReader::State::tooLarge);
}

// Chunks of one byte take no more room than the body itself.
TEST(StrictReading, JoinsSmallChunks) {
    Buffer buffer;
    HttpReader reader(HttpReader::Kind::request, buffer);
    reader.strict();
    const auto feed = [&](const std::string& bytes) {
        std::memcpy(buffer.prepare(bytes.size()).data(), bytes.data(), bytes.size());
        buffer.commit(bytes.size());
        return reader.parse();
    };
    const std::string begin = head("Transfer-Encoding: chunked\r\n");
    EXPECT_EQ(feed(begin), HttpReader::State::more);
    for (int i = 0; i < 5000; ++i) ASSERT_EQ(feed("1\r\nx\r\n"), HttpReader::State::more);
    EXPECT_LE(buffer.size(), begin.size() + 5000 + 16);
    EXPECT_EQ(feed("0\r\n\r\n"), HttpReader::State::complete);
    EXPECT_EQ(reader.message().body, std::string(5000, 'x'));
}

TEST(StrictReading, DoesNotTakeTrailersForHeaders) {
    Buffer buffer;
    HttpReader reader(HttpReader::Kind::request, buffer);
    reader.strict();
    const std::string bytes = head("Transfer-Encoding: chunked\r\n") + "0\r\nX-Attempt-Id: other\r\n\r\n";
    std::memcpy(buffer.prepare(bytes.size()).data(), bytes.data(), bytes.size());
    buffer.commit(bytes.size());
    ASSERT_EQ(reader.parse(), HttpReader::State::complete);
    EXPECT_EQ(reader.message().count("X-Attempt-Id"), 0u);
}

TEST(AnswerHead, AcceptsSoundAndRejectsMalformedHeads) {
    for (const std::string line :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 404 Not Found"})
        EXPECT_TRUE(parseAnswerHead(line + "\r\n\r\n")) << line;
    for (const std::string line : {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1 099 X",
                                   "HTTP/2 200 OK", "HTTP/1.1 200OK", "200 OK", "HTTP/1.1 2x0 OK"})
        EXPECT_FALSE(parseAnswerHead(line + "\r\n\r\n")) << line;
}

TEST(AnswerHead, DeterminesBodyFraming) {
    using Kind = BodyFraming::Kind;
    const auto framing = [](const std::string& text, std::string_view method = "GET") {
        return answerFraming(*parseAnswerHead("HTTP/1.1 " + text + "\r\n\r\n"), method);
    };
    EXPECT_EQ(framing("200 OK")->kind, Kind::toEnd);
    EXPECT_EQ(framing("200 OK\r\nContent-Length: 5")->length, 5u);
    EXPECT_EQ(framing("200 OK\r\nTransfer-Encoding: chunked")->kind, Kind::chunked);
    EXPECT_EQ(framing("200 OK\r\nContent-Length: 5", "HEAD")->kind, Kind::none);
    EXPECT_EQ(framing("204 No Content")->kind, Kind::none);
    EXPECT_EQ(framing("304 Not Modified\r\nContent-Length: 5")->kind, Kind::none);
    EXPECT_FALSE(framing("200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked"));
    EXPECT_FALSE(framing("200 OK\r\nContent-Length: 5\r\nContent-Length: 5"));
    EXPECT_FALSE(framing("200 OK\r\nContent-Length: x"));
}

}  // namespace
}  // namespace beechpoint::net
