// A gateway's link by the rules of gateway/control_link.cpp, on the real codec and rendezvous order.
#include <algorithm>
#include <utility>

#include "control/codec.hpp"
#include "core/splitmix.hpp"
#include "gateway_process.hpp"
#include "leases/duty.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kWait = 1000;
constexpr Millis kAnswerSlack = 500;
constexpr Millis kFirstTimeout = 600;
constexpr Millis kSpacing = 20;
constexpr Millis kRetryFirst = 60;
constexpr Millis kRetryMost = 800;
constexpr Millis kReturnAfter = 5000;

class LinkByRules : public GatewayLink {
public:
    LinkByRules(std::string name, std::uint64_t seed, Port port)
        : port_(std::move(port)), random_(seed), name_(std::move(name)) {}

    void seeds(std::vector<std::string> addresses) override {
        seeds_ = std::move(addresses);
        orderMembers();
    }

    void start() override { poll(); }

private:
    void orderMembers() {
        std::vector<std::string> all = members_;
        for (const std::string& seed : seeds_)
            if (members_.empty() || std::ranges::find(all, seed) == all.end()) all.push_back(seed);
        std::vector<std::string> next = leases::rendezvousOrder(name_, std::move(all));
        if (next == order_) return;
        order_ = std::move(next);
        const auto place = std::ranges::find(order_, current_);
        turn_ = place == order_.end() ? 0 : static_cast<std::size_t>(place - order_.begin());
    }

    void poll() {
        const std::string address = order_.empty() ? "" : order_[turn_ % order_.size()];
        if (address.empty()) return pollAfter(kRetryMost);
        const std::uint64_t number = ++asked_;
        const bool known = address == current_;
        control::PollRequest request = port_.request();
        request.waitMs = known ? kWait : 0;
        port_.call(address, control::encode(request), known ? kWait + kAnswerSlack : kFirstTimeout,
                   [this, number, address](const Bytes& bytes) { onReply(number, address, bytes); });
    }

    void pollAfter(Millis pause) {
        port_.at(port_.now() + pause, [this] { poll(); });
    }

    void onReply(std::uint64_t number, const std::string& address, const Bytes& bytes) {
        if (number != asked_) return;
        if (!bytes) return failed(address);
        const auto reply = control::decodePollReply(*bytes);
        if (!reply || reply.value().status != control::PollStatus::ok) return failed(address);
        if (!reply.value().members.empty()) members_ = reply.value().members;
        orderMembers();
        port_.reply(reply.value());
        failures_ = 0;
        current_ = address;
        if (port_.now() - failedAt_ > kReturnAfter) turn_ = 0;
        pollAfter(kSpacing);
    }

    void failed(const std::string& address) {
        if (current_ == address) current_.clear();
        ++turn_;
        ++failures_;
        failedAt_ = port_.now();
        const auto rounds = std::min<std::size_t>(failures_ / std::max<std::size_t>(order_.size(), 1), 6);
        const Millis pause = std::min(kRetryFirst * static_cast<double>(1u << rounds), kRetryMost);
        pollAfter(pause * (0.5 + random_()));
    }

    Port port_;
    SplitMix random_;
    std::string name_;
    std::vector<std::string> seeds_, members_, order_;
    std::size_t turn_ = 0;
    std::string current_;
    Millis failedAt_ = 0;
    std::size_t failures_ = 0;
    std::uint64_t asked_ = 0;
};

}  // namespace

std::unique_ptr<GatewayLink> makeGatewayLink(std::string name, std::uint64_t seed, GatewayLink::Port port) {
    return std::make_unique<LinkByRules>(std::move(name), seed, std::move(port));
}

}  // namespace beechpoint::simulation
