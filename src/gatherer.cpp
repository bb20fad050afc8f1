#include "gatherer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "backend/frames.hpp"
#include "backend/search.hpp"

namespace beechpoint {

namespace {

constexpr Millis kCloseLook = 20;
// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as kMostWaited where it is longer, and kThenKilled.
constexpr Millis kMostWaited = 3000, kThenKilled = 700;
constexpr Millis kBeforeKill = 150;      // the process is gone by then
constexpr Millis kToAnswer = 150;        // for what is left then to be read
constexpr std::size_t kOwnSockets = 24;  // files, signals, discovery, timers
constexpr std::size_t kMostHostSockets = 400;
constexpr std::size_t kMinClientSockets = 16;

std::size_t hostSockets(std::size_t sockets) { return std::min(sockets / 2, kMostHostSockets); }

// The track hosts' connections, as they speak.
backend::ConnectionLimits hostLimits(const Config& config) {
    backend::ConnectionLimits limits = config.connections;
    limits.total = hostSockets(config.sockets);
    if (config.searchTrackHosts) {  // one search at a time on a connection, so more of these
        limits.perHost = limits.calls;
        limits.calls = limits.bundle = 1;
    }
    return limits;
}
backend::Pool::Make hostMaker(const Config& config) {
    if (!config.searchTrackHosts) return backend::FrameConnection::make;
    backend::IndexOfClass indexes;
    for (const auto& [index, klass] : config.search->classOfIndex) indexes.emplace(klass, index);
    return backend::SearchConnection::maker(std::move(indexes));
}

// Connections left for clients once the track hosts have theirs, by the limits of sockets and of memory.
std::size_t clientSockets(const Config& config) {
    const std::size_t operatorPlaces = config.operatorEndpoint ? admin::OperatorEndpoint::kPlaces + 1 : 0;
    const std::size_t taken = hostSockets(config.sockets) + kOwnSockets + operatorPlaces;
    const std::size_t bySockets = config.sockets - std::min(config.sockets, taken);
    const std::size_t byMemory = net::ConnectionMemory::of(config.memoryMb).mostConnections();
    return std::max<std::size_t>(kMinClientSockets, std::min(bySockets, byMemory));
}

// A third of them is the query API's where that is served.
std::size_t searchSockets(const Config& config) { return config.search ? clientSockets(config) / 3 : 0; }
std::size_t platformSockets(const Config& config) { return clientSockets(config) - searchSockets(config); }

// The fronts refuse with 429.
net::HttpLimits frontLimits() {
    net::HttpLimits limits;
    limits.overloadStatus = 429;
    return limits;
}

admin::LifecycleTimes lifecycleTimes(const Config& config) {
    admin::LifecycleTimes times;
    Millis longest = 0;
    for (const auto& c : config.settings.classes) longest = std::max(longest, fromNanos(c.deadline));
    times.stopWithin = std::min(longest, kMostWaited) + kThenKilled - kBeforeKill;
    times.answerWithin = times.stopWithin - kToAnswer;
    return times;
}

discovery::WatchTimes watchTimes(const Config& config) {
    discovery::WatchTimes times;
    times.seed = config.seed;
    return times;
}

}  // namespace

Gatherer::Gatherer(asio::io_context& io, const Config& config, const Clock& clock, Counters& counters,
                   Logger& log)
    : config_(config),
      clock_(clock),
      counters_(counters),
      log_(log),
      timer_(io),
      stopTimer_(io),
      exchange_(config.settings, config.seed, clock, counters, log, [this](Millis at) { wake(at); }),
      hosts_(io, clock, counters, log, exchange_, hostLimits(config), hostMaker(config)),
      lifecycle_(lifecycleTimes(config)),
      platform_(exchange_, clock, counters, [this] { return lifecycle_.up(overlap_.successor()); }),
      memory_(net::ConnectionMemory::of(config.memoryMb).heldBytes),
      server_(
          io, clock, log, platformSockets(config),
          [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
              platform_.handle(message, connection);
          }),
      watch_(
          io, clock, counters, log, config.discovery, config.known.generation,
          [this](const HostList& list) { exchange_.list(bans_.overlay(list)); }, watchTimes(config)) {
    exchange_.attach(hosts_);
    server_.onFarAhead([this] { counters_.add(Counter::clientsFarAhead); });
    if (config.operatorEndpoint) {
        banFile_ = std::make_unique<admin::BanFile>(
            io, log, config.stateFolder, config.name,
            [this](admin::HostBans::Hosts out) { exchange_.list(bans_.take(std::move(out))); });
        record_ = std::make_unique<admin::OverlapRecord>(io, log, config.stateFolder, config.name, overlap_,
                                                         [this] { shareLimits(); });
        operatorEndpoint_ = std::make_unique<admin::OperatorEndpoint>(io, clock, log, *this);
    }
    if (config.snmp)
        snmp_ = std::make_unique<snmp::Agent>(io, counters, snmp::objectsOf(counters, config.name, clock),
                                              config.snmpCommunity);
    if (config.group)
        group_ =
            std::make_unique<cluster::ClusterMember>(io, clock, counters, log, *config.group, config.name);
    if (config.group && !config.group->proberDuty.empty()) exchange_.attach(static_cast<HostProbes&>(*this));
    if (!config.search) return;
    search_ = std::make_unique<frontend::OpenSearch>(
        exchange_, clock, counters,
        frontend::SearchSettings{config.search->classOfIndex, config.settings.shards}, config.seed);
    searchServer_ = std::make_unique<net::HttpServer>(
        io, clock, log, searchSockets(config),
        [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
            search_->handle(message, connection);
        });
    searchServer_->onFarAhead([this] { counters_.add(Counter::clientsFarAhead); });
}

void Gatherer::boundMemory() {
    const int receiveBuffer =
        net::ConnectionMemory::of(config_.memoryMb).receiveBuffer(clientSockets(config_));
    for (net::HttpServer* const server : {&server_, searchServer_.get()}) {
        if (!server) continue;
        server->limits(frontLimits());
        server->memory(memory_, receiveBuffer);
    }
}

void Gatherer::start() {
    boundMemory();
    exchange_.list(bans_.overlay(config_.known.list));
    if (banFile_) banFile_->start();  // nothing is sent yet
    watch_.start();
    // Discovery may be silent for long: the list as last known is enough to serve.
    const bool shared =
        operatorEndpoint_ != nullptr;  // operators upgrade by a second process beside this one
    if (record_) record_->start(clock_.toUnix(clock_.now()));
    if (operatorEndpoint_) operatorEndpoint_->listen(*config_.operatorEndpoint);
    server_.listen(config_.listen, shared);
    if (snmp_) snmp_->listen(*config_.snmp);
    if (group_) group_->start();
    if (searchServer_) searchServer_->listen(config_.search->listen, shared);
    lifecycle_.served();
    lifecycleChanged();
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
    timer_.expires_after(toMicroseconds(at - clock_.now()));
    timer_.async_wait([this](asio::error_code error) {
        if (!error) exchange_.tick();
    });
}

// ---- starting, draining, stopping: as the lifecycle says

void Gatherer::stop(std::function<void()> done) {
    if (!lifecycle_.terminate(clock_.now())) return;
    log_.info("stopping: {} queries held", field("queries", exchange_.live()));
    if (group_) group_->leave();
    stopped_ = std::move(done);
    lifecycleChanged();
}

bool Gatherer::drain(bool start) {
    const bool yes = start ? lifecycle_.drainStart() : lifecycle_.drainStop();
    if (group_ && yes && lifecycle_.state() != admin::Lifecycle::State::stopping)
        start ? group_->leave(false) : group_->resume();  // others take its duties meanwhile
    lifecycleChanged();
    return yes;
}

// Two processes of one upgrade keep to the limits of one: descriptors and what may be open.
void Gatherer::shareLimits() {
    if (group_ && overlap_.successor()) group_->handOver();
    if (group_ && overlap_.others() == 0) group_->takeBack();  // an upgrade that failed
    const double share = overlap_.share();
    if (std::exchange(share_, share) == share) return;
    const auto part = [share](std::size_t all) {
        return static_cast<std::size_t>(static_cast<double>(all) * share);
    };
    log_.info("{} other processes of this gatherer live, own share of the limits {}",
              field("others", overlap_.others()), field("share", fmt::format("{:.2f}", share)));
    exchange_.share(share);
    hosts_.limit(part(hostSockets(config_.sockets)));
    server_.limit(part(platformSockets(config_)));
    if (searchServer_) searchServer_->limit(part(searchSockets(config_)));
}

void Gatherer::lifecycleChanged() {
    if (record_) record_->publish(lifecycle_.state());
    server_.closing(lifecycle_.closing());
    if (searchServer_) searchServer_->closing(lifecycle_.closing());
    if (lifecycle_.closing() && !closingSome_) closeSome();
}

// While closing: idle connections go, and when the process stops, the listeners and then the rest.
void Gatherer::closeSome() {
    closingSome_ = lifecycle_.closing();
    if (!closingSome_) return;
    if (!lifecycle_.listening(clock_.now(), overlap_.successor())) {
        server_.stopAccepting();
        if (searchServer_) searchServer_->stopAccepting();
    }
    if (lifecycle_.lastCall(clock_.now()) && exchange_.live() > 0) {
        log_.info("no time left: {} queries are given up", field("queries", exchange_.live()));
        exchange_.endAll();
    }
    server_.closeIdle(lifecycle_.mayIdle(clock_.now()));
    if (searchServer_) searchServer_->closeIdle(lifecycle_.mayIdle(clock_.now()));
    if (lifecycle_.over(clock_.now(), connections(), overlap_.successor())) return finish();
    stopTimer_.expires_after(toMicroseconds(kCloseLook));
    stopTimer_.async_wait([this](asio::error_code error) {
        if (!error) closeSome();
    });
}

void Gatherer::finish() {
    log_.info("stopped: {} queries left", field("queries", exchange_.live()));
    watch_.stop();
    if (snmp_) snmp_->close();
    if (group_) group_->close();
    hosts_.close();
    server_.closeAll();
    if (searchServer_) searchServer_->closeAll();
    if (operatorEndpoint_) operatorEndpoint_->close();
    if (record_) record_->stop();
    if (banFile_) banFile_->stop();
    stopped_();
}

std::size_t Gatherer::connections() const {
    return server_.connections() + (searchServer_ ? searchServer_->connections() : 0);
}

// ---- what operators ask

std::string Gatherer::stats() const {
    nlohmann::json success = nlohmann::json::object(), busy = success, failure = success;
    for (const auto& [name, c] : exchange_.figures().classes()) {
        success[name] = c.served;
        busy[name] = c.refused;
        failure[name] = c.failed;
    }
    return nlohmann::json{{"success", std::move(success)},
                          {"busy", std::move(busy)},
                          {"failure", std::move(failure)},
                          {"backend_calls", counters_.get(Counter::attemptsWritten)},
                          {"inflight", exchange_.figures().inFlight()},
                          {"hosts_listed", exchange_.hostsListed()},
                          {"hosts_down", exchange_.hostsDown()}}
        .dump();
}

void Gatherer::singletonRole(bool take, const std::string& name, const std::string& to,
                             std::function<void(Settled)> later) {
    const auto then = [later = std::move(later)](cluster::ClusterMember::OperationEnd end) {
        later({end.isKnown, end.succeeded, end.fencingToken});
    };
    if (!group_) return then({true, false, 0});
    take ? group_->acquireRole(name, then) : group_->releaseRole(name, to, then);
}

void Gatherer::trackHost(const std::string& id, bool out, Later later) {
    if (!bans_.knows(id)) return later(Reply::unknown);
    banFile_->change(id, out, [later = std::move(later)](bool stored) {
        later(stored ? Reply::done : Reply::impossible);
    });
}

}  // namespace beechpoint
