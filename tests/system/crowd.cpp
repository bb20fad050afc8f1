#include "crowd.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <string_view>
#include <utility>

namespace beechpoint::system_test {

using asio::ip::tcp;

namespace {

constexpr auto kLookEvery = std::chrono::milliseconds(20);
constexpr auto kStill = std::chrono::seconds(2);  // without a byte of any client
constexpr std::size_t kReadSize = 64 * 1024;

}  // namespace

// Runs on the crowd's loop.
class Crowd::Client : public std::enable_shared_from_this<Client> {
public:
    Client(asio::io_context& io, CrowdScript script) : socket_(io), script_(std::move(script)) {}

    void start(const tcp::endpoint& server) {
        socket_.async_connect(server, [self = shared_from_this()](asio::error_code error) {
            if (error) return self->close();
            self->socket_.non_blocking(true);
            self->send();
            if (self->script_.readsAnswers) self->read();
        });
    }

    void close() {
        closed_ = true;
        asio::error_code ignored;
        socket_.close(ignored);
    }

    bool isOpen() const { return !closed_; }
    bool isDone() const { return closed_ || sent_ == script_.size(); }
    std::size_t sent() const { return sent_; }

private:
    // What of the script comes next, in one piece.
    std::string_view nextPiece() const {
        const std::size_t repeatedSize = script_.times * script_.repeated.size();
        std::size_t at = sent_;
        if (at < script_.begin.size()) return std::string_view(script_.begin).substr(at);
        at -= script_.begin.size();
        if (at < repeatedSize) return std::string_view(script_.repeated).substr(at % script_.repeated.size());
        return std::string_view(script_.end).substr(at - repeatedSize);
    }

    void send() {
        asio::error_code error;
        while (!error && !isDone()) {
            const std::string_view piece = nextPiece();
            sent_ += socket_.write_some(asio::buffer(piece.data(), piece.size()), error);
        }
        if (isDone()) return;
        if (error != asio::error::would_block) return close();
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code waitError) {
            if (self->closed_) return;
            waitError ? self->close() : self->send();
        });
    }

    void read() {
        socket_.async_read_some(asio::buffer(scrap()),
                                [self = shared_from_this()](asio::error_code error, std::size_t) {
                                    if (self->closed_) return;
                                    error ? self->close() : self->read();
                                });
    }

    // What is read is dropped: all clients, which run on one thread each crowd, share the room for it.
    static std::array<char, kReadSize>& scrap() {
        thread_local std::array<char, kReadSize> bytes;
        return bytes;
    }

    tcp::socket socket_;
    CrowdScript script_;
    std::size_t sent_ = 0;
    bool closed_ = false;
};

Crowd::Crowd(const tcp::endpoint& server, const std::vector<CrowdScript>& scripts) {
    background_.run([&] {
        for (const CrowdScript& script : scripts) {
            clients_.push_back(std::make_shared<Client>(background_.io(), script));
            clients_.back()->start(server);
        }
    });
}

Crowd::~Crowd() {
    background_.run([&] {
        for (const auto& client : clients_) client->close();
    });
    background_.stop();
}

void Crowd::awaitSettled(const std::function<bool()>& look) {
    using SteadyClock = std::chrono::steady_clock;
    std::size_t bytes = 0;
    auto lastProgress = SteadyClock::now();
    asio::io_context io(1);
    while (look()) {
        const bool isDone = background_.run([&] {
            return std::ranges::all_of(clients_, [](const auto& client) { return client->isDone(); });
        });
        const std::size_t sent = counts().bytes;
        if (std::exchange(bytes, sent) != sent) lastProgress = SteadyClock::now();
        if (isDone || SteadyClock::now() - lastProgress > kStill) return;
        asio::steady_timer timer(io, kLookEvery);
        timer.async_wait([](const asio::error_code&) {});
        io.restart();
        io.run();
    }
}

Crowd::Counts Crowd::counts() {
    return background_.run([&] {
        Counts counts;
        for (const auto& client : clients_) {
            ++(client->isOpen() ? counts.open : counts.closed);
            counts.bytes += client->sent();
        }
        return counts;
    });
}

}  // namespace beechpoint::system_test
