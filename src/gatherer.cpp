#include "gatherer.hpp"

#include <algorithm>
#include <chrono>

#include "back/frames.hpp"
#include "back/search.hpp"

namespace beechpoint {

namespace {

constexpr Millis kKeepAccepting = 500;  // the front hears of the stop within this
constexpr Millis kStopWithin = 3200;    // killed some 3.7 s after the signal
constexpr Millis kDrainLook = 20;
constexpr std::size_t kOwnSockets = 24;  // files, signals, discovery, timers
constexpr std::size_t kMostHostSockets = 400;

std::chrono::microseconds micros(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(std::max(ms, 0.0) * 1000) + 1);
}

std::size_t hostSockets(std::size_t sockets) { return std::min(sockets / 2, kMostHostSockets); }

// The track hosts' connections, as they speak.
back::ConnectionLimits hostLimits(const Config& config) {
    back::ConnectionLimits limits = config.connections;
    limits.total = hostSockets(config.sockets);
    if (config.searchTrackHosts) {  // one search at a time on a connection, so more of these
        limits.perHost = limits.calls;
        limits.calls = limits.bundle = 1;
    }
    return limits;
}
back::Pool::Make hostMaker(const Config& config) {
    if (!config.searchTrackHosts) return back::FrameConnection::make;
    back::IndexOfClass indexes;
    for (const auto& [index, klass] : config.search->classOfIndex) indexes.emplace(klass, index);
    return back::SearchConnection::maker(std::move(indexes));
}

// Descriptors left for clients once the track hosts have theirs.
std::size_t clientSockets(std::size_t sockets) {
    const std::size_t taken = hostSockets(sockets) + kOwnSockets;
    return std::max<std::size_t>(16, sockets - std::min(sockets, taken));
}

}  // namespace

Gatherer::Gatherer(asio::io_context& io, const Config& config, const Clock& clock, Counters& counters,
                   Logger& log)
    : config_(config),
      clock_(clock),
      log_(log),
      timer_(io),
      stopTimer_(io),
      exchange_(config.settings, config.seed, clock, counters, log, [this](Millis at) { wake(at); }),
      hosts_(io, clock, counters, log, exchange_, hostLimits(config), hostMaker(config)),
      platform_(exchange_, clock, counters),
      server_(
          io, clock, log, clientSockets(config.sockets),
          [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
              platform_.handle(message, connection);
          }),
      watch_(io, clock, counters, log, config.discovery, config.known.generation,
             [this](const HostList& list) { exchange_.list(list); }) {
    exchange_.attach(hosts_);
    if (config.snmp)
        snmp_ = std::make_unique<snmp::Agent>(io, counters, snmp::objectsOf(counters, config.name, clock),
                                              config.snmpCommunity);
    if (!config.search) return;
    search_ = std::make_unique<front::OpenSearch>(
        exchange_, clock, counters,
        front::SearchSettings{config.search->classOfIndex, config.settings.shards}, config.seed);
    searchServer_ = std::make_unique<net::HttpServer>(
        io, clock, log, clientSockets(config.sockets) / 2,
        [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
            search_->handle(message, connection);
        });
}

void Gatherer::start() {
    exchange_.list(config_.known.list);
    watch_.start();
    // Discovery may be silent for long: the list as last known is enough to serve.
    platform_.ready(true);
    server_.listen(config_.listen);
    if (snmp_) snmp_->listen(*config_.snmp);
    if (searchServer_) searchServer_->listen(config_.search->listen);
    log_.info("{} serves on {}:{} with {} hosts known", field("name", config_.name),
              field("address", config_.listen.address().to_string()), field("port", endpoint().port()),
              field("hosts", config_.known.list.entries.size()));
}

void Gatherer::reload(const Config& fresh) {
    log_.info("configuration read again: discovery at {}:{}",
              field("address", fresh.discovery.address().to_string()), field("port", fresh.discovery.port()));
    if (fresh.listen != config_.listen || fresh.name != config_.name)
        log_.warn("name and listen change only with a restart");
    watch_.move(fresh.discovery);
}

void Gatherer::wake(Millis at) {
    timer_.expires_after(micros(at - clock_.now()));
    timer_.async_wait([this](asio::error_code error) {
        if (!error) exchange_.tick();
    });
}

void Gatherer::stop(std::function<void()> done) {
    if (stopped_) return;
    log_.info("stopping: {} queries held", field("queries", exchange_.live()));
    stopped_ = std::move(done);
    stopBy_ = clock_.now() + kStopWithin;
    platform_.ready(false);
    server_.beginClosing();
    if (searchServer_) searchServer_->beginClosing();
    stopTimer_.expires_after(micros(kKeepAccepting));
    stopTimer_.async_wait([this](asio::error_code error) {
        if (error) return;
        server_.stopAccepting();
        if (searchServer_) searchServer_->stopAccepting();
        drain();
    });
}

std::size_t Gatherer::connections() const {
    return server_.connections() + (searchServer_ ? searchServer_->connections() : 0);
}

void Gatherer::drain() {
    server_.closeIdle();
    if (searchServer_) searchServer_->closeIdle();
    if (connections() == 0 || clock_.now() >= stopBy_) {
        log_.info("stopped: {} queries left", field("queries", exchange_.live()));
        watch_.stop();
        if (snmp_) snmp_->close();
        hosts_.close();
        server_.closeAll();
        if (searchServer_) searchServer_->closeAll();
        return stopped_();
    }
    stopTimer_.expires_after(micros(kDrainLook));
    stopTimer_.async_wait([this](asio::error_code error) {
        if (!error) drain();
    });
}

}  // namespace beechpoint
