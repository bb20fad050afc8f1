// Reading HTTP messages, and the buffer under the reader.
#include "net/http.hpp"

#include <gtest/gtest.h>

#include <cstring>

#include "append_bytes.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using State = net::HttpReader::State;

namespace {

TEST(HttpReader, ReadsOrRejectsEachRequestAtOnceAndByteByByte) {
    const std::string chunked =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    const struct {
        std::string bytes;
        State state;
        std::string body;
        bool keepAlive;
    } cases[] = {
        {"GET /up HTTP/1.1\r\n\r\n", State::complete, "", true},
        {"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n", State::complete, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", State::complete, "abc", true},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", State::more, "", false},
        {chunked, State::complete, "abcde", true},
        {"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", State::tooLarge, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'x'),
         State::tooLarge, "", false},
        {"GET /" + std::string(20000, 'a'), State::tooLarge, "", false},
        {"\x01\x02 nonsense\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", State::bad, "", false},
        // Lengths that can be read in two ways: another request may hide in the body.
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", State::bad,
         "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", State::bad,
         "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc", State::bad, "",
         false},
        {"POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", State::bad, "", false},
    };
    for (const auto& c : cases)
        for (const std::size_t step : {c.bytes.size(), std::size_t{1}}) {  // at once, and byte by byte
            net::Buffer buffer;
            net::HttpReader reader(net::HttpReader::Kind::request, buffer);
            State state = State::more;
            for (std::size_t at = 0; at < c.bytes.size() && state == State::more; at += step) {
                appendBytes(buffer, c.bytes.substr(at, step));
                state = reader.parse();
            }
            EXPECT_EQ(state, c.state) << c.bytes.substr(0, 80);
            if (state != State::complete) continue;
            EXPECT_EQ(reader.message().body, c.body);
            EXPECT_EQ(reader.message().keepAlive, c.keepAlive);
        }
}

TEST(HttpReader, ReadsPipelinedRequestsOneByOne) {
    net::Buffer buffer;
    net::HttpReader reader(net::HttpReader::Kind::request, buffer);
    appendBytes(buffer, "GET /1 HTTP/1.1\r\nX-Qos: a\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    ASSERT_EQ(reader.parse(), State::complete);
    EXPECT_EQ(reader.message().target, "/1");
    EXPECT_EQ(reader.message().header("x-qos"), "a");
    EXPECT_TRUE(reader.message().header("none").empty());
    reader.next();
    ASSERT_EQ(reader.parse(), State::complete);
    EXPECT_EQ(reader.message().target, "/2");
}

// Chunks of a byte each take six bytes on the wire: what they frame is kept, and nothing of their framing or of the trailers.
TEST(HttpReader, KeepsNoMoreOfABodyInChunksThanItsBytes) {
    constexpr std::size_t kBody = 10'000;
    net::Buffer buffer;
    net::HttpReader reader(net::HttpReader::Kind::request, buffer);
    const std::string head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    appendBytes(buffer, head);
    ASSERT_EQ(reader.parse(), State::more);
    for (std::size_t byte = 0; byte < kBody; ++byte) {
        appendBytes(buffer, "1;extension\r\nb\r\n");
        ASSERT_EQ(reader.parse(), State::more);
    }
    constexpr std::size_t kOneChunk = 32;
    EXPECT_LE(buffer.size(), head.size() + kBody + kOneChunk);
    appendBytes(buffer, "0\r\nX-Trailer: t\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
    ASSERT_EQ(reader.parse(), State::complete);
    EXPECT_EQ(reader.message().body, std::string(kBody, 'b'));
    EXPECT_TRUE(reader.message().header("X-Trailer").empty());
    reader.next();
    ASSERT_EQ(reader.parse(), State::complete);
    EXPECT_EQ(reader.message().target, "/next");
}

// A read is under way into the space of prepare() while the message before it is consumed.
TEST(Buffer, KeepsPreparedSpaceWhenEarlierBytesAreConsumed) {
    net::Buffer buffer;
    appendBytes(buffer, "first");
    const auto space = buffer.prepare(16);
    buffer.consume(5);
    std::memcpy(space.data(), "second", 6);
    buffer.commit(6);
    EXPECT_EQ(buffer.view(), "second");
}

}  // namespace
