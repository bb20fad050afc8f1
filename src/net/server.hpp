// The listener and its client connections. Each connection has one request at a time in hand; it knows
// nothing of what a request means.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/logger.hpp"
#include "net/buffer.hpp"
#include "net/connection_budget.hpp"
#include "net/http.hpp"

namespace beechpoint::net {

class HttpServer;

// What a server's clients may send, and how long they may take. The defaults are those of the gatherer.
struct HttpLimits {
    std::size_t head = kMaxHead;  // bytes; more is answered 431
    std::size_t body = kMaxBody;  // bytes without the transfer coding; more is answered 413
    Millis silent = 2000;  // from connecting to the first whole message; with `bodyPause`, to its first byte
    Millis partialHead = 2000;  // from the first byte of a message to the end of its head; then 408
    // Between bytes of a body; then 408. 0: the whole message has `partialHead`.
    Millis bodyPause = 0;
    Millis idle = 10'000;      // between requests
    Millis writePause = 5000;  // for a client that does not read its answer
    std::size_t streamQueue =
        1024 * 1024;            // bytes of a streamed answer that wait for a slow client; more aborts it
    bool announceIdle = false;  // Keep-Alive: timeout=N on answers that keep the connection
    // The strict reading of net/framing.hpp for new connections: nothing ambiguous is taken, 100-continue is answered,
    // HEAD is answered without a body, and a request that came behind the one in hand is served before
    // its connection is closed.
    bool strict = false;
    int overloadStatus = 503;  // of what the process has no memory for; it has not run
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection>, private ConnectionBudget::Owner {
public:
    HttpConnection(HttpServer& server, asio::ip::tcp::socket socket);
    void start() { read(); }
    // When the last byte read so far came: the request in hand came no later.
    Millis receivedAt() const { return receivedAt_; }
    // When the first byte of the request in hand was read.
    Millis begunAt() const { return begunAt_; }
    // The answer to the request in hand.
    // `handedOver` is called once its last byte is; dropped uncalled where the client has gone.
    void respond(int status, std::string_view type, std::string_view body, std::string_view extra = {},
                 std::function<void()> handedOver = {});
    // A streamed answer to the request in hand: its head now, its body as it comes. `headers` holds whole lines, each
    // ended by CRLF, none of them about framing or the connection. Without a length the body goes in chunks (to an HTTP/1.0
    // client to the end of the connection). False: the client has gone, or an answer has begun.
    bool beginStream(int status, std::string_view headers, std::optional<std::uint64_t> contentLength);
    // Sends body bytes at once; what a slow client does not take waits here. Returns the bytes that wait, those of
    // earlier calls included. More than HttpLimits::streamQueue of them, or more than the length announced, aborts the
    // answer (whenGone is called, from the loop). Ignored while no streamed answer is open.
    std::size_t writeSome(std::string_view bytes);
    // The body is whole. Short of the length announced, the answer is aborted instead. `handedOver` as for respond().
    void endStream(std::function<void()> handedOver = {});
    // Ends the answer so that the client sees it is not whole: what waits is still sent, then the connection is closed
    // without a last chunk, or reset where the close would look like the end.
    void abortStream();
    bool streaming() const { return state_ == State::streaming; }
    // Bytes of the streamed answer that wait for the client.
    std::size_t queued() const { return out_.size() - outSent_; }
    // Called once, when nothing waits for the client any more (not within this call).
    void whenDrained(std::function<void()> drained);
    // Called once if the client leaves, or its connection is aborted from within, before the answer is whole.
    void whenGone(std::function<void()> gone) {
        if (waiting() || streaming()) gone_ = std::move(gone);
    }
    // Closes at once, visibly: a client that waits for an answer sees a reset.
    void reset();
    // Whether the client's end has come, perhaps behind bytes that were not read. A look at the socket, for who waits.
    bool left();
    bool idle() const { return state_ == State::reading && buffer_.size() == 0; }
    bool waiting() const { return state_ == State::handling; }
    void close();

private:
    friend class HttpServer;
    enum class State { reading, handling, streaming, writing, lingering, closed };
    enum class StreamEnd { open, whole, broken };
    void read();
    void onReadable();
    void onEnd();
    void parse();
    void write();
    void afterAnswer();
    void linger();
    void takeMessage(const HttpMessage& message);
    void sayContinue();
    bool readSome(asio::error_code& error);
    void discardSome(asio::error_code& error);
    bool reserve(std::size_t more);
    void recordMemory();
    void freeMemory() override;
    void refuseOverloaded();
    void dropAhead();
    bool reserveAnswer(std::size_t size);
    void releaseRequest();
    void decideKeepAlive();
    std::string connectionLines() const;
    std::string streamHead(int status, std::string_view headers,
                           std::optional<std::uint64_t> contentLength) const;
    void sendStream();
    void writeStream();
    void waitWritable();
    void finishStream();
    void failStream();
    bool endsWithConnection() const { return !chunked_ && !lengthLeft_ && !bodyless_; }
    std::size_t mostAhead() const;
    std::size_t readRoom() const;
    bool lateToRead(Millis now) const;
    bool late(Millis now) const;
    bool unread() const;  // more has come than was read

    HttpServer& server_;
    asio::ip::tcp::socket socket_;
    Buffer buffer_;
    HttpReader reader_;
    State state_ = State::reading;
    bool readOut_ = false;  // a read is under way
    bool keepAlive_ = true;
    bool farAhead_ = false;   // it sent more ahead than is kept: its connection ends with the answer
    bool broken_ = false;     // it may still be sending what was not taken
    bool noBody_ = false;     // the request in hand is a HEAD
    bool oldClient_ = false;  // HTTP/1.0: no chunks
    bool continueSaid_ = false;
    std::string out_;
    // Of a streamed answer.
    std::size_t outSent_ = 0;  // bytes of out_ that the system has
    bool writeOut_ = false;    // the head is due in this turn of the loop
    bool waitsWritable_ = false;
    bool chunked_ = false, bodyless_ = false;
    bool strict_;
    std::optional<std::uint64_t> lengthLeft_;
    StreamEnd streamEnd_ = StreamEnd::open;
    std::function<void()> gone_, handedOver_, drained_;
    bool asked_ = false;       // at least one whole message has come
    Millis since_ = 0;         // of the state it is in; until a whole message has come, of its connecting
    Millis partialSince_ = 0;  // of the first byte of a message that is not whole; 0: none
    Millis receivedAt_ = 0, begunAt_ = 0;
    Millis queuedSince_ = 0;  // since when bytes of a streamed answer have waited for the client; 0: none do
    ConnectionBudget::AccountId account_;
    std::size_t pinned_ = 0;  // bytes of the request in hand, as counted by the budget
    bool inHandler_ = false;  // the request's slices are in use
    std::list<std::shared_ptr<HttpConnection>>::iterator place_;
};

class HttpServer {
public:
    // Connections that wait to be accepted, at most, where their memory is bounded.
    static constexpr int kMaxBacklog = 256;

