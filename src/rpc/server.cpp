#include "rpc/server.hpp"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>  // needs nng.h before it

#include <algorithm>
#include <asio/post.hpp>

#include "rpc/server_state.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kReceivers =
    4;  // contexts that wait for a request, so that one burst needs no turn of the loop
constexpr std::size_t kMaxSlots = kMaxHandledRequests + 32;  // the rest receive, or send answers and refusals
constexpr nng_duration kSendWithinMs = 10'000;  // a caller that doesn't read its answer is cut off

Error refusedBy(const std::string& address, int error) {
    return {ErrorKind::unavailable, address, nng_strerror(error),
            "check that the address is this machine's and free"};
}

}  // namespace

// --- ServerState

ServerState::~ServerState() { close(); }

Result<void> ServerState::listen(const std::string& address) {
    if (nng_socket_id(socket_) > 0)
        return Error{ErrorKind::invalid, address, "the server listens already", "make another server"};
    const Result<std::string> url = urlOf(address);
    if (!url) return url.error();
    self_ = weak_from_this();
    int error = nng_rep0_open(&socket_);
    if (error == 0) error = limitMessages(socket_);
    if (error == 0) error = nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, connectionEvent, this);
    if (error == 0) error = nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, connectionEvent, this);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    if (error == 0) error = nng_listen(socket_, url.value().c_str(), &listener, 0);
    int port = 0;
    if (error == 0) error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    if (error != 0) {
        nng_close(socket_);
        socket_ = NNG_SOCKET_INITIALIZER;
        return refusedBy(address, error);
    }
    port_ = static_cast<std::uint16_t>(port);
    keepReceiving();
    return boost::outcome_v2::success();
}

void ServerState::close() {
    if (closed_.exchange(true)) return;
    for (const auto& slot : slots_) nng_aio_stop(slot->operation);
    if (nng_socket_id(socket_) > 0) nng_close(socket_);
    for (const auto& slot : slots_) {
        takeMessage(slot->operation);
        nng_aio_free(slot->operation);
    }
    slots_.clear();
    connections_.clear();
}

template <class Action>
void ServerState::postToLoop(Action action) {
    asio::post(io_, [self = self_, action = std::move(action)]() mutable {
        const std::shared_ptr<ServerState> state = self.lock();
        if (state && !state->closed_) action(*state);
    });
}

void ServerState::completed(void* argument) {
    Slot& slot = *static_cast<Slot*>(argument);
    if (slot.phase == Phase::receiving)
        slot.owner->receiveCompleted(slot);
    else
        slot.owner->sendCompleted(slot);
}

void ServerState::receiveCompleted(Slot& slot) {
    --receiving_;
    const int error = nng_aio_result(slot.operation);
    if (closed_ || error == NNG_ECLOSED || error == NNG_ECANCELED) return;
    if (error != 0) return receive(slot);
    Message message = takeMessage(slot.operation);
    slot.phase = Phase::handling;
    slot.connection = static_cast<std::uint32_t>(nng_pipe_id(nng_msg_get_pipe(message.get())));
    postToLoop([number = slot.number, message = std::move(message)](ServerState& state) mutable {
        state.requestCame(number, std::move(message));
    });
}

void ServerState::sendCompleted(Slot& slot) {
    const int error = nng_aio_result(slot.operation);
    if (error != 0) {
        takeMessage(slot.operation);
        postToLoop([connection = slot.connection](ServerState& state) { state.closeConnection(connection); });
    }
    if (!closed_) receive(slot);
}

void ServerState::receive(Slot& slot) {
    slot.phase = Phase::receiving;
    ++receiving_;
    nng_aio_set_timeout(slot.operation, NNG_DURATION_INFINITE);
    nng_ctx_recv(slot.context, slot.operation);
}

void ServerState::transmit(Slot& slot, Message message) {
    slot.phase = Phase::sending;
    nng_aio_set_timeout(slot.operation, kSendWithinMs);
    nng_aio_set_msg(slot.operation, message.release());
    nng_ctx_send(slot.context, slot.operation);
}

