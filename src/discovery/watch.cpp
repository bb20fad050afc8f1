#include "discovery/watch.hpp"

#include <fmt/format.h>

#include <asio/write.hpp>
#include <chrono>

namespace beechpoint::discovery {

namespace {

constexpr std::size_t kReadSize = 8192;
constexpr std::size_t kLargestList = 4 * 1024 * 1024;  // thousands of hosts; more is no list

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
      again_(io),
      random_(static_cast<std::minstd_rand::result_type>(times.seed % 2147483646 + 1)) {}

void Watch::start() {
    const Held c = connection_ = std::make_shared<Connection>(io_);
    c->reader = std::make_unique<net::HttpReader>(
        net::HttpReader::Kind::response, c->buffer,
        [this, raw = c.get()](std::string_view bytes) { onBody(*raw, bytes); });
    expectWithin(times_.connect);
    c->socket.async_connect(agent_, [this, c](asio::error_code error) {
        if (c->dead) return;
        if (error) return broken(c, error.message());
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
        if (error || c->dead || silence_.expiry() > asio::steady_timer::clock_type::now()) return;
        broken(c, "silent for too long");
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
                                  if (!c->answered) heard();
                                  c->answered = true;
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

// Objects may be split anywhere, over chunks, reads and lines alike: where one ends is told by its braces. A blank line inside
// one says that its rest will not come. Only whole objects and blank lines between them are signs of life.
void Watch::onBody(Connection& connection, std::string_view bytes) {
    if (connection.reader->status() != 200) return;
    const Held c = connection_;
    if (c.get() != &connection || c->dead) return;
    for (const char byte : bytes) {
        if (byte == '\n') {
            if (c->blank && c->object.empty()) heard();
            if (c->blank && !c->object.empty()) return onBad(c, "an object without an end");
            c->blank = true;
        } else if (byte != ' ' && byte != '\t' && byte != '\r') {
            c->blank = false;
        }
        if (c->object.empty()) {
            if (c->blank) continue;
            if (byte != '{') return onBad(c, "not an object");
        }
        c->object += byte;
        if (c->object.size() > kLargestList) return onBad(c, "an object too large");
        if (c->inText) {
            if (!c->escaped && byte == '"') c->inText = false;
            c->escaped = !c->escaped && byte == '\\';
        } else if (byte == '"') {
            c->inText = true;
        } else if (byte == '{') {
            ++c->depth;
        } else if (byte == '}' && --c->depth == 0) {
            onObject(c);
            if (c->dead) return;
        }
    }
}

void Watch::onObject(const Held& c) {
    Listing listing;
    try {
        listing = parseListing(std::exchange(c->object, {}), clock_);
    } catch (const BadList& e) {
        return onBad(c, e.what());
    }
    heard();
    bad_ = 0;
    generation_ = listing.generation;
    onList_(listing.list);
}

// The old list holds and the generation stays. This watch is over: the next change on it would jump over what was missed here.
void Watch::onBad(const Held& c, const std::string& why) {
    counters_.add(Counter::badListUpdates);
    log_.seldom("list", "discovery sent a bad update, the old list holds: {}", field("error", why));
    ++bad_;
    broken(c, "a bad update");
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
    const Millis step = std::min(times_.again * static_cast<Millis>(1 << std::min(bad_, 10)),
                                 std::max(times_.again, times_.againBad));
    again_.expires_after(
        micros(step * (1 + std::uniform_real_distribution<>(0, bad_ > 0 ? 0.2 : 1)(random_))));
    again_.async_wait([this](asio::error_code error) {
        if (!error && !stopped_ && !live()) start();
    });
}

}  // namespace beechpoint::discovery
