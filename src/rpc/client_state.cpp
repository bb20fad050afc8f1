#include "rpc/client_state.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rpc/address.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::chrono::milliseconds kRedialAfter{100};
constexpr int kDialAttempts = 3;  // after so many failures in a row the calls that wait fail

Error unavailable(const std::string& address, std::string message) {
    return {ErrorKind::unavailable, address, std::move(message), "call again later, or another peer"};
}

Error timedOut(const std::string& address) {
    return {ErrorKind::timedOut, address, "no answer in time", "call again, or another peer"};
}

std::chrono::steady_clock::time_point deadlineAfter(Millis timeout) {
    constexpr Millis kMinTimeout = 1.0;
    constexpr Millis kMaxTimeout = 1e9;
    const std::chrono::duration<double, std::milli> within(std::clamp(timeout, kMinTimeout, kMaxTimeout));
    return std::chrono::steady_clock::now() +
           std::chrono::duration_cast<std::chrono::steady_clock::duration>(within);
}

}  // namespace

// A handler that does nothing once the client is destroyed.
template <class Method>
auto ClientState::guarded(Method method) {
    return [weak = weak_from_this(), method = std::move(method)](auto&&... arguments) mutable {
        const std::shared_ptr<ClientState> self = weak.lock();
        if (self && !self->closed_) method(*self, std::forward<decltype(arguments)>(arguments)...);
    };
}

void ClientState::close() {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    peers_.clear();
    calls_.clear();
    deadlines_.clear();
}

void ClientState::call(const std::string& address, std::string bytes, Millis timeout,
                       Client::Callback callback) {
    const Result<Peer*> found = admit(address, bytes.size());
    if (!found) {
        failLater(found.error(), std::move(callback));
        return;
    }
    Peer& peer = *found.value();
    const CallNumber number = addCall(peer, std::move(bytes), timeout, std::move(callback));
    if (!peer.connection) {
        startDial(peer);
        return;
    }
    Endings endings;
    send(number, endings);
    reportLater(std::move(endings));
}

// The peer that a request of this size may be sent to.
Result<ClientState::Peer*> ClientState::admit(const std::string& address, std::size_t size) {
    if (size > kMaxMessageBytes)
        return Error{ErrorKind::invalid, address, "the request is above the limit of a message", "send less"};
    if (calls_.size() >= kMaxOutstandingCalls) return unavailable(address, "too many calls are outstanding");
    return peerOf(address);
}

ClientState::CallNumber ClientState::addCall(Peer& peer, std::string bytes, Millis timeout,
                                             Client::Callback callback) {
    const CallNumber number = nextNumber();  // may close connections, which raises the peer's generation
    Call call;
    call.peer = &peer;
    call.deadline = deadlineAfter(timeout);
    call.generation = peer.generation;
    call.unsent = std::move(bytes);
    call.callback = std::move(callback);
    deadlines_.insert({call.deadline, number});
    calls_.emplace(number, std::move(call));
    armTimer();
    return number;
}

ClientState::CallNumber ClientState::nextNumber() {
    do {
        ++lastNumber_;
        if (lastNumber_ == 0) closeConnections("all numbers of calls have been used, they begin anew");
    } while (calls_.contains(lastNumber_));
    return lastNumber_;
}

// Fails the calls that were sent; those that wait for a dial go on waiting.
void ClientState::closeConnections(const std::string& reason) {
    Endings endings;
    for (const auto& [address, peer] : peers_) {
        if (!peer->connection) continue;
        disconnect(*peer);
        failCalls(*peer, Which::sent, reason, endings);
    }
    reportLater(std::move(endings));
}

void ClientState::failLater(Error error, Client::Callback callback) {
    asio::post(io_, guarded([error = std::move(error), callback = std::move(callback)](ClientState&) {
                   callback(error);
               }));
}

// For calls that fail within call(), which never calls back before it returns.
void ClientState::reportLater(Endings endings) {
    for (Ended& ended : endings) failLater(ended.result.error(), std::move(ended.callback));
}

void ClientState::report(Endings endings) {
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
    const auto oldest = std::min_element(
        peers_.begin(), peers_.end(),
        [](const auto& left, const auto& right) { return left.second->lastUse < right.second->lastUse; });
    log_.seldom("rpc peers", "rpc: more than {} peers, {} is dropped", field("limit", kMaxPeers),
                field("peer", oldest->first));
    Endings endings;
    failCalls(*oldest->second, Which::all, "dropped for a peer used more recently", endings);
    reportLater(std::move(endings));
    peers_.erase(oldest);
}

