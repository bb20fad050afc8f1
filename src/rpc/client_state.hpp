// The inner part of Client. Each peer has a request socket of nng's with one dialer, and each call a context on it.
//
//   state of a call | event                    | next
//   sending         | connection took it       | receiving (on nng's thread, without the loop)
//   sending         | late, closed             | done: timedOut or unavailable
//   receiving       | answer                   | done: its bytes, or unavailable when the peer refused it
//   receiving       | late, connection lost    | done: timedOut or unavailable
//   done            | callback on the loop     | its context waits for the peer's next call, or is closed after a failure
//
// A dialer has a generation. A call that fails closes the dialer, and with it the connection, only if no younger dialer
// has taken its place since the call began; so a burst of failures closes once. A dialer without calls whose connection
// is lost is closed as well: nothing dials in the background.
#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rpc/client.hpp"
#include "rpc/nng_message.hpp"

namespace beechpoint::rpc {

class ClientState : public std::enable_shared_from_this<ClientState> {
public:
    ClientState(asio::io_context& io, Logger& log) : io_(io), log_(log) {}
    ~ClientState();
    ClientState(const ClientState&) = delete;
    ClientState& operator=(const ClientState&) = delete;

    // Once, before the first call.
    void start() { self_ = weak_from_this(); }
    void call(const std::string& address, std::string bytes, Millis timeout, Client::Callback callback);
    // Ends all calls without their callbacks, and waits for nng's threads to let go of this object.
    void close();

    std::size_t peers() const { return peers_.size(); }
    std::size_t outstanding() const { return outstanding_; }

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    enum class Phase { sending, receiving };

    // A context with its operation; used by one call after another.
    struct Call {
        ClientState* owner = nullptr;
        std::string address;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio* operation = nullptr;
        Phase phase = Phase::sending;
        TimePoint deadline;
        std::uint64_t generation = 0;  // of the dialer when the call began
        Client::Callback callback;
    };
    struct Peer {
        ClientState* owner = nullptr;
        std::string address;
        std::string url;
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        nng_dialer dialer = NNG_DIALER_INITIALIZER;
        bool dialing = false;  // there is a dialer, connected or trying
        std::uint64_t generation = 0;
        std::uint64_t lastUse = 0;
        std::map<Call*, std::unique_ptr<Call>> calls;  // outstanding
        std::vector<std::unique_ptr<Call>> idle;
    };

    // On nng's threads.
    static void completed(void* call);
    static void connectionLost(nng_pipe connection, nng_pipe_ev event, void* peer);
    static void receiveAnswer(Call& call);
    template <class Action>
    void postToLoop(Action action);

    // On the loop's thread.
    Result<Peer*> peerOf(const std::string& address);
    Result<void> openPeer(Peer& peer);
    void dropLeastRecentlyUsed();
    void closePeer(Peer& peer);
    int dial(Peer& peer);
    void hangUp(Peer& peer);
    std::unique_ptr<Call> newCall(Peer& peer);
    void begin(Peer& peer, std::unique_ptr<Call> call, Message message);
    void ended(const std::string& address, Call* call);
    void finish(Peer& peer, std::unique_ptr<Call> call);
    void retire(std::unique_ptr<Call> call);
    void failLater(Error error, Client::Callback callback);
    void lost(const std::string& address, std::uint32_t dialer);

    asio::io_context& io_;
    Logger& log_;
    std::weak_ptr<ClientState> self_;
    std::map<std::string, std::unique_ptr<Peer>> peers_;
    std::uint64_t uses_ = 0;
    std::size_t outstanding_ = 0;
    bool closed_ = false;  // touched on the loop's thread only
};

}  // namespace beechpoint::rpc
