#include "rpc/client.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rpc/address.hpp"
#include "rpc/client_state.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::chrono::milliseconds kRedialAfter{100};
constexpr int kDialAttempts = 3;  // refused or silent that often in a row, the calls that wait fail

Error unavailable(const std::string& address, std::string message) {
    return {ErrorKind::unavailable, address, std::move(message), "call again later, or another peer"};
}

Error timedOut(const std::string& address) {
    return {ErrorKind::timedOut, address, "no answer in time", "call again, or another peer"};
}

}  // namespace

// --- ClientState

// A handler that does nothing once the client is gone.
template <class Method>
auto ClientState::later(Method method) {
    return [weak = weak_from_this(), method = std::move(method)](auto&&... arguments) mutable {
        const std::shared_ptr<ClientState> self = weak.lock();
        if (self && !self->closed_) method(*self, std::forward<decltype(arguments)>(arguments)...);
    };
}

void ClientState::close() {
    if (std::exchange(closed_, true)) return;
    timer_.cancel();
    peers_.clear();
    calls_.clear();
    deadlines_.clear();
}

void ClientState::call(const std::string& address, std::string bytes, Millis timeout,
                       Client::Callback callback) {
    if (bytes.size() > kMaxMessageBytes)
        return failLater(
            {ErrorKind::invalid, address, "the request is above the limit of a message", "send less"},
            std::move(callback));
    if (calls_.size() >= kMaxOutstandingCalls)
        return failLater(unavailable(address, "too many calls are outstanding"), std::move(callback));
    const Result<Peer*> found = peerOf(address);
    if (!found) return failLater(found.error(), std::move(callback));
    Peer& peer = *found.value();
    const std::chrono::duration<double, std::milli> within(std::clamp(timeout, 1.0, 1e9));
    const CallNumber number = nextNumber();
    Call call;
    call.peer = &peer;
    call.deadline = std::chrono::steady_clock::now() +
                    std::chrono::duration_cast<std::chrono::steady_clock::duration>(within);
    call.generation = peer.generation;
    call.unsent = std::move(bytes);
    call.callback = std::move(callback);
    deadlines_.emplace(call.deadline, number);
    calls_.emplace(number, std::move(call));
    armTimer();
    if (!peer.connection) return startDial(peer);
    Endings endings;
    send(number, endings);
    for (Ended& ended : endings) failLater(ended.result.error(), std::move(ended.callback));
}

ClientState::CallNumber ClientState::nextNumber() {
    do
        if (++lastNumber_ == 0) closeConnections("all numbers of calls have been used, they begin anew");
    while (calls_.contains(lastNumber_));
    return lastNumber_;
}

// Fails the calls that were sent; those that wait for a dial go on waiting.
void ClientState::closeConnections(const std::string& reason) {
    Endings endings;
    for (const auto& [address, peer] : peers_) {
        if (!peer->connection) continue;
        hangUp(*peer);
        failCalls(*peer, Which::sent, reason, endings);
    }
    for (Ended& ended : endings) failLater(ended.result.error(), std::move(ended.callback));
}

void ClientState::failLater(Error error, Client::Callback callback) {
    asio::post(io_, later([error = std::move(error), callback = std::move(callback)](ClientState&) {
                   callback(error);
               }));
}

void ClientState::tell(Endings endings) {
    const std::shared_ptr<ClientState> self = shared_from_this();
    for (Ended& ended : endings) {
        if (closed_) return;
        ended.callback(std::move(ended.result));
    }
}

Result<ClientState::Peer*> ClientState::peerOf(const std::string& address) {
    auto found = peers_.find(address);
    if (found == peers_.end()) {
        Result<std::string> url = urlOf(address);
        if (!url) return std::move(url).error();
        if (peers_.size() >= kMaxPeers) dropLeastRecentlyUsed();
        found = peers_.emplace(address, std::make_unique<Peer>(io_, address, std::move(url).value())).first;
    }
    found->second->lastUse = ++uses_;
    return found->second.get();
}

void ClientState::dropLeastRecentlyUsed() {
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second->lastUse < b.second->lastUse;
    });
    log_.seldom("rpc peers", "rpc: more than {} peers, {} is dropped", field("limit", kMaxPeers),
                field("peer", oldest->first));
    Endings endings;
    failCalls(*oldest->second, Which::all, "dropped for a peer used more recently", endings);
    for (Ended& ended : endings) failLater(ended.result.error(), std::move(ended.callback));
    peers_.erase(oldest);
}

void ClientState::startDial(Peer& peer) {
    if (peer.dial || peer.connection || peer.waiting) return;
    Result<std::shared_ptr<Dial>> begun =
        Dial::begin(io_, peer.url, [this, address = peer.address](Stream stream, const std::string& reason) {
            dialEnded(address, std::move(stream), reason);
        });
    if (begun) {
        peer.dial = std::move(begun).value();
        return;
    }
    asio::post(io_, later([address = peer.address, reason = begun.error().message](ClientState& self) {
                   self.dialEnded(address, nullptr, reason);
               }));
}

void ClientState::dialEnded(const std::string& at, Stream stream, const std::string& reason) {
    const std::shared_ptr<ClientState> self = shared_from_this();
    const std::string address = at;  // `at` ends with the dial
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;
    Peer& peer = *found->second;
    const std::shared_ptr<Dial> dial = std::move(peer.dial);
    if (stream)
        connected(peer, std::move(stream));
    else
        dialFailed(peer, reason);
}

