// The listener and its client connections. Each connection has one request at a time in hand; it knows
// nothing of what a request means.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "core/logger.hpp"
#include "net/buffer.hpp"
#include "net/http.hpp"

namespace beechpoint::net {

class HttpServer;

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(HttpServer& server, asio::ip::tcp::socket socket);
    void start() { read(); }
    // When the last byte read so far came: the request in hand came no later.
    Millis receivedAt() const { return receivedAt_; }
    // The answer to the request in hand.
    // `handedOver` is called once its last byte is; dropped uncalled where the client has gone.
    void respond(int status, std::string_view type, std::string_view body, std::string_view extra = {},
                 std::function<void()> handedOver = {});
    // Called once if the client leaves before the answer is given.
    void whenGone(std::function<void()> gone) {
        if (waiting()) gone_ = std::move(gone);
    }
    // Whether the client's end has come, perhaps behind bytes that were not read. A look at the socket, for who waits.
    bool left();
    bool idle() const { return state_ == State::reading && buffer_.size() == 0; }
    bool waiting() const { return state_ == State::handling; }
    void close();

private:
    friend class HttpServer;
    enum class State { reading, handling, writing, lingering, closed };
    void read();
    void onReadable();
    void onEnd();
    void parse();
    void write();
    void linger();
    bool late(Millis now) const;
    bool unread() const;  // more has come than was read

    HttpServer& server_;
    asio::ip::tcp::socket socket_;
    Buffer buffer_;
    HttpReader reader_;
    State state_ = State::reading;
    bool readOut_ = false;  // a read is under way
    bool keepAlive_ = true;
    bool farAhead_ = false;  // it sent more ahead than is kept: its connection ends with the answer
    bool broken_ = false;  // it may still be sending what was not taken
    std::string out_;
    std::function<void()> gone_, handedOver_;
    bool asked_ = false;       // at least one whole message has come
    Millis since_ = 0;         // of the state it is in; until a whole message has come, of its connecting
    Millis partialSince_ = 0;  // of the first byte of a message that is not whole; 0: none
    Millis receivedAt_ = 0;
    std::list<std::shared_ptr<HttpConnection>>::iterator place_;
};

class HttpServer {
public:
    // Handles a request: answers now or later by respond(). The message's slices hold during the call only.
    using Handler = std::function<void(const HttpMessage&, const std::shared_ptr<HttpConnection>&)>;

    HttpServer(asio::io_context& io, const Clock& clock, Logger& log, std::size_t maxConnections,
               Handler handler);
    ~HttpServer();
    // Throws where it can't. With `shared`, another process of this user may listen there too, and newcomers are
    // dealt out among both.
    void listen(const asio::ip::tcp::endpoint& at, bool shared = false);
    asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    // While closing, every answer ends its connection.
    void closing(bool closing) { closing_ = closing; }
    // Takes what has connected so far and accepts nothing more.
    void stopAccepting();
    // Closes those that have been between requests for longer, or have asked nothing for so long.
    void closeIdle(Millis longerThan);
    void closeAll();
    // The most connections from now on; idle ones beyond that go.
    void limit(std::size_t most);
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

    asio::io_context& io_;
    const Clock& clock_;
    Logger& log_;
    std::size_t max_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_, timerAccept_;
    std::size_t askers_ = 0;  // connections on which a whole message has come
    bool closing_ = false, accepting_ = false;
    std::function<void()> farAhead_;
    std::list<std::shared_ptr<HttpConnection>> connections_;  // longest idle first
};

}  // namespace beechpoint::net
