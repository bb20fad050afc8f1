#include "control/operator_api.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "control/replica_driver.hpp"
#include "net/http.hpp"
#include "net/server.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

constexpr auto kLookEvery = std::chrono::milliseconds(25);
constexpr const char* kJson = "application/json";

}  // namespace

class OperatorApi::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
        : clock_(clock), logger_(logger), driver_(driver), timer_(io) {}

    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
        auto call = parseOperatorCall(message.method, message.path(), message.header("if-match"));
        if (!call)
            return connection->respond(statusOfCallError(call.error()), kJson,
                                       configuration::renderError(call.error()));
        const CallId id = ++lastId_;
        call.value().body = std::string(message.body);
        connections_.emplace(id, connection);
        tell(CallCame{id, std::move(call.value())});
    }

    void tell(OperatorEvent event) {
        events_.push_back(std::move(event));
        if (running_) return;  // from within an action: the loop below goes on until nothing moves
        running_ = true;
        tellOfThoseWhoLeft();
        while (!events_.empty()) runOne();
        running_ = false;
        arm();
    }

    std::size_t inHand() const { return calls_.inHand(); }
    std::uint64_t writesTaken() const { return calls_.writesTaken(); }

private:
    void runOne() {
        OperatorEvent event = std::move(events_.front());
        events_.pop_front();
        const auto heardLately = [this](const std::string& address) { return driver_.heardLately(address); };
        const ReplicaState replica = replicaStateOf(driver_.replica(), heardLately);
        std::vector<OperatorAction> actions;
        calls_.handle(clock_.now(), replica, std::move(event), actions);
        for (OperatorAction& action : actions) std::visit([this](auto& what) { carryOut(what); }, action);
    }

    void tellOfThoseWhoLeft() {
        for (auto next = connections_.begin(); next != connections_.end();) {
            const auto entry = next++;
            if (entry->second->waiting()) continue;
            events_.emplace_front(ClientLeft{entry->first});
            connections_.erase(entry);
        }
    }

    void carryOut(const StartBarrier& action) {
        auto done = [weak = weak_from_this(), id = action.id](bool ok) {
            if (const auto self = weak.lock()) self->tell(BarrierDone{id, ok});
        };
        if (action.emptyBatch)
            driver_.write({}, std::move(done));
        else
            driver_.readBarrier(std::move(done));
    }

    void carryOut(StartWrite& action) {
        if (left(action.id)) {
            events_.emplace_back(ClientLeft{action.id});
            return tell(WriteDone{action.id, WriteResult::notStarted});
        }
        const replica::Replica* replica = driver_.replica();
        if (!replica || replica->committedPosition() != action.base)
            return tell(WriteDone{action.id, WriteResult::notStarted});
        driver_.write(std::move(action.changes), [weak = weak_from_this(), id = action.id](bool committed) {
            const auto result = committed ? WriteResult::committed : WriteResult::unknown;
            if (const auto self = weak.lock()) self->tell(WriteDone{id, result});
        });
    }

    void carryOut(const Answer& action) {
        const auto found = connections_.find(action.id);
        if (found == connections_.end()) return;
        const auto connection = std::move(found->second);
        connections_.erase(found);
        if (connection->waiting()) connection->respond(action.status, kJson, action.body, action.headers);
    }

    void carryOut(const Note& action) { logger_.info("operator's call: {}", field("event", action.text)); }

    // Whether its client's end has come, perhaps behind bytes that were not read: an order that was on its way through a cut is not
    // begun long after its sender has given it up.
    bool left(CallId id) const {
        const auto found = connections_.find(id);
        return found == connections_.end() || found->second->left();
    }

    void arm() {
        if (!calls_.waiting() || armed_) return;
        armed_ = true;
        timer_.expires_after(kLookEvery);
        timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (error || !self) return;
            self->armed_ = false;
            self->tell(Look{});
        });
    }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    asio::steady_timer timer_;
    OperatorCalls calls_;
    std::map<CallId, std::shared_ptr<net::HttpConnection>> connections_;  // of calls that are to be answered
    std::deque<OperatorEvent> events_;
    CallId lastId_ = 0;
    bool running_ = false, armed_ = false;
};

OperatorApi::OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver)) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::handle(const net::HttpMessage& message,
                         const std::shared_ptr<net::HttpConnection>& connection) {
    impl_->handle(message, connection);
}
void OperatorApi::look() {
    if (impl_->inHand() > 0) impl_->tell(Look{});
}
void OperatorApi::leave() { impl_->tell(Leaving{}); }
std::size_t OperatorApi::inHand() const { return impl_->inHand(); }
std::uint64_t OperatorApi::writesTaken() const { return impl_->writesTaken(); }

}  // namespace beechpoint::control
