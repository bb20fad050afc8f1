#include "control/operator_api.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include "control/operator_call.hpp"
#include "control/replica_driver.hpp"
#include "net/http.hpp"
#include "net/server.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

constexpr auto kLookEvery = std::chrono::milliseconds(25);
constexpr Millis kComeBackAfter = 300;
constexpr const char* kJson = "application/json";

enum class Stage { waiting, inHand };

struct Pending {
    OperatorCall call;
    std::shared_ptr<net::HttpConnection> connection;
    Millis deadline = 0;
    Stage stage = Stage::waiting;
    bool vouched =
        false;  // the table was found to be the newest since the call came, in this very call of the loop
};

struct Place {
    bool here = false;
    std::string elsewhere;  // control address; empty: nowhere
};

}  // namespace

class OperatorApi::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
        : clock_(clock), logger_(logger), driver_(driver), timer_(io) {}

    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
        auto call = parseOperatorCall(message.method, message.path(), message.header("if-match"));
        if (!call) return answerError(connection, statusOfCallError(call.error()), call.error());
        if (pending_.size() >= kMaxOperatorCalls || bytesInHand() + message.body.size() > kMaxOperatorBytes)
            return answerBusy(connection, "too many calls are in hand");
        Pending pending;
        pending.call = std::move(call.value());
        pending.call.body = std::string(message.body);
        pending.connection = connection;
        pending.deadline = clock_.now() + kOperatorWait;
        pending_.push_back(std::move(pending));
        look();
    }

    void look() {
        if (looking_) return;  // a callback from within: the loop below goes on until nothing moves
        looking_ = true;
        do {
            again_ = false;
            lookOnce();
        } while (again_);
        looking_ = false;
        arm();
    }

    void leave() {
        leaving_ = true;
        look();
    }

    std::size_t inHand() const { return pending_.size(); }
    std::uint64_t writesTaken() const { return writesTaken_; }

