// Hosts on loopback that spoil a stream after it has begun: what is no event of the run must not reach the client.
#include "host_stream_fixture.hpp"

namespace beechpoint::gateway {
namespace {

// A TLS record's first bytes with a blank line behind them, as hosts in trouble sent it.
const std::string kGarbage("\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n", 12);

class SpoiledStreamTest : public HostStreamTest {};

TEST_F(SpoiledStreamTest, GarbageInsideChunkIsNoEvent) {
    expectCutAfter(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + "40\r\n" + kGarbage,
                   "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, GarbageInsideChunkOfResumableStreamIsNoEvent) {
    expectResumedWhole(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + "40\r\n" + kGarbage,
                       fromSecondEvent());
}

TEST_F(SpoiledStreamTest, GarbageInWholeChunkIsNoEvent) {
    expectCutAfter(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + chunk(kGarbage) +
                       chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
                   "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, GarbageInUnframedStreamIsNoEvent) {
    expectCutAfter(std::string(kHead) + kUnframedHead + "id: 1\ndata: a\n\n" + kGarbage,
                   "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, GarbageBeforeFirstEventOfResumableStreamIsNoEvent) {
    expectResumedWhole(std::string(kHead) + kChunkedHead + "40\r\n" + kGarbage,
                       std::string(kHead) + kChunkedHead + chunk(kWholeStream) + "0\r\n\r\n");
}

TEST_F(SpoiledStreamTest, GarbageInsideEventIsNotPassedOn) {
    expectResumedWhole(
        std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + "40\r\nid: 2\nda" + kGarbage,
        fromSecondEvent());
}

TEST_F(SpoiledStreamTest, GarbageInsideDataOfEventIsNotPassedOn) {
    expectResumedWhole(
        std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + "40\r\nid: 2\ndata: b" + kGarbage,
        fromSecondEvent());
}

TEST_F(SpoiledStreamTest, SecondAnswerInsideUnframedStreamIsNoEvent) {
    expectCutAfter(std::string(kHead) + kUnframedHead + "id: 1\ndata: a\n\n" + kHead + kUnframedHead +
                       "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                   "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, EventWithoutIdAmongEventsWithIdsIsNotPassedOn) {
    expectCutAfter(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") + chunk("data: b\n\n") +
                       chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n",
                   "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, IdThatGoesBackWithinOneAnswerCutsTheStream) {
    expectCutAfter(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") +
                       chunk("id: 2\ndata: b\n\n") + chunk("id: 1\ndata: a\n\n") +
                       chunk("id: 3\ndata: other\n\n") + "0\r\n\r\n",
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(SpoiledStreamTest, CommentsAndFieldsOfOthersArePassedOn) {
    const std::string events =
        ": keep-alive\n\nversions: 4\r\nid: 1\r\ndata: \xC3\xA9\ta\r\n\r\nevent: x\nid: 2\ndata\ndata: b\n\n";
    answerFirstWith(std::string(kHead) + kChunkedHead + chunk(events) + "0\r\n\r\n", "");
    start();
    const PeerPtr client = askAndWait("/e/x");
    EXPECT_TRUE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), events);
}

TEST_F(SpoiledStreamTest, AnswerThatIsNoEventStreamDoesNotContinueStream) {
    addHost("i-2", second);
    answerFirstWith(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n"),
                    std::string(kHead) + "Content-Type: text/plain\r\nContent-Length: 9\r\n\r\nno stream");
    start();
    const PeerPtr client = askAndWait("/r/x");
    EXPECT_FALSE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), "id: 1\ndata: a\n\n");
}

TEST_F(SpoiledStreamTest, BodyOfOtherRouteIsNotReadAsEvents) {
    const std::string body = "id: 2\ndata: b\n\nid: 1\ndata: a\n\nno event";
    answerFirstWith(std::string(kHead) + fmt::format("Content-Type: text/event-stream\r\nContent-Length: {}"
                                                     "\r\n\r\n{}",
                                                     body.size(), body),
                    "");
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("no event") || client->ended; }));
    EXPECT_TRUE(client->got.ends_with(body)) << client->got;
}

TEST_F(SpoiledStreamTest, IdWithControlCharactersDoesNotReachAnotherHost) {
    expectResumedWhole(std::string(kHead) + kChunkedHead + chunk("id: 1\ndata: a\n\n") +
                           chunk("id: 2\rX-Other: 1\ndata: b\n\n"),
                       fromSecondEvent());
    ASSERT_EQ(requestBytes.size(), 2u);
    EXPECT_NE(requestBytes[1].find("Last-Event-Id: 1\r\n"), std::string::npos);
    EXPECT_EQ(requestBytes[1].find("X-Other"), std::string::npos);
}

TEST_F(SpoiledStreamTest, BodyOfAnswerThatIsNotRelayedIsKeptUpToItsBound) {
    HostAttempt attempt;
    const std::string part(HostAttempt::kMaxPendingBody / 2 + 1, 'x');
    attempt.keep(part);
    EXPECT_FALSE(attempt.overflowed);
    attempt.keep(part);
    attempt.keep("x");
    EXPECT_TRUE(attempt.overflowed);
    EXPECT_EQ(attempt.pendingBody.size(), part.size());
}

}  // namespace
}  // namespace beechpoint::gateway
