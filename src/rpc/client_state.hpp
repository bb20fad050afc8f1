/// The inner part of Client; runs on the loop's thread.
///
///   state of a peer | event                     | next
///   idle            | a call                    | dialling
///   dialling        | connected                 | connected; the calls that waited are sent
///   dialling        | the dial fails            | waiting, or after kDialAttempts idle and the calls fail
///   waiting         | kRedialAfter has passed   | dialling
///   connected       | the connection ends       | idle; the calls that were sent on it fail
///   any             | a call of this generation | idle, or dialling when calls wait that were not sent; those that were
///                   | times out                 | sent fail
///
/// Invariants: an answer is accepted for a call only from the peer that was asked and on the connection that the call was sent
/// on: the call ends with its connection, and a closed connection reports no more frames. A call's number is not used again on the
/// same connection: when all have been used, all connections are closed.
///
/// The generation rises whenever a peer goes back to idle: a call that began before the present connection or dial does
/// not end it when it times out, so that several calls that time out together close one connection once.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rpc/client.hpp"
#include "rpc/connection.hpp"
#include "rpc/dial.hpp"
#include "rpc/frame.hpp"

namespace beechpoint::rpc {

class ClientState : public std::enable_shared_from_this<ClientState> {
public:
    using CallNumber = std::uint32_t;

    /// `lastNumber` is the number before that of the first call.
    ClientState(asio::io_context& io, Logger& log, CallNumber lastNumber = 0)
        : io_(io), log_(log), lastNumber_(lastNumber), timer_(io) {}
    ClientState(const ClientState&) = delete;
    ClientState& operator=(const ClientState&) = delete;

    /// As Client::call().
    void call(const std::string& address, std::string bytes, Millis timeout, Client::Callback callback);
    /// Ends all calls without their callbacks.
    void close();

    std::size_t peers() const { return peers_.size(); }
    std::size_t outstanding() const { return calls_.size(); }

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Peer {
        Peer(asio::io_context& io, std::string at, std::string nngUrl)
            : address(std::move(at)), url(std::move(nngUrl)), redial(io) {}
        std::string address;
        std::string url;
        std::shared_ptr<Dial> dial;              // while dialling
        std::shared_ptr<Connection> connection;  // while connected
        asio::steady_timer redial;
        bool waiting = false;  // for `redial`
        int failedDials = 0;   // in a row
        std::uint64_t generation = 0;
        std::uint64_t lastUse = 0;
    };
    struct Call {
        Peer* peer = nullptr;
        TimePoint deadline;
        std::uint64_t generation = 0;  // of the peer when the call began
        std::string unsent;            // the request until it is sent
        bool sent = false;
        Client::Callback callback;
    };
    // A call that ended. Callbacks are called when the state is consistent again: they may call again or destroy the client.
    struct Ended {
        Client::Callback callback;
        Result<std::string> result;
    };
    using Endings = std::vector<Ended>;
    // In order of time, then of number.
    struct Deadline {
        TimePoint time;
        CallNumber number = 0;
        auto operator<=>(const Deadline&) const = default;
    };

    template <class Method>
    auto guarded(Method method);
    void failLater(Error error, Client::Callback callback);
    void report(Endings endings);
    void reportLater(Endings endings);

    Result<Peer*> peerOf(const std::string& address);
    void dropLeastRecentlyUsed();
    void startDial(Peer& peer);
    void onDialEnded(const std::string& address, Stream stream, const std::string& reason);
    void onDialFailed(Peer& peer, const std::string& reason);
    void onConnected(Peer& peer, Stream stream);
    void onConnectionEnded(const std::string& address, const std::string& reason);
    void sendWaitingCalls(const Peer& peer);
    void onFrames(const std::string& peer, std::vector<Frame> frames);
    void disconnect(Peer& peer);

    Result<Peer*> admit(const std::string& address, std::size_t size);
    CallNumber addCall(Peer& peer, std::string bytes, Millis timeout, Client::Callback callback);
    CallNumber nextNumber();
    void closeConnections(const std::string& reason);
    void send(CallNumber number, Endings& endings);
    void end(CallNumber number, Result<std::string> result, Endings& endings);
    enum class Which { sent, all };
    void failCalls(Peer& peer, Which which, const std::string& reason, Endings& endings);
    bool hasCalls(const Peer& peer) const;

    void armTimer();
    void onTimer();
    void timeOut(CallNumber number, Endings& endings);

    asio::io_context& io_;
    Logger& log_;
    std::map<std::string, std::unique_ptr<Peer>> peers_;
    std::uint64_t uses_ = 0;
    std::map<CallNumber, Call> calls_;
    CallNumber lastNumber_;
    std::set<Deadline> deadlines_;
    asio::steady_timer timer_;
    std::optional<TimePoint> armedFor_;
    bool closed_ = false;
};

}  // namespace beechpoint::rpc
