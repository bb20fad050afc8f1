// Hosts on loopback whose connections end ahead of their streams, as the kernel closes those of a process that was killed.
#include "host_stream_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";

class EarlyEndTest : public HostStreamTest {
protected:
    static std::string unframed(const std::string& events) {
        return std::string(kHead) + kUnframedHead + events;
    }
    static std::string chunkedStream(const std::string& events) {
        return std::string(kHead) + kChunkedHead + chunk(events) + "0\r\n\r\n";
    }
};

TEST_F(EarlyEndTest, StreamThatEndsWithItsHostsConnectionDoesNotLookComplete) {
    expectCutAfter(unframed(kFirstEvent), kFirstEvent);
}

TEST_F(EarlyEndTest, ResumableStreamGoesOnElsewhereWhereItsHostsConnectionEnds) {
    expectResumedWhole(unframed(kFirstEvent), fromSecondEvent());
    ASSERT_EQ(requestBytes.size(), 2u);
    EXPECT_NE(requestBytes[1].find("Last-Event-Id: 1\r\n"), std::string::npos);
}

TEST_F(EarlyEndTest, StreamWithoutAnyEventIsNoAnswer) {
    answerFirstWith(unframed(""), "");
    start();
    const PeerPtr client = ask("/e/x");
    ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
    EXPECT_TRUE(client->has("HTTP/1.1 502 ")) << client->got;
}

TEST_F(EarlyEndTest, ResumableStreamWithoutAnyEventIsAskedForElsewhere) {
    expectResumedWhole(unframed(""), chunkedStream(kWholeStream));
}

TEST_F(EarlyEndTest, StreamThatAClientResumesGoesOnBehindTheLastEventPassedOn) {
    addHost("i-2", second);
    answerFirstWith(unframed("id: 2\ndata: b\n\n"), chunkedStream("id: 3\ndata: c\n\n"));
    start();
    const PeerPtr client = ask("/r/x", "a1", "Last-Event-Id: 1\r\n");
    ASSERT_TRUE(until(io, [&] { return client->ended || isComplete(*client); }));
    EXPECT_TRUE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    ASSERT_EQ(requestBytes.size(), 2u);
    EXPECT_NE(requestBytes[1].find("Last-Event-Id: 2\r\n"), std::string::npos);
}

TEST_F(EarlyEndTest, StreamOfStatedLengthIsComplete) {
    const std::string events = kWholeStream;
    answerFirstWith(std::string(kHead) + fmt::format("Content-Type: text/event-stream\r\nContent-Length: {}"
                                                     "\r\n\r\n{}",
                                                     events.size(), events),
                    "");
    start();
    const PeerPtr client = askAndWait("/e/x");
    EXPECT_TRUE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), events);
}

// Such hosts end each answer so, and nothing in it tells its end from a cut.
TEST_F(EarlyEndTest, OtherAnswerThatEndsWithItsConnectionIsPassedOn) {
    answerFirstWith(std::string(kHead) + "Content-Type: text/plain\r\n\r\nall of it", "");
    start();
    const PeerPtr client = askAndWait("/p/x");
    EXPECT_TRUE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), "all of it");
}

TEST_F(EarlyEndTest, AnswersThatEndWithTheirConnectionAreCounted) {
    answerFirstWith(unframed(kFirstEvent), "");
    start();
    askAndWait("/e/x");
    const PeerPtr reader = connectTo(io, gateway->readinessEndpoint());
    reader->send("GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return reader->has("beechpoint_gateway_host_surplus_total 0"); }));
    const std::string_view name = "beechpoint_gateway_close_delimited_answers_total";
    EXPECT_TRUE(reader->has(fmt::format("{}{{answer=\"begun_stream\"}} 1\n", name)));
    EXPECT_TRUE(reader->has(fmt::format("{}{{answer=\"other\"}} 0\n", name)));
}

}  // namespace
}  // namespace beechpoint::gateway
