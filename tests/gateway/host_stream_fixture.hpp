// A gateway between a client of a stream and hosts whose first answer is given byte for byte.
#pragma once

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {

inline constexpr const char* kChunkedHead =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline constexpr const char* kUnframedHead = "Content-Type: text/event-stream\r\n\r\n";
inline constexpr const char* kWholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

inline std::string chunk(const std::string& bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

class HostStreamTest : public GatewayTest {
protected:
    // The first request is answered with these bytes, and the connection is closed; `later` answers all that follow.
    void answerFirstWith(const std::string& first, const std::string& later) {
        host.onRequest = second.onRequest = [this, first, later](Peer& peer) {
            requestBytes.push_back(peer.got);
            peer.got.clear();
            const bool isFirst = requestBytes.size() == 1;
            peer.send(isFirst ? first : later);
            if (isFirst) peer.close();
        };
    }
    // The events that the client got: the body without its chunked coding.
    static std::string bodyOf(const Peer& client) {
        const std::size_t begin = client.got.find("\r\n\r\n");
        if (begin == std::string::npos) return "";
        net::BodyDecoder decoder(net::BodyFraming{net::BodyFraming::Kind::chunked, 0});
        std::string body;
        std::size_t used = 0;
        decoder.feed(std::string_view(client.got).substr(begin + 4), used,
                     [&body](std::string_view bytes) { body += bytes; });
        return body;
    }
    static bool isComplete(const Peer& client) { return client.got.ends_with("0\r\n\r\n"); }

    PeerPtr askAndWait(const std::string& path) {
        PeerPtr client = ask(path);
        EXPECT_TRUE(until(io, [&] { return client->ended || isComplete(*client); }));
        return client;
    }
    // A stream that can't be resumed ends visibly cut after these events.
    void expectCutAfter(const std::string& answer, const std::string& events) {
        answerFirstWith(answer, "");
        start();
        const PeerPtr client = askAndWait("/e/x");
        EXPECT_FALSE(isComplete(*client));
        EXPECT_EQ(bodyOf(*client), events);
    }
    // A resumable stream goes on at the other host: the client gets each event once, and nothing else.
    void expectResumedWhole(const std::string& answer, const std::string& later) {
        addHost("i-2", second);
        answerFirstWith(answer, later);
        start();
        const PeerPtr client = askAndWait("/r/x");
        EXPECT_TRUE(isComplete(*client));
        EXPECT_EQ(bodyOf(*client), kWholeStream);
    }
    static std::string fromSecondEvent() {
        return std::string(kHead) + kChunkedHead + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") +
               "0\r\n\r\n";
    }

    ScriptedHost second{io};
    std::vector<std::string> requestBytes;
};

}  // namespace beechpoint::gateway
