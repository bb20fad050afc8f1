#include "operator_client/client.hpp"

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "upstream/upstream.hpp"

namespace beechpoint::operator_client {
namespace {

constexpr std::size_t kConnections = 1;  // to one member

std::string headerOf(const upstream::Headers& headers, std::string_view name) {
    const std::string* const value = upstream::findHeader(headers, name);
    return value ? std::string(*value) : std::string();
}

// One call of an operator, from the first member asked to the end.
class Performance {
public:
    Performance(const Clock& clock, const Client::Settings& settings, const Call& call,
                const Client::Tell& tell)
        : clock_(clock),
          call_(call),
          tell_(tell),
          body_(call.body.empty() ? nullptr : std::make_shared<const std::string>(call.body)),
          plan_(planSettings(settings, call), clock.now()),
          upstream_(io_, clock),
          timer_(io_) {}

    Reply run() {
        asio::post(io_, [this] { carryOut(plan_.begin(clock_.now())); });
        io_.run();
        return std::move(reply_);
    }

private:
    static CallPlan::Settings planSettings(const Client::Settings& settings, const Call& call) {
        CallPlan::Settings plan;
        plan.members = settings.members;
        plan.target = call.target;
        plan.changes = call.changes();
        plan.bodyBytes = call.body.size();
        plan.total = settings.total;
        plan.seed = settings.seed;
        return plan;
    }

    void carryOut(const Step& step) {
        std::visit([this](const auto& one) { act(one); }, step);
    }

    void act(const Send& send) {
        asked_ = {};
        asked_.address = send.address;
        location_.clear();
        const auto host = upstream::HostAddress::parse(send.address);
        if (!host) {
            tell_(fmt::format("{}: is no IP:PORT", send.address));
            return carryOutLater([this] { return plan_.onFailure(clock_.now(), false); });
        }
        tell_(fmt::format("asking {}", send.address));
        handle_ = upstream_.send(host.value(), kConnections, requestTo(send), send.timeout, handlers());
    }

    void act(const Backoff& backoff) {
        tell_(fmt::format("no member has answered clearly; trying again in {:.0f} ms", backoff.length));
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(backoff.length * 1000)));
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) carryOut(plan_.onBackoffOver(clock_.now()));
        });
    }

    void act(const Over& over) {
        if (reply_.status == 0) reply_ = std::move(asked_);
        reply_.ending = over.ending;
        asio::post(io_, [this] {
            upstream_.closeAll();
            io_.stop();
        });
    }

    template <class Decide>
    void carryOutLater(Decide decide) {
        asio::post(io_, [this, decide] { carryOut(decide()); });
    }

    upstream::Request requestTo(const Send& send) const {
        upstream::Request request;
        request.method = call_.method;
        request.target = send.target;
        request.headers.push_back({"Host", send.address});
        if (call_.ifMatch) request.headers.push_back({"If-Match", fmt::format("{}", *call_.ifMatch)});
        if (body_) request.headers.push_back({"Content-Type", "application/json"});
        request.body = body_;
        request.requireAttemptId = false;
        return request;
    }

    upstream::Handlers handlers() {
        upstream::Handlers handlers;
        handlers.onHead = [this](const upstream::AnswerHead& head) {
            asked_.status = head.status;
            location_ = headerOf(head.headers, "Location");
        };
        handlers.onData = [this](std::string_view bytes) { onData(bytes); };
        handlers.onEnd = [this] { onEnd(); };
        handlers.onFailed = [this](const upstream::Failure& failure) { onFailed(failure); };
        return handlers;
    }

    void onData(std::string_view bytes) {
        if (asked_.body.size() + bytes.size() <= kMaxAnswerBytes) return void(asked_.body += bytes);
        upstream_.cancel(handle_);
        tell_(fmt::format("{}: the answer is longer than {} bytes", asked_.address, kMaxAnswerBytes));
        asked_.status = 0;
        asked_.body.clear();
        carryOutLater([this] { return plan_.onFailure(clock_.now(), true); });
    }

    void onEnd() {
        tell_(fmt::format("{}: {}{}{}", asked_.address, asked_.status, location_.empty() ? "" : " to ",
                          location_));
        reply_ = asked_;
        carryOut(plan_.onAnswer(clock_.now(), reply_.status, location_));
    }

    void onFailed(const upstream::Failure& failure) {
        tell_(fmt::format("{}: {} ({})", asked_.address, upstream::nameOf(failure.kind), failure.message));
        asked_.status = 0;
        asked_.body.clear();
        carryOut(plan_.onFailure(clock_.now(), failure.sent));
    }

    const Clock& clock_;
    const Call& call_;
    const Client::Tell& tell_;
    std::shared_ptr<const std::string> body_;
    CallPlan plan_;
    asio::io_context io_{1};
    upstream::Upstream upstream_;
    asio::steady_timer timer_;
    upstream::Handle handle_ = 0;
    std::string location_;
    Reply asked_;  // the call under way
    Reply reply_;  // the last whole answer
};

bool isUnreserved(char byte) {
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return letter || (byte >= '0' && byte <= '9') ||
           std::string_view("-._~").find(byte) != std::string_view::npos;
}

}  // namespace

Client::Client(const Clock& clock, Settings settings, Tell tell)
    : clock_(clock), settings_(std::move(settings)), tell_(std::move(tell)) {}

Reply Client::perform(const Call& call) { return Performance(clock_, settings_, call, tell_).run(); }

std::string percentEncoded(std::string_view text) {
    std::string out;
    for (const char byte : text) {
        if (isUnreserved(byte))
            out += byte;
        else
            out += fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
    return out;
}

}  // namespace beechpoint::operator_client
