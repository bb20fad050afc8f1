#include "gateway/control_link.hpp"

#include <algorithm>
#include <chrono>

#include "control/codec.hpp"
#include "leases/duty.hpp"

namespace beechpoint::gateway {

namespace {

constexpr Millis kWait = 1000;         // a poll is held so long by a member that has nothing new
constexpr Millis kAnswerSlack = 500;   // beyond kWait, before another member is asked
constexpr Millis kFirstTimeout = 600;  // for a member that has not answered before: it is asked not to wait
constexpr Millis kSpacing =
    20;  // between an answer and the next poll: changes that come together travel together
constexpr Millis kRetryFirst = 60;  // after a failure; doubles with each further round of all members
constexpr Millis kRetryMost = 800;
constexpr Millis kReturnAfter = 5000;  // to the first member of the order

}  // namespace

ControlLink::ControlLink(asio::io_context& io, const Clock& clock, Logger& log, std::string name,
                         std::uint64_t seed, Handlers handlers)
    : clock_(clock),
      log_(log),
      handlers_(std::move(handlers)),
      random_(seed),
      client_(io, log),
      timer_(io),
      name_(std::move(name)) {}

void ControlLink::seeds(std::vector<std::string> addresses) {
    seeds_ = std::move(addresses);
    orderMembers();
}

void ControlLink::start() {
    running_ = true;
    poll();
}

void ControlLink::stop() {
    running_ = false;
    ++asked_;
    timer_.cancel();
}

void ControlLink::pollNow() {
    if (running_) poll();
}

void ControlLink::orderMembers() {
    std::vector<std::string> all = members_;
    for (const std::string& seed : seeds_)
        if (members_.empty() || std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
    std::vector<std::string> next = leases::rendezvousOrder(name_, std::move(all));
    if (next == order_) return;
    order_ = std::move(next);
    const auto place = std::find(order_.begin(), order_.end(), current_);
    turn_ = place == order_.end() ? 0 : static_cast<std::size_t>(place - order_.begin());
}

std::string ControlLink::nextAddress() const { return order_.empty() ? "" : order_[turn_ % order_.size()]; }

void ControlLink::poll() {
    const std::string address = nextAddress();
    if (address.empty()) return pollAfter(kRetryMost);
    timer_.cancel();
    const std::uint64_t number = ++asked_;
    const bool known = address == current_;
    control::PollRequest request = handlers_.request();
    request.waitMs = known ? kWait : 0;
    const Millis timeout = known ? kWait + kAnswerSlack : kFirstTimeout;
    const Millis sentAt = clock_.now();
    client_.call(address, control::encode(request), timeout,
                 [this, number, address, sentAt](Result<std::string> bytes) {
                     onReply(number, address, sentAt, std::move(bytes));
                 });
}

void ControlLink::pollAfter(Millis pause) {
    timer_.expires_after(toMicroseconds(pause));
    timer_.async_wait([this](asio::error_code error) {
        if (!error && running_) poll();
    });
}

void ControlLink::onReply(std::uint64_t number, const std::string& address, Millis sentAt,
                          Result<std::string> bytes) {
    if (!running_) return;
    const bool late = number != asked_;  // another poll is out; what it says may still be new
    if (!bytes) {
        if (!late) failed(address);
        return;
    }
    const auto reply = control::decodePollReply(bytes.value());
    if (!reply || reply.value().status != control::PollStatus::ok) {
        if (!reply)
            log_.seldom("poll", "a poll's reply can't be read: {}", field("error", reply.error().text()));
        if (!late) failed(address);
        return;
    }
    heardAt_ = clock_.now();
    learnMembers(reply.value().members);
    handlers_.reply(reply.value(), sentAt);
    if (late || !running_ || number != asked_) return;
    failures_ = 0;
    current_ = address;
    if (clock_.now() - failedAt_ > kReturnAfter) turn_ = 0;
    pollAfter(kSpacing);
}

void ControlLink::learnMembers(const std::vector<std::string>& members) {
    if (members.empty()) return;
    members_ = members;
    orderMembers();
}

void ControlLink::failed(const std::string& address) {
    if (current_ == address) current_.clear();
    ++turn_;
    ++failures_;
    failedAt_ = clock_.now();
    const std::size_t candidates = std::max<std::size_t>(order_.size(), 1);
    const auto rounds = std::min<std::size_t>(static_cast<std::size_t>(failures_) / candidates, 6);
    const Millis pause = std::min(kRetryFirst * static_cast<double>(1u << rounds), kRetryMost);
    pollAfter(pause * (0.5 + random_()));
}

}  // namespace beechpoint::gateway
