// The inner part of Server: nng's reply socket with a pool of contexts, each of which takes a request, waits for its
// answer and sends it. A context's operation ends on a thread of nng's; requests go from there to the loop's thread by
// asio::post, while a context whose answer is sent receives again at once, without waking the loop.
//
//   state of a slot | event                  | next
//   receiving       | request came           | handling (its Reply is with the handler), or sending a refusal at the limit
//   receiving       | receive failed         | receiving, or closed when the socket is
//   handling        | Reply::send            | sending
//   handling        | Reply dropped          | receiving
//   sending         | sent, failed, late     | receiving (late or failed: the connection is closed)
#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rpc/nng_message.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

class ServerState : public std::enable_shared_from_this<ServerState> {
public:
    ServerState(asio::io_context& io, Logger& log) : io_(io), log_(log) {}
    ~ServerState();
    ServerState(const ServerState&) = delete;
    ServerState& operator=(const ServerState&) = delete;

    void onRequest(Server::Handler handler) { handler_ = std::move(handler); }
    Result<void> listen(const std::string& address);
    // Ends all operations and waits for nng's threads to let go of this object.
    void close();

    std::uint16_t port() const { return port_; }
    std::size_t handled() const { return handled_; }

    void send(std::size_t slot, std::string bytes);
    void drop(std::size_t slot);

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    enum class Phase { receiving, handling, sending };
    struct Slot {
        ServerState* owner = nullptr;
        std::size_t number = 0;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio* operation = nullptr;
        Phase phase = Phase::receiving;  // belongs to whoever the slot is with: nng's threads or the loop's
        std::uint32_t connection = 0;    // that the request came by
    };

    // On nng's threads.
    static void completed(void* slot);
    static void connectionEvent(nng_pipe connection, nng_pipe_ev event, void* self);
    void receiveCompleted(Slot& slot);
    void sendCompleted(Slot& slot);

    // On either.
    void receive(Slot& slot);
    void transmit(Slot& slot, Message message);
    template <class Action>
    void postToLoop(Action action);

    // On the loop's thread.
    void requestCame(std::size_t slot, Message message);
    void keepReceiving();
    bool addSlot();
    void connectionOpened(std::uint32_t connection);
    void connectionClosed(std::uint32_t connection);
    void closeConnection(std::uint32_t connection);

    asio::io_context& io_;
    Logger& log_;
    std::weak_ptr<ServerState> self_;
    Server::Handler handler_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> closed_ = false;
    std::uint16_t port_ = 0;
    std::atomic<std::size_t> receiving_ = 0;
    std::size_t handled_ = 0;
    std::vector<std::unique_ptr<Slot>> slots_;
    std::map<std::uint32_t, TimePoint> connections_;  // with the time of the last request
};

}  // namespace beechpoint::rpc