private:
    using Iterator = std::list<Pending>::iterator;

    void lookOnce() {
        bool writeAhead = std::any_of(pending_.begin(), pending_.end(), [](const Pending& pending) {
            return pending.call.writes() && pending.stage == Stage::inHand;
        });
        for (auto next = pending_.begin(); next != pending_.end();) {
            const auto pending = next++;
            if (pending->stage != Stage::waiting) continue;
            if (!pending->connection->waiting()) {  // the operator has left
                pending_.erase(pending);
                continue;
            }
            const Place place = placeOf(*pending);
            if (!place.elsewhere.empty()) {
                redirect(pending, place.elsewhere);
            } else if (leaving_ || clock_.now() >= pending->deadline) {
                sendAway(pending, leaving_ ? "this member is leaving" : waitReason(place, pending->call));
            } else if (place.here && !pending->call.writes()) {
                passBarrier(pending);
            } else if (place.here && !writeAhead && driver_.replica()->writable()) {
                writeAhead = true;
                startWrite(pending);
            } else if (pending->call.writes()) {
                writeAhead = true;  // in order
            }
        }
    }

    static const char* waitReason(const Place& place, const OperatorCall& call) {
        if (!place.here) return "no member that could answer is in reach";
        return call.writes() ? "the write can't be kept by enough members at the moment"
                             : "whether this is the newest configuration can't be told at the moment";
    }

    Place placeOf(const Pending& pending) const {
        const replica::Replica* replica = driver_.replica();
        if (!replica) return {};
        const bool writes = pending.call.writes();
        if (replica->inView() && (writes ? replica->isHead() : replica->isTail())) return {true, {}};
        const auto& members = replica->view().members;
        if (members.empty()) return {};
        const replica::Member& member = writes ? members.front() : members.back();
        if (member.name == replica->self().name || !driver_.heardLately(member.internalAddress)) return {};
        return {false, member.controlAddress};
    }

    void passBarrier(Iterator pending) {
        pending->stage = Stage::inHand;
        auto done = [weak = weak_from_this(), pending](bool ok) {
            if (const auto self = weak.lock()) self->onBarrier(pending, ok);
        };
        if (pending->call.writes())
            driver_.write({}, std::move(done));
        else
            driver_.readBarrier(std::move(done));
    }

    void onBarrier(Iterator pending, bool ok) {
        pending->stage = Stage::waiting;
        if (ok && !pending->call.writes()) {
            answer(pending, 200, configuration::renderConfiguration(driver_.replica()->committedTable()));
        } else if (ok) {
            pending->vouched = true;
            startWrite(pending);
        }
        lookAgain();
    }

    // The decision and the write are made on the table of one moment.
    void startWrite(Iterator pending) {
        pending->stage = Stage::inHand;
        const auto decision = decide(pending->call, driver_.replica()->committedTable());
        const bool vouched = std::exchange(pending->vouched, false);
        if (decision && std::holds_alternative<configuration::Accepted>(decision.value()))
            return commit(pending, std::get<configuration::Accepted>(decision.value()));
        if (!vouched) return passBarrier(pending);
        if (!decision) {
            logger_.info("refused an operator's call: {}", field("error", decision.error().text()));
            return answer(pending, configuration::httpStatus(decision.error().kind),
                          configuration::renderError(decision.error()));
        }
        answerTaken(pending, std::get<configuration::AlreadyTaken>(decision.value()).revision);
    }

    void commit(Iterator pending, const configuration::Accepted& accepted) {
        driver_.write(accepted.changes,
                      [weak = weak_from_this(), pending, revision = accepted.revision](bool committed) {
                          if (const auto self = weak.lock()) self->onCommit(pending, revision, committed);
                      });
    }

    void onCommit(Iterator pending, std::uint64_t revision, bool committed) {
        if (committed) {
            writesTaken_++;
            logger_.info("took an operator's call, revision {}: {}", field("revision", revision),
                         field("target", pending->call.target));
            answerTaken(pending, revision);
        } else {
            sendAway(pending, "whether the change took effect is not known");
        }
        lookAgain();
    }

    void answerTaken(Iterator pending, std::uint64_t revision) {
        answer(pending, 200, fmt::format(R"({{"revision":{}}})", revision));
    }

    void redirect(Iterator pending, const std::string& address) {
        const std::string location = fmt::format("Location: http://{}{}\r\n", address, pending->call.target);
        const Error error{ErrorKind::unavailable, "", "another member answers this call",
                          "follow Location: " + address};
        answer(pending, 307, configuration::renderError(error), location);
    }

    void sendAway(Iterator pending, const std::string& why) {
        const auto connection = pending->connection;
        pending_.erase(pending);
        answerBusy(connection, why);
    }

    void answer(Iterator pending, int status, const std::string& body, const std::string& headers = {}) {
        const auto connection = pending->connection;
        pending_.erase(pending);
        if (connection->waiting()) connection->respond(status, kJson, body, headers);
    }

    void answerError(const std::shared_ptr<net::HttpConnection>& connection, int status, const Error& error) {
        connection->respond(status, kJson, configuration::renderError(error));
    }

    void answerBusy(const std::shared_ptr<net::HttpConnection>& connection, const std::string& why) {
        if (!connection->waiting()) return;
        const Error error{ErrorKind::unavailable, "", why,
                          "send the same call again, here or to another member"};
        connection->respond(503, kJson, configuration::renderError(error),
                            net::retryAfterHeader(kComeBackAfter));
    }

    std::size_t bytesInHand() const {
        std::size_t bytes = 0;
        for (const Pending& pending : pending_) bytes += pending.call.body.size();
        return bytes;
    }

    void lookAgain() {
        if (looking_)
            again_ = true;
        else
            look();
    }

    void arm() {
        const bool waits = std::any_of(pending_.begin(), pending_.end(), [](const Pending& pending) {
            return pending.stage == Stage::waiting;
        });
        if (!waits || armed_) return;
        armed_ = true;
        timer_.expires_after(kLookEvery);
        timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (error || !self) return;
            self->armed_ = false;
            self->look();
        });
    }

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    asio::steady_timer timer_;
    std::list<Pending> pending_;  // in the order in which they came
    std::uint64_t writesTaken_ = 0;
    bool looking_ = false, again_ = false, armed_ = false, leaving_ = false;
};

OperatorApi::OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver)) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::handle(const net::HttpMessage& message,
                         const std::shared_ptr<net::HttpConnection>& connection) {
    impl_->handle(message, connection);
}
void OperatorApi::look() { impl_->look(); }
void OperatorApi::leave() { impl_->leave(); }
std::size_t OperatorApi::inHand() const { return impl_->inHand(); }
std::uint64_t OperatorApi::writesTaken() const { return impl_->writesTaken(); }

}  // namespace beechpoint::control