    // Handles a request: answers now or later by respond(). The message's slices hold during the call only.
    using Handler = std::function<void(const HttpMessage&, const std::shared_ptr<HttpConnection>&)>;

    HttpServer(asio::io_context& io, const Clock& clock, Logger& log, std::size_t maxConnections,
               Handler handler);
    ~HttpServer();
    // Throws where it can't. With `shared`, another process of this user may listen there too, and newcomers are
    // dealt out among both.
    void listen(const asio::ip::tcp::endpoint& at, bool shared = false);
    asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    // From now on, for open connections too (`strict` only for new ones).
    void limits(const HttpLimits& limits) { limits_ = limits; }
    const HttpLimits& limits() const { return limits_; }
    // While closing, every answer ends its connection.
    void closing(bool closing) { closing_ = closing; }
    // Takes what has connected so far and accepts nothing more.
    void stopAccepting();
    // Closes those that have been between requests for longer, or have asked nothing for so long.
    void closeIdle(Millis longerThan);
    void closeAll();
    // The most connections from now on; idle ones beyond that go.
    void limit(std::size_t most);
    // Whose memory the connections take, and the size of their sockets' receive buffers (0: the system's default). Before listen().
    // Without it, their memory is not bounded.
    void memory(ConnectionBudget& budget, int receiveBuffer) {
        budget_ = &budget;
        receiveBuffer_ = receiveBuffer;
    }
    std::size_t connections() const { return connections_.size(); }
    // Called for each client that sent more ahead than is kept.
    void onFarAhead(std::function<void()> then) { farAhead_ = std::move(then); }

private:
    friend class HttpConnection;
    void accept();
    void acceptSome();
    void acceptLater();
    // Those who ask hold over half of the places: who has its answer goes in order, before others have to be closed
    // for newcomers. Those who say nothing don't count: they must not cost the others their connections.
    bool crowded() const { return 2 * askers_ > max_; }
    void adopt(asio::ip::tcp::socket socket);
    bool makeRoom();
    void sweep();
    // Of the loop's calls that were due already when the server ended: cancelling does not take those back.
    std::weak_ptr<void> aliveToken() const { return alive_; }

    asio::io_context& io_;
    const Clock& clock_;
    Logger& log_;
    std::size_t max_;
    Handler handler_;
    HttpLimits limits_;
    ConnectionBudget unbounded_;
    ConnectionBudget* budget_ = &unbounded_;
    int receiveBuffer_ = 0;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_, timerAccept_;
    std::size_t askers_ = 0;  // connections on which a whole message has come
    bool closing_ = false, accepting_ = false;
    std::function<void()> farAhead_;
    std::list<std::shared_ptr<HttpConnection>> connections_;  // longest idle first
    std::shared_ptr<void> alive_ = std::make_shared<char>();
};

}  // namespace beechpoint::net