void ServerState::requestCame(std::size_t number, Message message) {
    Slot& slot = *slots_[number];
    keepReceiving();
    if (const auto connection = connections_.find(slot.connection); connection != connections_.end())
        connection->second = std::chrono::steady_clock::now();
    if (handled_ >= kMaxHandledRequests) {
        log_.seldom("rpc refused", "rpc: {} requests are being handled, one more is refused",
                    field("limit", handled_));
        Message refusal = answerMessage(AnswerKind::refused, {});
        return refusal ? transmit(slot, std::move(refusal)) : receive(slot);
    }
    ++handled_;
    std::string bytes(body(message));
    message.reset();
    Reply reply(self_, number);
    if (handler_) handler_(std::move(bytes), std::move(reply));
}

void ServerState::send(std::size_t number, std::string bytes) {
    if (closed_) return;
    if (bytes.size() > kMaxMessageBytes) {
        log_.seldom("rpc answer size", "rpc: an answer of {} bytes is above the limit and is not sent",
                    field("bytes", bytes.size()));
        return drop(number);
    }
    Message message = answerMessage(AnswerKind::answered, bytes);
    if (!message) return drop(number);
    --handled_;
    transmit(*slots_[number], std::move(message));
}

void ServerState::drop(std::size_t number) {
    if (closed_) return;
    --handled_;
    receive(*slots_[number]);
}

void ServerState::keepReceiving() {
    while (receiving_ < kReceivers && slots_.size() < kMaxSlots)
        if (!addSlot()) return;
}

bool ServerState::addSlot() {
    auto slot = std::make_unique<Slot>();
    slot->owner = this;
    slot->number = slots_.size();
    if (nng_ctx_open(&slot->context, socket_) != 0) return false;
    if (nng_aio_alloc(&slot->operation, completed, slot.get()) != 0) {
        nng_ctx_close(slot->context);
        return false;
    }
    slots_.push_back(std::move(slot));
    receive(*slots_.back());
    return true;
}

void ServerState::connectionEvent(nng_pipe pipe, nng_pipe_ev event, void* argument) {
    ServerState& self = *static_cast<ServerState*>(argument);
    const auto connection = static_cast<std::uint32_t>(nng_pipe_id(pipe));
    self.postToLoop([connection, event](ServerState& state) {
        if (event == NNG_PIPE_EV_ADD_POST)
            state.connectionOpened(connection);
        else
            state.connectionClosed(connection);
    });
}

void ServerState::connectionOpened(std::uint32_t connection) {
    if (connections_.size() >= kMaxConnections) {
        const auto silentLongest =
            std::min_element(connections_.begin(), connections_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        log_.seldom("rpc connections", "rpc: more than {} connections, the one silent longest is closed",
                    field("limit", kMaxConnections));
        closeConnection(silentLongest->first);
    }
    connections_.emplace(connection, std::chrono::steady_clock::now());
}

void ServerState::connectionClosed(std::uint32_t connection) { connections_.erase(connection); }

void ServerState::closeConnection(std::uint32_t connection) {
    if (connections_.erase(connection) == 0) return;
    nng_pipe pipe = NNG_PIPE_INITIALIZER;
    pipe.id = connection;
    nng_pipe_close(pipe);
}

// --- Reply

Reply::Reply(std::weak_ptr<ServerState> server, std::size_t slot)
    : server_(std::move(server)), slot_(slot), open_(true) {}

Reply::Reply(Reply&& other) noexcept
    : server_(std::move(other.server_)), slot_(other.slot_), open_(std::exchange(other.open_, false)) {}

Reply& Reply::operator=(Reply&& other) noexcept {
    if (this == &other) return *this;
    drop();
    server_ = std::move(other.server_);
    slot_ = other.slot_;
    open_ = std::exchange(other.open_, false);
    return *this;
}

Reply::~Reply() { drop(); }

void Reply::drop() {
    if (!std::exchange(open_, false)) return;
    if (const std::shared_ptr<ServerState> server = server_.lock()) server->drop(slot_);
}

void Reply::send(std::string bytes) {
    if (!std::exchange(open_, false)) return;
    if (const std::shared_ptr<ServerState> server = server_.lock()) server->send(slot_, std::move(bytes));
}

// --- Server

Server::Server(asio::io_context& io, Logger& log) : state_(std::make_shared<ServerState>(io, log)) {}

Server::~Server() { state_->close(); }

void Server::onRequest(Handler handler) { state_->onRequest(std::move(handler)); }

Result<void> Server::listen(const std::string& address) { return state_->listen(address); }

std::uint16_t Server::port() const { return state_->port(); }

std::size_t Server::handled() const { return state_->handled(); }

}  // namespace beechpoint::rpc
