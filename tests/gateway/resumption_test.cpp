// What may go on at another host once a host has broken off: a stream of events of which each has an id, and nothing else.
#include "host_stream_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n\r\n";

class ResumptionTest : public HostStreamTest {
protected:
    static std::string wholeStream() {
        return std::string(kHead) + kChunkedHead + chunk(kWholeStream) + "0\r\n\r\n";
    }
    // The client gets this much of the first answer, and a visible cut: no other host is asked.
    void expectNotContinued(const std::string& first, const std::string& body) {
        addHost("i-2", second);
        answerFirstWith(first, wholeStream());
        start();
        const PeerPtr client = askAndWait("/r/x");
        EXPECT_FALSE(isComplete(*client));
        EXPECT_EQ(bodyOf(*client), body);
        EXPECT_EQ(requestBytes.size(), 1u);
    }
};

TEST_F(ResumptionTest, AnswerThatIsNoEventStreamIsNotContinuedByOne) {
    expectNotContinued(std::string(kHead) + "Content-Type: text/plain\r\n" + kChunked + chunk("half of"),
                       "half of");
}

TEST_F(ResumptionTest, FailureIsNotContinuedByAStream) {
    expectNotContinued("HTTP/1.1 404 Not Found\r\nX-Attempt-Id: a1\r\nX-Server-Seal: seal\r\n" +
                           std::string(kChunked) + chunk("no such"),
                       "no such");
}

TEST_F(ResumptionTest, EventsWithoutIdsAreNotSentTwice) {
    expectNotContinued(std::string(kHead) + kChunkedHead + chunk("data: a\n\n"), "data: a\n\n");
}

TEST_F(ResumptionTest, EventsWithEmptyIdsAreNotSentTwice) {
    expectNotContinued(std::string(kHead) + kChunkedHead + chunk("id:\ndata: a\n\n"), "id:\ndata: a\n\n");
}

TEST_F(ResumptionTest, StreamThatBeganWithACommentIsContinued) {
    addHost("i-2", second);
    answerFirstWith(std::string(kHead) + kChunkedHead + chunk(": soon\n\n"), wholeStream());
    start();
    const PeerPtr client = askAndWait("/r/x");
    EXPECT_TRUE(isComplete(*client));
    EXPECT_EQ(bodyOf(*client), std::string(": soon\n\n") + kWholeStream);
}

}  // namespace
}  // namespace beechpoint::gateway
