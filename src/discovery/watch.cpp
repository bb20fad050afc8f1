#include "discovery/watch.hpp"

#include <fmt/format.h>

#include <asio/write.hpp>
#include <chrono>

namespace beechpoint::discovery {

namespace {

constexpr std::size_t kReadSize = 8192;
constexpr std::size_t kLongestLine = 4 * 1024 * 1024;  // thousands of hosts; more is no list

std::chrono::microseconds micros(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(ms * 1000));
}

}  // namespace

Watch::Watch(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
             asio::ip::tcp::endpoint agent, std::int64_t generation, OnList onList, WatchTimes times)
    : io_(io),
      clock_(clock),
      counters_(counters),
      log_(log),
      agent_(std::move(agent)),
      generation_(generation),
      onList_(std::move(onList)),
      times_(times),
      silence_(io),
      again_(io) {}

void Watch::start() {
    const Held c = connection_ = std::make_shared<Connection>(io_);
    c->reader = std::make_unique<net::HttpReader>(
        net::HttpReader::Kind::response, c->buffer,
        [this, raw = c.get()](std::string_view bytes) { onBody(*raw, bytes); });
    expectWithin(times_.connect);
    c->socket.async_connect(agent_, [this, c](asio::error_code error) {
        if (c->dead) return;
        if (error) return broken(c, error.message());
        heard();
        ask(c);
    });
}

void Watch::stop() {
    stopped_ = true;
    drop();
}

void Watch::drop() {
    silence_.cancel();
    again_.cancel();
    if (!connection_) return;
    connection_->dead = true;
    asio::error_code ignored;
    connection_->socket.close(ignored);
}

// The old address may be about to close: nothing is waited for there, and what it had yet to tell comes from
// the new one, which is asked from the same generation.
void Watch::move(const asio::ip::tcp::endpoint& agent) {
    if (stopped_ || agent == agent_) return;
    agent_ = agent;
    drop();
    start();
}

// The agent may say nothing at all, while its connection stays up: without a line for too long the watch
// counts as dead, whatever TCP thinks.
void Watch::expectWithin(Millis wait) {
    silence_.expires_after(micros(wait));
    silence_.async_wait([this, c = connection_](asio::error_code error) {
        if (!error && !c->dead) broken(c, "silent for too long");
    });
}

void Watch::ask(const Held& c) {
    c->request = fmt::format("GET /discovery/hosts?watch=1&from={} HTTP/1.1\r\nHost: {}:{}\r\n\r\n",
                             generation_, agent_.address().to_string(), agent_.port());
    asio::async_write(c->socket, asio::buffer(c->request), [this, c](asio::error_code error, std::size_t) {
        if (c->dead) return;
        error ? broken(c, error.message()) : read(c);
    });
}

void Watch::read(const Held& c) {
    c->socket.async_read_some(c->buffer.prepare(kReadSize),
                              [this, c](asio::error_code error, std::size_t got) {
                                  if (c->dead) return;
                                  if (error) return broken(c, error.message());
                                  c->buffer.commit(got);
                                  switch (c->reader->parse()) {
                                      case net::HttpReader::State::more:
                                          break;
                                      case net::HttpReader::State::complete:
                                          return broken(c, "the watch ended");
                                      default:
                                          return broken(c, "the answer was malformed");
                                  }
                                  if (c->dead) return;
                                  if (c->reader->status() != 0 && c->reader->status() != 200)
                                      return broken(c, fmt::format("status {}", c->reader->status()));
                                  read(c);
                              });
}

// Lines may be split anywhere, over chunks and reads alike.
void Watch::onBody(Connection& c, std::string_view bytes) {
    if (c.reader->status() != 200) return;
    for (auto feed = bytes.find('\n'); feed != std::string_view::npos; feed = bytes.find('\n')) {
        const std::string_view piece = bytes.substr(0, feed);
        bytes.remove_prefix(feed + 1);
        heard();
        if (c.line.empty()) {
            onLine(piece);
        } else {
            c.line += piece;
            onLine(std::exchange(c.line, {}));
        }
        if (c.dead) return;
    }
    if (c.line.size() + bytes.size() > kLongestLine) return broken(connection_, "a line without an end");
    c.line += bytes;
}

void Watch::onLine(std::string_view line) {
    if (line.find_first_not_of(" \r\t") == std::string_view::npos) return;  // nothing changed
    Listing listing;
    try {
        listing = parseListing(line, clock_);
    } catch (const BadList& e) {
        // The old list holds. The generation stays too, so that the next watch asks for what was missed.
        counters_.add(Counter::badListUpdates);
        log_.seldom("list", "discovery sent a bad update, the old list holds: {}",
                    field("error", std::string_view(e.what())));
        return;
    }
    generation_ = listing.generation;
    onList_(listing.list);
}

void Watch::broken(const Held& c, const std::string& why) {
    if (c->dead) return;
    c->dead = true;
    silence_.cancel();
    asio::error_code ignored;
    c->socket.close(ignored);
    if (stopped_) return;
    counters_.add(Counter::watchesBroken);
    log_.seldom("watch", "discovery's watch broke, asking again: {}", field("error", why));
    again_.expires_after(micros(times_.again));
    again_.async_wait([this](asio::error_code error) {
        if (!error && !stopped_) start();
    });
}

}  // namespace beechpoint::discovery
