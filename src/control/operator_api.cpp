#include "control/operator_api.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "configuration/editing.hpp"
#include "control/operator_calls.hpp"
#include "control/replica_driver.hpp"
#include "net/http.hpp"
#include "net/server.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

constexpr auto kReevaluateEvery = std::chrono::milliseconds(25);
constexpr const char* kJson = "application/json";

}  // namespace

class OperatorApi::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
        : clock_(clock), logger_(logger), driver_(driver), timer_(io) {}

    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
        auto call = parseOperatorCall(message.method, message.path(), message.header("if-match"));
        if (!call) {
            connection->respond(statusOfCallError(call.error()), kJson,
                                configuration::renderError(call.error()));
            return;
        }
        const CallId id = ++lastId_;
        call.value().body = std::string(message.body);
        connections_.emplace(id, connection);
        dispatch(CallReceived{id, std::move(call.value())});
    }

    // Queues the event and handles all queued events. A nested call from within an action only queues: the outer call continues
    // until the queue is empty.
    void dispatch(OperatorEvent event) {
        events_.push_back(std::move(event));
        if (dispatching_) return;
        dispatching_ = true;
        queueDisconnectedClients();
        while (!events_.empty()) handleNextEvent();
        dispatching_ = false;
        armTimer();
    }

    std::size_t pendingCalls() const { return calls_.pendingCalls(); }
    std::uint64_t committedWrites() const { return calls_.committedWrites(); }

private:
    void handleNextEvent() {
        OperatorEvent event = std::move(events_.front());
        events_.pop_front();
        const auto isResponsive = [this](const std::string& address) {
            return driver_.isResponsive(address);
        };
        const ReplicaState replica = replicaStateOf(driver_.replica(), isResponsive);
        std::vector<OperatorAction> actions;
        calls_.handle(clock_.now(), replica, std::move(event), actions);
        for (OperatorAction& action : actions) std::visit([this](auto& what) { carryOut(what); }, action);
    }

    // Disconnections are handled before the event that is being dispatched.
    void queueDisconnectedClients() {
        for (auto next = connections_.begin(); next != connections_.end();) {
            const auto entry = next++;
            if (entry->second->waiting()) continue;
            events_.emplace_front(ClientDisconnected{entry->first});
            connections_.erase(entry);
        }
    }

    void carryOut(const StartReadBarrier& action) {
        auto done = [weak = weak_from_this(), id = action.id](bool passed) {
            if (const auto self = weak.lock()) self->dispatch(ReadBarrierDone{id, passed});
        };
        switch (action.kind) {
            case ReadBarrierKind::emptyBatch:
                driver_.write({}, std::move(done));
                break;
            case ReadBarrierKind::heartbeatRound:
                driver_.readBarrier(std::move(done));
                break;
        }
    }

    void carryOut(StartWrite& action) {
        if (clientHasLeft(action.id)) {
            events_.emplace_back(ClientDisconnected{action.id});
            dispatch(WriteDone{action.id, WriteResult::notStarted});
            return;
        }
        const replica::Replica* replica = driver_.replica();
        if (!replica || replica->committedPosition() != action.base) {
            dispatch(WriteDone{action.id, WriteResult::notStarted});
            return;
        }
        driver_.write(std::move(action.changes), [weak = weak_from_this(), id = action.id](bool committed) {
            const auto result = committed ? WriteResult::committed : WriteResult::unknown;
            if (const auto self = weak.lock()) self->dispatch(WriteDone{id, result});
        });
    }

    void carryOut(const Answer& action) {
        const auto found = connections_.find(action.id);
        if (found == connections_.end()) return;
        const auto connection = std::move(found->second);
        connections_.erase(found);
        if (connection->waiting()) connection->respond(action.status, kJson, action.body, action.headers);
    }

    void carryOut(const LogEvent& action) { logger_.info("operator call: {}", field("event", action.text)); }

    // Whether the client has closed the connection, possibly behind bytes that are not read yet. This keeps a call delayed by a
    // partition from starting long after its sender has abandoned it and retried elsewhere.
    bool clientHasLeft(CallId id) const {
        const auto found = connections_.find(id);
        return found == connections_.end() || found->second->left();
    }

    void armTimer() {
        if (!calls_.waiting() || timerArmed_) return;
        timerArmed_ = true;
        timer_.expires_after(kReevaluateEvery);
        timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (error || !self) return;
            self->timerArmed_ = false;
            self->dispatch(Reevaluate{});
        });
    }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    asio::steady_timer timer_;
    OperatorCalls calls_;
    std::map<CallId, std::shared_ptr<net::HttpConnection>> connections_;  // of unanswered calls
    std::deque<OperatorEvent> events_;                                    // not handled yet
    CallId lastId_ = 0;
    bool dispatching_ = false;
    bool timerArmed_ = false;
};

OperatorApi::OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver)) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::handle(const net::HttpMessage& message,
                         const std::shared_ptr<net::HttpConnection>& connection) {
    impl_->handle(message, connection);
}
void OperatorApi::onReplicaChanged() {
    if (impl_->pendingCalls() > 0) impl_->dispatch(Reevaluate{});
}
void OperatorApi::startDraining() { impl_->dispatch(DrainStarted{}); }
std::size_t OperatorApi::pendingCalls() const { return impl_->pendingCalls(); }
std::uint64_t OperatorApi::committedWrites() const { return impl_->committedWrites(); }

}  // namespace beechpoint::control
