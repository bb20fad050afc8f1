#include "soak_clients.hpp"

#include <fmt/format.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <random>
#include <utility>

#include "upstream/upstream.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kRequestMost = 5'000;
constexpr int kShortestPauseMs = 15;
constexpr int kLongestPauseMs = 60;
constexpr double kMoves =
    0.02;  // probability that a client goes to another gateway though its connection holds
constexpr Millis kKeptUnused = 30'000;
constexpr std::array<const char*, 5> kPaths{"/safe/", "/once/", "/stream/", "/open/", "/events/"};

upstream::UpstreamSettings keptConnections() {
    upstream::UpstreamSettings settings;
    settings.idleWithoutKeepAlive = kKeptUnused;
    settings.idleMax = kKeptUnused;
    return settings;
}

}  // namespace

class SoakClients::Client {
public:
    Client(asio::io_context& io, const Clock& clock, const Settings& settings, std::size_t number)
        : clock_(clock),
          settings_(settings),
          number_(number),
          random_(settings.seed * 1'000 + number),
          upstream_(io, clock, keptConnections()),
          timer_(io),
          gateway_(number % settings.fronts.size()) {}

    void begin() { pause(); }

    /// `ended` is called once nothing is under way any more.
    void end(std::function<void()> ended) {
        ended_ = std::move(ended);
        timer_.cancel();
        if (!underWay_) leave();
    }
    std::vector<Attempt>& attempts() { return attempts_; }

private:
    void pause() {
        std::uniform_int_distribution<int> pauses(kShortestPauseMs, kLongestPauseMs);
        timer_.expires_after(std::chrono::milliseconds(pauses(random_)));
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error && !ended_) send();
        });
    }

    std::size_t draw(std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(0, most - 1)(random_);
    }

    Attempt nextAttempt() {
        if (std::bernoulli_distribution(kMoves)(random_)) gateway_ = draw(settings_.fronts.size());
        Attempt attempt;
        attempt.id = fmt::format("c{}-{}", number_, attempts_.size());
        attempt.key = settings_.keys[draw(settings_.keys.size())];
        attempt.path = fmt::format("{}x", kPaths[draw(kPaths.size())]);
        attempt.gateway = gateway_;
        attempt.sentAt = clock_.toUnix(clock_.now());
        return attempt;
    }

    void send() {
        attempts_.push_back(nextAttempt());
        const Attempt& attempt = attempts_.back();
        upstream::Request request;
        request.method = attempt.path.starts_with("/once/") ? "POST" : "GET";
        request.target = attempt.path;
        request.headers = {{"Host", "system.example"}, {"X-Tenant-Name", "intruder"}};
        if (!attempt.key.empty()) request.headers.push_back({"Authorization", "Bearer " + attempt.key});
        request.attemptId = attempt.id;
        request.requireAttemptId = false;
        underWay_ = true;
        const auto address = upstream::HostAddress::parse(settings_.fronts[gateway_]);
        upstream_.send(address.value(), 1, std::move(request), kRequestMost, handlers());
    }

    upstream::Handlers handlers() {
        upstream::Handlers handlers;
        handlers.onHead = [this](const upstream::AnswerHead& head) {
            Attempt& attempt = attempts_.back();
            attempt.status = head.status;
            const std::string* const id = upstream::findHeader(head.headers, "X-Attempt-Id");
            attempt.foreign = id != nullptr && *id != attempt.id;
        };
        handlers.onData = [this](std::string_view bytes) { attempts_.back().body += bytes; };
        handlers.onEnd = [this] {
            attempts_.back().whole = true;
            finish();
        };
        handlers.onFailed = [this](const upstream::Failure& failure) {
            attempts_.back().failure = fmt::format("{}{}: {}", nameOf(failure.kind),
                                                   failure.reused ? " (kept)" : "", failure.message);
            gateway_ = (gateway_ + 1) % settings_.fronts.size();
            finish();
        };
        return handlers;
    }

    void finish() {
        attempts_.back().endedAt = clock_.toUnix(clock_.now());
        underWay_ = false;
        if (ended_)
            leave();
        else
            pause();
    }

    void leave() {
        if (auto ended = std::exchange(ended_, [] {})) ended();
    }

    const Clock& clock_;
    const Settings settings_;
    std::size_t number_;
    std::mt19937_64 random_;
    upstream::Upstream upstream_;
    asio::steady_timer timer_;
    std::size_t gateway_;
    bool underWay_ = false;
    std::vector<Attempt> attempts_;
    std::function<void()> ended_;
};

SoakClients::SoakClients(const Clock& clock, Settings settings) {
    background_.run([&] {
        for (std::size_t client = 0; client < settings.clients; ++client) {
            clients_.push_back(std::make_unique<Client>(background_.io(), clock, settings, client));
            clients_.back()->begin();
        }
    });
}

SoakClients::~SoakClients() {
    background_.stop();
    clients_.clear();
}

std::vector<Attempt> SoakClients::end() {
    std::vector<std::promise<void>> ends(clients_.size());
    background_.run([&] {
        for (std::size_t client = 0; client < clients_.size(); ++client)
            clients_[client]->end([&ends, client] { ends[client].set_value(); });
    });
    for (std::promise<void>& one : ends) one.get_future().wait();
    background_.stop();
    std::vector<Attempt> all;
    for (const auto& client : clients_)
        all.insert(all.end(), client->attempts().begin(), client->attempts().end());
    return all;
}

}  // namespace beechpoint::system_test
