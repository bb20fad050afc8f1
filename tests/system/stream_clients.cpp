#include "stream_clients.hpp"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <random>
#include <utility>

#include "upstream/event_stream.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::system_test {
namespace {

constexpr Millis kAttemptMost = 4'000;
constexpr Millis kKeptUnused = 30'000;
constexpr std::uint64_t kFewestPieces = 1, kMostPieces = 14;
constexpr std::uint64_t kWidePadding =
    60'000;  // bytes a piece; more than sockets and gateways keep for a slow reader
constexpr std::uint64_t kShortestPauseMs = 1, kLongestPauseMs = 30;  // between streams
constexpr std::uint64_t kShortestRestMs = 20, kLongestRestMs = 300;  // of a slow reader, between reads
constexpr int kMostRetries = 4;
constexpr double kResumables = 0.6, kSlow = 0.15, kLeaves = 0.1, kWide = 0.1;
constexpr double kMoves =
    0.1;  // probability that a client goes to another gateway though its connection holds

upstream::UpstreamSettings keptConnections() {
    upstream::UpstreamSettings settings;
    settings.idleWithoutKeepAlive = kKeptUnused;
    settings.idleMax = kKeptUnused;
    return settings;
}

}  // namespace

class StreamClients::Client {
public:
    Client(asio::io_context& io, const Clock& clock, const Settings& settings, std::size_t number)
        : io_(io),
          clock_(clock),
          settings_(settings),
          number_(number),
          random_(settings.seed * 1'000 + number),
          upstream_(io, clock, keptConnections()),
          timer_(io),
          gateway_(number % settings.fronts.size()) {}

    void begin() { pause(); }

    // `ended` is called once nothing is under way any more.
    void end(std::function<void()> ended) {
        ended_ = std::move(ended);
        timer_.cancel();
        if (!underWay_) leave();
    }
    std::vector<StreamAttempt>& attempts() { return attempts_; }

private:
    bool happens(double probability) { return std::bernoulli_distribution(probability)(random_); }
    std::uint64_t between(std::uint64_t low, std::uint64_t high) {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(random_);
    }

    void after(std::uint64_t ms, std::function<void()> action) {
        timer_.expires_after(std::chrono::milliseconds(ms));
        timer_.async_wait([action = std::move(action)](const asio::error_code& error) {
            if (!error) action();
        });
    }

    void pause() {
        after(between(kShortestPauseMs, kLongestPauseMs), [this] {
            if (!ended_) askForNew();
        });
    }

    void askForNew() {
        StreamAttempt attempt;
        attempt.stream.key = fmt::format("c{}-{}", number_, attempts_.size());
        attempt.stream.pieces = between(kFewestPieces, kMostPieces);
        attempt.stream.padding = happens(kWide) ? kWidePadding : 0;
        attempt.isResumable = happens(kResumables);
        retries_ = 0;
        if (happens(kMoves)) moveOn();
        ask(std::move(attempt));
    }

    void moveOn() { gateway_ = (gateway_ + 1) % settings_.fronts.size(); }

    void ask(StreamAttempt attempt) {
        attempt.id = fmt::format("s{}-{}", number_, attempts_.size());
        attempt.gateway = gateway_;
        attempt.sentAt = clock_.toUnix(clock_.now());
        attempt.isSlow = happens(kSlow);
        attempts_.push_back(std::move(attempt));
        leavesAfter_ = happens(kLeaves) ? between(0, kMostPieces) : kMostPieces + 1;
        splitter_.restart();
        underWay_ = true;
        const auto address = upstream::HostAddress::parse(settings_.fronts[gateway_]);
        handle_ = upstream_.send(address.value(), 1, request(attempts_.back()), kAttemptMost, handlers());
    }

    static upstream::Request request(const StreamAttempt& attempt) {
        upstream::Request request;
        request.method = "GET";
        request.target = attempt.stream.path(attempt.isResumable ? kResumablePath : kPartsPath);
        request.headers = {{"Host", "system.example"}};
        if (attempt.after > 0) request.headers.push_back({"Last-Event-Id", std::to_string(attempt.after)});
        request.attemptId = attempt.id;
        request.requireAttemptId = false;
        return request;
    }

    upstream::Handlers handlers() {
        upstream::Handlers handlers;
        handlers.onHead = [this](const upstream::AnswerHead& head) {
            attempts_.back().status = head.status;
            attempts_.back().hasVisibleEnd = !head.closeDelimited;
            const std::string* const type = upstream::findHeader(head.headers, "Content-Type");
            attempts_.back().isStream = head.status == 200 && type && *type == "text/event-stream";
        };
        handlers.onData = [this](std::string_view bytes) { onData(bytes); };
        handlers.onEnd = [this] { finish(StreamEnd::complete); };
        handlers.onFailed = [this](const upstream::Failure& failure) {
            attempts_.back().failure = fmt::format("{}{}: {}", nameOf(failure.kind),
                                                   failure.reused ? " (kept)" : "", failure.message);
            finish(StreamEnd::cut);
        };
        return handlers;
    }

    void onData(std::string_view bytes) {
        StreamAttempt& attempt = attempts_.back();
        splitter_.feed(bytes, [&attempt](const upstream::StreamEvent& event) {
            if (const auto piece = pieceOf(event.bytes))
                attempt.pieces.push_back(*piece);
            else
                ++attempt.strangeEvents;
        });
        if (attempt.pieces.size() > leavesAfter_) return leaveStream();
        if (attempt.isSlow) rest();
    }

    void leaveStream() {
        upstream_.cancel(handle_);
        // Not from within the handler of the exchange that ends.
        asio::post(io_, [this] { finish(StreamEnd::left); });
    }

    void rest() {
        upstream_.pauseReading(handle_);
        after(between(kShortestRestMs, kLongestRestMs),
              [this, handle = handle_] { upstream_.resumeReading(handle); });
    }

    void finish(StreamEnd end) {
        StreamAttempt& attempt = attempts_.back();
        attempt.end = end;
        underWay_ = false;
        timer_.cancel();
        if (end == StreamEnd::cut) moveOn();
        if (ended_) return leave();
        const std::uint64_t last = attempt.pieces.empty() ? attempt.after : attempt.pieces.back().number;
        const bool isWhole = end == StreamEnd::complete && attempt.isStream;
        if (isWhole || !attempt.isResumable || retries_ >= kMostRetries) return pause();
        resume(last);
    }

    void resume(std::uint64_t last) {
        ++retries_;
        StreamAttempt again;
        again.stream = attempts_.back().stream;
        again.isResumable = true;
        again.isRetry = true;
        again.after = last;
        moveOn();
        after(between(kShortestPauseMs, kLongestPauseMs), [this, again] {
            if (!ended_) ask(again);
        });
    }

    void leave() {
        if (auto ended = std::exchange(ended_, [] {})) ended();
    }

    asio::io_context& io_;
    const Clock& clock_;
    const Settings settings_;
    std::size_t number_;
    std::mt19937_64 random_;
    upstream::Upstream upstream_;
    asio::steady_timer timer_;
    std::size_t gateway_;
    upstream::Handle handle_ = 0;
    upstream::EventSplitter splitter_;
    std::size_t leavesAfter_ = 0;  // pieces
    int retries_ = 0;
    bool underWay_ = false;
    std::vector<StreamAttempt> attempts_;
    std::function<void()> ended_;
};

StreamClients::StreamClients(const Clock& clock, const Settings& settings) {
    background_.run([&] {
        for (std::size_t client = 0; client < settings.clients; ++client) {
            clients_.push_back(std::make_unique<Client>(background_.io(), clock, settings, client));
            clients_.back()->begin();
        }
    });
}

StreamClients::~StreamClients() {
    background_.stop();
    clients_.clear();
}

std::vector<StreamAttempt> StreamClients::end() {
    std::vector<std::promise<void>> ends(clients_.size());
    background_.run([&] {
        for (std::size_t client = 0; client < clients_.size(); ++client)
            clients_[client]->end([&ends, client] { ends[client].set_value(); });
    });
    for (std::promise<void>& one : ends) one.get_future().wait();
    background_.stop();
    std::vector<StreamAttempt> all;
    for (const auto& client : clients_)
        all.insert(all.end(), client->attempts().begin(), client->attempts().end());
    return all;
}

}  // namespace beechpoint::system_test
