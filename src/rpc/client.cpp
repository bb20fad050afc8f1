#include "rpc/client.hpp"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>  // needs nng.h before it

#include <algorithm>
#include <asio/post.hpp>
#include <cmath>
#include <utility>

#include "rpc/client_state.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kIdleCalls = 8;         // contexts kept for a peer's next calls
constexpr nng_duration kRedialAfterMs = 100;  // while calls wait for a peer that refuses connections
constexpr nng_duration kRedialAtMostMs = 400;

nng_duration millisUntil(std::chrono::steady_clock::time_point deadline) {
    const std::chrono::duration<double, std::milli> left = deadline - std::chrono::steady_clock::now();
    // nng takes 0 for "at once, without waiting"; the longest wait is cut to what its type holds.
    return static_cast<nng_duration>(std::clamp(std::ceil(left.count()), 1.0, 1e9));
}

Error unavailable(const std::string& address, std::string message) {
    return {ErrorKind::unavailable, address, std::move(message), "call again later, or another peer"};
}

Error failureOf(const std::string& address, int error) {
    if (error == NNG_ETIMEDOUT)
        return {ErrorKind::timedOut, address, "no answer in time", "call again, or another peer"};
    return unavailable(address, nng_strerror(error));
}

Result<std::string> resultOf(const std::string& address, const Message& answer) {
    const std::string_view bytes = body(answer);
    if (bytes.empty()) return unavailable(address, "the answer is empty");
    if (static_cast<AnswerKind>(bytes.front()) != AnswerKind::answered)
        return unavailable(address, "the peer is at its limit of requests");
    return std::string(bytes.substr(1));
}

}  // namespace

// --- ClientState

ClientState::~ClientState() { close(); }

void ClientState::close() {
    if (std::exchange(closed_, true)) return;
    for (auto& [address, peer] : peers_) closePeer(*peer);
    peers_.clear();
}

template <class Action>
void ClientState::postToLoop(Action action) {
    asio::post(io_, [self = self_, action = std::move(action)]() mutable {
        const std::shared_ptr<ClientState> state = self.lock();
        if (state && !state->closed_) action(*state);
    });
}

void ClientState::call(const std::string& address, std::string bytes, Millis timeout,
                       Client::Callback callback) {
    if (bytes.size() > kMaxMessageBytes)
        return failLater(
            {ErrorKind::invalid, address, "the request is above the limit of a message", "send less"},
            std::move(callback));
    if (outstanding_ >= kMaxOutstandingCalls)
        return failLater(unavailable(address, "too many calls are outstanding"), std::move(callback));
    Result<Peer*> peer = peerOf(address);
    if (!peer) return failLater(std::move(peer).error(), std::move(callback));
    Message message = requestMessage(bytes);
    std::unique_ptr<Call> call = message ? newCall(*peer.value()) : nullptr;
    if (!call) return failLater(unavailable(address, "no memory for a call"), std::move(callback));
    call->callback = std::move(callback);
    const std::chrono::duration<double, std::milli> within(std::clamp(timeout, 1.0, 1e9));
    call->deadline = std::chrono::steady_clock::now() +
                     std::chrono::duration_cast<std::chrono::steady_clock::duration>(within);
    begin(*peer.value(), std::move(call), std::move(message));
}

void ClientState::failLater(Error error, Client::Callback callback) {
    postToLoop([error = std::move(error), callback = std::move(callback)](ClientState&) { callback(error); });
}

Result<ClientState::Peer*> ClientState::peerOf(const std::string& address) {
    const auto found = peers_.find(address);
    if (found != peers_.end()) {
        found->second->lastUse = ++uses_;
        return found->second.get();
    }
    Result<std::string> url = urlOf(address);
    if (!url) return std::move(url).error();
    if (peers_.size() >= kMaxPeers) dropLeastRecentlyUsed();
    auto peer = std::make_unique<Peer>();
    peer->owner = this;
    peer->address = address;
    peer->url = std::move(url).value();
    peer->lastUse = ++uses_;
    Result<void> opened = openPeer(*peer);
    if (!opened) return std::move(opened).error();
    return peers_.emplace(address, std::move(peer)).first->second.get();
}

Result<void> ClientState::openPeer(Peer& peer) {
    int error = nng_req0_open(&peer.socket);
    if (error != 0) return unavailable(peer.address, nng_strerror(error));
    error = limitMessages(peer.socket);
    // Never resend: a call that was lost is the caller's to repeat, and a lost connection is told at once.
    if (error == 0) error = nng_socket_set_ms(peer.socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    if (error == 0) error = nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, kRedialAfterMs);
    if (error == 0) error = nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, kRedialAtMostMs);
    if (error == 0) error = nng_pipe_notify(peer.socket, NNG_PIPE_EV_REM_POST, connectionLost, &peer);
    if (error == 0) return boost::outcome_v2::success();
    nng_close(peer.socket);
    return unavailable(peer.address, nng_strerror(error));
}

void ClientState::dropLeastRecentlyUsed() {
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second->lastUse < b.second->lastUse;
    });
    log_.seldom("rpc peers", "rpc: more than {} peers, {} is dropped", field("limit", kMaxPeers),
                field("peer", oldest->first));
    const std::unique_ptr<Peer> peer = std::move(oldest->second);
    peers_.erase(oldest);
    for (auto& [pointer, call] : peer->calls)
        failLater(unavailable(peer->address, "dropped for a peer used more recently"),
                  std::move(call->callback));
    closePeer(*peer);
}

