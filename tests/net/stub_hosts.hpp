/// Stand-ins for the hosts that the gatherer sends parts to, and for discovery. The test decides what each
/// answers.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "backend/frame.hpp"
#include "loopback_fixture.hpp"
#include "net/http.hpp"

namespace beechpoint::test {

/// A host that speaks frames. Answers each part with "v" and its shard unless `onPart` is set.
class StubFrameHost : public LoopbackListener {
public:
    /// One attempt of one part, as it came.
    struct Part {
        LoopbackConnection& connection;
        std::string id;
        int shard;
        std::string text;
        /// Sends a result: its outcome as on the wire ("done", "failed", "full"), its value and the report of
        /// the host's load.
        void answer(const std::string& outcome, const std::string& value,
                    const std::string& report = "-") const;
    };
    using LoopbackListener::LoopbackListener;
    std::function<void(const Part&)> onPart = [](const Part& part) {
        part.answer("done", "v" + std::to_string(part.shard));
    };
    std::vector<std::string> frames;  ///< letter and rest of each frame received

protected:
    void onData(LoopbackConnection& connection) override;

private:
    void readParts(LoopbackConnection& connection, std::string batch);
};

/// A host that speaks frames and keeps each part without an answer.
struct UnansweringHost : StubFrameHost {
    UnansweringHost();
    std::vector<Part> pendingParts;
};

/// A server that is asked over HTTP: a host of the query API, or discovery. Does not answer unless `onRequest` is set.
class StubHttpHost : public LoopbackListener {
public:
    struct HttpRequest {
        LoopbackConnection& connection;
        std::string target, body;
        void answer(int status, const std::string& text) const;
    };
    using LoopbackListener::LoopbackListener;
    std::function<void(const HttpRequest&)> onRequest = [](const HttpRequest&) {};
    std::vector<std::string> targets;  ///< of all requests received

protected:
    void onData(LoopbackConnection& connection) override;
};

/// A host that accepts and reads only when the test says so.
struct RawSocketHost {
    /// `receiveBuffer` in bytes; 0 leaves the system's size.
    explicit RawSocketHost(int backlog, int receiveBuffer = 0);
    ~RawSocketHost();
    std::string address() const;
    /// Accepts the next connection, or all that come; reads them at once if `reads`.
    void accept(bool reads, bool again = true);
    /// Fills the backlog, so that the next handshake does not complete.
    void fillBacklog();
    /// Reads the first connection dry without a turn of the event loop; the bytes' number.
    std::size_t readAllNow();
    /// Reads a connection until it ends, into `received`.
    void read(std::size_t index);
    tcp::acceptor acceptor;
    std::vector<LoopbackConnectionPtr> connections;
    std::vector<tcp::socket> backlogSockets;
    std::string received;
};

/// The frames of one kind, one behind the other.
std::string joinedFrames(const std::vector<std::string>& frames, char letter = 'S');

}  // namespace beechpoint::test