void ClientState::startDial(Peer& peer) {
    if (peer.dial || peer.connection || peer.waiting) return;
    Result<std::shared_ptr<Dial>> begun =
        Dial::begin(io_, peer.url, [this, address = peer.address](Stream stream, const std::string& reason) {
            onDialEnded(address, std::move(stream), reason);
        });
    if (begun) {
        peer.dial = std::move(begun).value();
        return;
    }
    asio::post(io_, guarded([address = peer.address, reason = begun.error().message](ClientState& self) {
                   self.onDialEnded(address, nullptr, reason);
               }));
}

// `address` is the handler's, which Dial and asio hold until it returns.
void ClientState::onDialEnded(const std::string& address, Stream stream, const std::string& reason) {
    const std::shared_ptr<ClientState> self = shared_from_this();
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;
    Peer& peer = *found->second;
    const std::shared_ptr<Dial> dial = std::move(peer.dial);
    if (stream)
        onConnected(peer, std::move(stream));
    else
        onDialFailed(peer, reason);
}

void ClientState::onDialFailed(Peer& peer, const std::string& reason) {
    if (!hasCalls(peer)) {
        disconnect(peer);
        return;
    }
    ++peer.failedDials;
    if (peer.failedDials >= kDialAttempts) {
        Endings endings;
        disconnect(peer);
        failCalls(peer, Which::all, reason, endings);
        report(std::move(endings));
        return;
    }
    peer.waiting = true;
    peer.redial.expires_after(kRedialAfter);
    peer.redial.async_wait(guarded([address = peer.address](ClientState& self, asio::error_code cancelled) {
        const auto found = self.peers_.find(address);
        if (cancelled || found == self.peers_.end() || !found->second->waiting) return;
        found->second->waiting = false;
        self.startDial(*found->second);
    }));
}

void ClientState::onConnectionEnded(const std::string& address, const std::string& reason) {
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;
    Endings endings;
    disconnect(*found->second);
    failCalls(*found->second, Which::sent, reason, endings);
    report(std::move(endings));
}

void ClientState::onConnected(Peer& peer, Stream stream) {
    const auto framesHandler = [this, address = peer.address](std::vector<Frame> frames) {
        onFrames(address, std::move(frames));
    };
    const auto endHandler = [this, address = peer.address](const std::string& reason) {
        onConnectionEnded(address, reason);
    };
    peer.failedDials = 0;
    peer.connection = Connection::make(io_, std::move(stream), framesHandler, endHandler);
    if (!peer.connection) {
        onDialFailed(peer, "no memory for a connection");
        return;
    }
    peer.connection->start();
    sendWaitingCalls(peer);
}

void ClientState::sendWaitingCalls(const Peer& peer) {
    std::vector<CallNumber> waiting;
    for (const auto& [number, call] : calls_)
        if (call.peer == &peer) waiting.push_back(number);
    Endings endings;
    for (const CallNumber number : waiting) send(number, endings);
    report(std::move(endings));
}

// `peer` is the address; it is not used after report(), whose callbacks may end the connection that holds it.
void ClientState::onFrames(const std::string& peer, std::vector<Frame> frames) {
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
    report(std::move(endings));
}

void ClientState::disconnect(Peer& peer) {
    ++peer.generation;
    peer.dial.reset();
    peer.connection.reset();
    peer.waiting = false;
    peer.redial.cancel();
    peer.failedDials = 0;
}

void ClientState::send(CallNumber number, Endings& endings) {
    Call& call = calls_.at(number);
    call.sent = true;
    const std::string request = std::move(call.unsent);
    call.unsent.clear();
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
    const TimePoint next = deadlines_.begin()->time;
    if (armedFor_ && *armedFor_ <= next) return;
    armedFor_ = next;
    timer_.expires_at(next);
    timer_.async_wait(guarded([](ClientState& self, asio::error_code cancelled) {
        if (!cancelled) self.onTimer();
    }));
}

void ClientState::onTimer() {
    armedFor_.reset();
    const TimePoint now = std::chrono::steady_clock::now();
    Endings endings;
    while (!deadlines_.empty() && deadlines_.begin()->time <= now)
        timeOut(deadlines_.begin()->number, endings);
    armTimer();
    report(std::move(endings));
}

void ClientState::timeOut(CallNumber number, Endings& endings) {
    const Call& call = calls_.at(number);
    Peer& peer = *call.peer;
    const bool isPresentGeneration = call.generation == peer.generation;
    end(number, timedOut(peer.address), endings);
    if (!isPresentGeneration) return;
    disconnect(peer);
    failCalls(peer, Which::sent, "the connection was closed because a call on it timed out", endings);
    if (hasCalls(peer)) startDial(peer);
}

}  // namespace beechpoint::rpc