void ClientState::closePeer(Peer& peer) {
    outstanding_ -= peer.calls.size();
    for (auto& [pointer, call] : peer.calls) retire(std::move(call));
    for (std::unique_ptr<Call>& call : peer.idle) retire(std::move(call));
    peer.calls.clear();
    peer.idle.clear();
    nng_close(peer.socket);
}

int ClientState::dial(Peer& peer) {
    if (peer.dialing) return 0;
    const int error = nng_dial(peer.socket, peer.url.c_str(), &peer.dialer, NNG_FLAG_NONBLOCK);
    peer.dialing = error == 0;
    return error;
}

void ClientState::hangUp(Peer& peer) {
    if (!std::exchange(peer.dialing, false)) return;
    nng_dialer_close(peer.dialer);
    ++peer.generation;
}

std::unique_ptr<ClientState::Call> ClientState::newCall(Peer& peer) {
    if (!peer.idle.empty()) {
        std::unique_ptr<Call> call = std::move(peer.idle.back());
        peer.idle.pop_back();
        return call;
    }
    auto call = std::make_unique<Call>();
    call->owner = this;
    call->address = peer.address;
    if (nng_ctx_open(&call->context, peer.socket) != 0) return nullptr;
    if (nng_aio_alloc(&call->operation, completed, call.get()) == 0) return call;
    nng_ctx_close(call->context);
    return nullptr;
}

void ClientState::retire(std::unique_ptr<Call> call) {
    nng_aio_stop(call->operation);
    takeMessage(call->operation);
    nng_ctx_close(call->context);
    nng_aio_free(call->operation);
}

void ClientState::begin(Peer& peer, std::unique_ptr<Call> call, Message message) {
    const int error = dial(peer);
    if (error != 0) {
        failLater(failureOf(peer.address, error), std::move(call->callback));
        return retire(std::move(call));
    }
    Call& started = *call;
    started.phase = Phase::sending;
    started.generation = peer.generation;
    peer.calls.emplace(&started, std::move(call));
    ++outstanding_;
    nng_aio_set_timeout(started.operation, millisUntil(started.deadline));
    nng_aio_set_msg(started.operation, message.release());
    nng_ctx_send(started.context, started.operation);
}

void ClientState::completed(void* argument) {
    Call& call = *static_cast<Call*>(argument);
    if (call.phase == Phase::sending && nng_aio_result(call.operation) == 0) return receiveAnswer(call);
    call.owner->postToLoop(
        [address = call.address, pointer = &call](ClientState& state) { state.ended(address, pointer); });
}

void ClientState::receiveAnswer(Call& call) {
    call.phase = Phase::receiving;
    nng_aio_set_msg(call.operation, nullptr);
    nng_aio_set_timeout(call.operation, millisUntil(call.deadline));
    nng_ctx_recv(call.context, call.operation);
}

void ClientState::ended(const std::string& address, Call* pointer) {
    const auto peer = peers_.find(address);
    if (peer == peers_.end()) return;
    const auto found = peer->second->calls.find(pointer);
    if (found == peer->second->calls.end()) return;
    std::unique_ptr<Call> call = std::move(found->second);
    peer->second->calls.erase(found);
    --outstanding_;
    finish(*peer->second, std::move(call));
}

void ClientState::finish(Peer& peer, std::unique_ptr<Call> call) {
    const Client::Callback callback = std::move(call->callback);
    const int error = nng_aio_result(call->operation);
    const Message message = takeMessage(call->operation);
    if (error == 0) {
        Result<std::string> result = resultOf(peer.address, message);
        if (peer.idle.size() < kIdleCalls)
            peer.idle.push_back(std::move(call));
        else
            retire(std::move(call));
        return callback(std::move(result));
    }
    const Error failure = failureOf(peer.address, error);
    if (call->generation == peer.generation) hangUp(peer);
    retire(std::move(call));
    if (!peer.calls.empty()) dial(peer);
    callback(failure);
}

void ClientState::connectionLost(nng_pipe connection, nng_pipe_ev, void* argument) {
    Peer& peer = *static_cast<Peer*>(argument);
    const nng_dialer dialer = nng_pipe_dialer(connection);
    peer.owner->postToLoop([address = peer.address, number = nng_dialer_id(dialer)](ClientState& state) {
        state.lost(address, static_cast<std::uint32_t>(number));
    });
}

void ClientState::lost(const std::string& address, std::uint32_t dialer) {
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;
    Peer& peer = *found->second;
    if (peer.dialing && peer.calls.empty() && peer.dialer.id == dialer) hangUp(peer);
}

// --- Client

Client::Client(asio::io_context& io, Logger& log) : state_(std::make_shared<ClientState>(io, log)) {
    state_->start();
}

Client::~Client() { state_->close(); }

void Client::call(const std::string& address, std::string bytes, Millis timeout, Callback callback) {
    state_->call(address, std::move(bytes), timeout, std::move(callback));
}

std::size_t Client::peers() const { return state_->peers(); }

std::size_t Client::outstanding() const { return state_->outstanding(); }

}  // namespace beechpoint::rpc