void ClientState::dialFailed(Peer& peer, const std::string& reason) {
    if (!hasCalls(peer)) return hangUp(peer);
    if (++peer.refusals >= kDialAttempts) {
        Endings endings;
        hangUp(peer);
        failCalls(peer, Which::all, reason, endings);
        return tell(std::move(endings));
    }
    peer.waiting = true;
    peer.redial.expires_after(kRedialAfter);
    peer.redial.async_wait(later([address = peer.address](ClientState& self, asio::error_code cancelled) {
        const auto found = self.peers_.find(address);
        if (cancelled || found == self.peers_.end() || !found->second->waiting) return;
        found->second->waiting = false;
        self.startDial(*found->second);
    }));
}

void ClientState::connected(Peer& peer, Stream stream) {
    const auto framesCome = [this, address = peer.address](std::vector<Frame> frames) {
        framesCame(address, std::move(frames));
    };
    const auto ends = [this, address = peer.address](const std::string& reason) {
        Endings endings;
        const auto found = peers_.find(address);
        if (found == peers_.end()) return;
        hangUp(*found->second);
        failCalls(*found->second, Which::sent, reason, endings);
        tell(std::move(endings));
    };
    peer.refusals = 0;
    peer.connection = Connection::make(io_, std::move(stream), framesCome, ends);
    if (!peer.connection) return dialFailed(peer, "no memory for a connection");
    peer.connection->start();
    std::vector<CallNumber> waiting;
    for (const auto& [number, call] : calls_)
        if (call.peer == &peer) waiting.push_back(number);
    Endings endings;
    for (const CallNumber number : waiting) send(number, endings);
    tell(std::move(endings));
}

void ClientState::framesCame(const std::string& address, std::vector<Frame> frames) {
    const std::string peer = address;
    Endings endings;
    for (Frame& frame : frames) {
        const auto call = calls_.find(frame.number);
        if (call == calls_.end() || call->second.peer->address != peer)
            continue;  // late: the call has timed out
        if (frame.kind == FrameKind::answer)
            end(frame.number, std::move(frame.body), endings);
        else
            end(frame.number, unavailable(peer, "the peer is at its limit of requests"), endings);
    }
    tell(std::move(endings));
}

void ClientState::hangUp(Peer& peer) {
    ++peer.generation;
    peer.dial.reset();
    peer.connection.reset();
    peer.waiting = false;
    peer.redial.cancel();
    peer.refusals = 0;
}

void ClientState::send(CallNumber number, Endings& endings) {
    Call& call = calls_.at(number);
    call.sent = true;
    const std::string request = std::exchange(call.unsent, {});
    if (!call.peer->connection->send(FrameKind::request, number, request))
        end(number, unavailable(call.peer->address, "the peer does not read its requests"), endings);
}

void ClientState::end(CallNumber number, Result<std::string> result, Endings& endings) {
    const auto call = calls_.find(number);
    deadlines_.erase({call->second.deadline, number});
    endings.push_back({std::move(call->second.callback), std::move(result)});
    calls_.erase(call);
}

void ClientState::failCalls(Peer& peer, Which which, const std::string& reason, Endings& endings) {
    std::vector<CallNumber> failing;
    for (const auto& [number, call] : calls_)
        if (call.peer == &peer && (which == Which::all || call.sent)) failing.push_back(number);
    for (const CallNumber number : failing) end(number, unavailable(peer.address, reason), endings);
}

bool ClientState::hasCalls(const Peer& peer) const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [&](const auto& entry) { return entry.second.peer == &peer; });
}

// One timer for all deadlines; it stays armed when the call that it was armed for ends, and then fires for nothing once.
void ClientState::armTimer() {
    if (deadlines_.empty()) return;
    const TimePoint next = deadlines_.begin()->first;
    if (armedFor_ && *armedFor_ <= next) return;
    armedFor_ = next;
    timer_.expires_at(next);
    timer_.async_wait(later([](ClientState& self, asio::error_code cancelled) {
        if (!cancelled) self.timerFired();
    }));
}

void ClientState::timerFired() {
    armedFor_.reset();
    const TimePoint now = std::chrono::steady_clock::now();
    Endings endings;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        timeOut(deadlines_.begin()->second, endings);
    armTimer();
    tell(std::move(endings));
}

void ClientState::timeOut(CallNumber number, Endings& endings) {
    const Call& call = calls_.at(number);
    Peer& peer = *call.peer;
    const bool present = call.generation == peer.generation;
    end(number, timedOut(peer.address), endings);
    if (!present) return;
    hangUp(peer);
    failCalls(peer, Which::sent, "the connection was closed because a call on it timed out", endings);
    if (hasCalls(peer)) startDial(peer);
}

// --- Client

Client::Client(asio::io_context& io, Logger& log) : state_(std::make_shared<ClientState>(io, log)) {}

Client::~Client() { state_->close(); }

void Client::call(const std::string& address, std::string bytes, Millis timeout, Callback callback) {
    state_->call(address, std::move(bytes), timeout, std::move(callback));
}

std::size_t Client::peers() const { return state_->peers(); }

std::size_t Client::outstanding() const { return state_->outstanding(); }

}  // namespace beechpoint::rpc
