#include "gateway/gateway.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <stdexcept>

#include "backend/pool.hpp"
#include "core/metrics_text.hpp"
#include "core/random_seed.hpp"

namespace beechpoint::gateway {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr Millis kLook = 250;  // between looks at what depends on time
constexpr Millis kControlSilent =
    2500;                             // without an answer of control: the platform's list is read from here
constexpr Millis kOwnReading = 2500;  // between own readings of the platform's list
constexpr Millis kFleetMemory = 20'000;     // the number of gateways last heard of counts so long
constexpr Millis kIdleWhileStopping = 500;  // a kept connection is closed after being idle so long
constexpr Millis kStopLook = 50;
constexpr std::size_t kReservedDescriptors = 232;  // 200 are the platform's; listeners, control, platform
constexpr std::size_t kReadinessClients = 16;
constexpr std::size_t kDirectoryClients = 256;
constexpr double kMostTtlS = 2;          // of the directory's answers
constexpr Millis kClientPause = 10'000;  // between bytes of a body
// What a client may send before a configuration is known: a request must not be called too large by a bound that nobody set.
constexpr std::size_t kHeadUnconfigured = 64 * 1024;
constexpr std::size_t kBodyUnconfigured = 4 * 1024 * 1024;

asio::ip::tcp::endpoint endpointOf(const std::string& text, const char* field) {
    const auto endpoint = backend::readEndpoint(text);
    if (!endpoint)
        throw std::runtime_error(
            fmt::format("listen_addresses.{} must be ADDRESS:PORT, not {}", field, text));
    return *endpoint;
}

dispatch::Settings dispatchSettings(const settings::ProcessSettings& settings, const Policy& policy) {
    dispatch::Settings out;
    out.mechanisms = policy.mechanisms;
    out.prices = policy.prices;
    out.region = settings.region;
    out.zone = settings.zone;
    out.retryBudgetRatio = settings.timingBounds.retryBudgetRatio;
    out.retryWindow = settings.timingBounds.retryWindowS * 1000;
    out.retryBudgetSlack = settings.timingBounds.retryBudgetSlack;
    out.warmupOvershoot = settings.timingBounds.warmupOvershoot;
    out.warmupSlack = settings.timingBounds.warmupSlack;
    return out;
}

host_discovery::Poller::Settings platformSettings(const settings::ProcessSettings& settings) {
    host_discovery::Poller::Settings out;
    out.address = settings.cloudApi.address;
    out.reader.period = kOwnReading;
    return out;
}

DrainSettings drainSettings(const settings::ProcessSettings& settings, double directoryTtlS) {
    DrainSettings out;
    out.grace = settings.timingBounds.graceS * 1000;
    out.directoryTtl = directoryTtlS * 1000;
    out.seedLag = settings.timingBounds.seedLagS * 1000;
    return out;
}

double directoryTtl(const settings::ProcessSettings& settings) {
    return std::min(settings.timingBounds.ttlMaxS, kMostTtlS);
}

// Control members listen for their own kind, and for gateways, at the first internal port.
std::vector<std::string> internalAddresses(const settings::ProcessSettings& settings) {
    std::vector<std::string> addresses;
    for (const std::string& seed : settings.seedNodes) {
        const auto address = upstream::HostAddress::parse(seed);
        if (address)
            addresses.push_back(fmt::format("{}:{}", address.value().ip, settings.internalPortRange.first));
    }
    return addresses;
}

std::size_t clientConnections(const settings::ProcessSettings& settings) {
    const auto open = static_cast<std::size_t>(std::max<std::int64_t>(settings.limits.maxOpenFiles, 0));
    return open > 2 * kReservedDescriptors ? (open - kReservedDescriptors) / 2 : kReservedDescriptors / 2;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, settings::ProcessSettings settings, const Policy& policy,
                 const Clock& clock, Logger& log)
    : io_(io),
      settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      session_(drawSeed()),
      sharesLoad_(policy.mechanisms.on(dispatch::Mechanism::sharedLoad)),
      exchange_(io, clock, log, dispatchSettings(settings_, policy), drawSeed()),
      load_(io, clock, log, {settings_.nodeName, settings_.zone, settings_.region, session_},
            [this](const dispatch::PeerLoad& load) { exchange_.tell(load); }),
      control_(io, clock, log, settings_.nodeName, drawSeed(),
               {[this] { return pollRequest(); },
                [this](const control::PollReply& reply, Millis sentAt) { onPollReply(reply, sentAt); }}),
      platform_(
          io, clock, log, platformSettings(settings_), drawSeed(), session_,
          [this](const std::shared_ptr<const host_discovery::HostList>& list, Millis confirmedAt, bool) {
              if (hosts_.offer(list, confirmedAt, clock_.now())) tellHosts();
          }),
      directory_(
          clock, [this] { return knownGateways(); }, directoryTtl(settings_)),
      front_(io, clock, log, clientConnections(settings_),
             [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
                 exchange_.take(message, client);
             }),
      readiness_(io, clock, log, kReadinessClients,
                 [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
                     if (message.path() == kMetricsPath)
                         return client->respond(200, kMetricsContentType, metrics());
                     client->respond(ready() ? 200 : 503, "application/json",
                                     ready() ? R"({"ready":true})" : R"({"ready":false})");
                 }),
      directoryServer_(
          io, clock, log, kDirectoryClients,
          [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
              directory_.handle(message, client);
          }),
      timer_(io),
      drain_(drainSettings(settings_, directoryTtl(settings_))) {
    net::HttpLimits limits;
    limits.strict = true;
    limits.announceIdle = true;
    limits.bodyPause = kClientPause;
    limits.head = kHeadUnconfigured;
    limits.body = kBodyUnconfigured;
    front_.limits(limits);
    if (sharesLoad_) exchange_.onLoad([this](const auto& changed) { load_.ownLoad(changed); });
    exchange_.takeOnlyIf([this](Millis mayLast) { return drain_.accepts(clock_.now(), mayLast); });
}

void Gateway::start() {
    startedAt_ = clock_.now();
    front_.listen(endpointOf(settings_.listenAddresses.front, "front"));
    if (!settings_.listenAddresses.readiness.empty())
        readiness_.listen(endpointOf(settings_.listenAddresses.readiness, "readiness"));
    if (!settings_.listenAddresses.directory.empty())
        directoryServer_.listen(endpointOf(settings_.listenAddresses.directory, "directory"));
    if (sharesLoad_)
        load_.start(settings_.ipAddress, static_cast<std::uint16_t>(settings_.internalPortRange.first));
    control_.seeds(internalAddresses(settings_));
    control_.start();
    log_.info("gateway {} serves at {}", field("name", settings_.nodeName),
              field("address", settings_.listenAddresses.front));
    look();
}

void Gateway::reload(const settings::ProcessSettings& settings) {
    settings_.seedNodes = settings.seedNodes;
    control_.seeds(internalAddresses(settings_));
    log_.info("settings read again: {} seeds", field("seeds", settings_.seedNodes.size()));
}

bool Gateway::ready() const { return !drain_.begun() && table_.configured() && hosts_.list() != nullptr; }

std::string Gateway::metrics() const {
    const Millis now = clock_.now();
    const upstream::UpstreamCounts& counts = exchange_.upstreamCounts();
    const auto figure = [](auto value) { return static_cast<double>(value); };
    const auto seconds = [now](Millis since) { return (now - since) / 1000; };
    MetricsText text;
    text.gauge("beechpoint_gateway_ready", "1 while clients may be sent here.", figure(ready()));
    text.gauge("beechpoint_gateway_draining", "1 after SIGTERM.", figure(drain_.begun()));
    text.gauge("beechpoint_gateway_position_epoch", "Epoch of the table held.",
               figure(table_.position().epoch));
    text.gauge("beechpoint_gateway_position_sequence", "Sequence of the table held.",
               figure(table_.position().sequence));
    text.gauge("beechpoint_gateway_control_silence_seconds", "Since control last answered a poll.",
               seconds(std::max(control_.heardAt(), startedAt_)));
    text.gauge("beechpoint_gateway_live_gateways", "Gateways that control last spoke of.",
               figure(liveGateways_));
    if (const auto& list = hosts_.list()) {
        text.gauge("beechpoint_gateway_host_list_hosts", "Hosts of the platform's list.",
                   figure(list->hosts.size()));
        text.gauge("beechpoint_gateway_host_list_age_seconds", "Since the list was last read or confirmed.",
                   hosts_.age(now).value_or(0) / 1000);
    }
    text.gauge("beechpoint_gateway_client_connections", "Open connections of clients.",
               figure(front_.connections()));
    text.gauge("beechpoint_gateway_open_requests", "Requests under way.", figure(exchange_.live()));
    text.gauge("beechpoint_gateway_open_attempts", "Attempts at hosts under way.",
               figure(exchange_.attemptsOut()));
    text.counter("beechpoint_gateway_requests_total", "Requests that had a route.",
                 figure(exchange_.requestsTaken()));
    text.gauge("beechpoint_gateway_host_connections", "Open connections to hosts.",
               figure(exchange_.upstreamConnections()));
    text.counter("beechpoint_gateway_host_exchanges_total", "Requests sent to hosts.",
                 figure(counts.exchanges));
    text.counter("beechpoint_gateway_host_dials_total", "Connections begun to hosts.", figure(counts.dials));
    text.counter("beechpoint_gateway_host_dial_failures_total", "Of these, those that failed.",
                 figure(counts.dialFailures));
    text.counter("beechpoint_gateway_host_reuses_total", "Requests on connections used before.",
                 figure(counts.reuses));
    text.counter("beechpoint_gateway_host_surplus_total",
                 "Connections closed for bytes that belong to no request.", figure(counts.surplus));
    return text.text();
}

control::PollRequest Gateway::pollRequest() const {
    control::PollRequest request;
    request.gateway = self();
    request.position = table_.position();
    request.hostList = hosts_.versionToAskWith();
    request.takesHostChanges = true;
    request.takesPackedState = true;
    request.directoryDigest = directoryDigest_;
    return request;
}

leases::Gateway Gateway::self() const {
    leases::Gateway gateway;
    gateway.name = settings_.nodeName;
    gateway.session = session_;
    gateway.zone = settings_.zone;
    gateway.region = settings_.region;
    gateway.frontAddress = settings_.advertised(settings_.listenAddresses.front);
    gateway.ready = ready();
    gateway.draining = drain_.begun();
    return gateway;
}

// What control told, but for this gateway, which knows its own state better.
std::vector<leases::Gateway> Gateway::knownGateways() const {
    std::vector<leases::Gateway> all = gateways_;
    std::erase_if(all, [&](const leases::Gateway& gateway) { return gateway.name == settings_.nodeName; });
    all.push_back(self());
    return all;
}

void Gateway::onPollReply(const control::PollReply& reply, Millis) {
    const bool wasReady = ready();
    const Millis now = clock_.now();
    if (reply.table) takeTable(*reply.table);
    if (hosts_.take(reply, now)) tellHosts();
    if (reply.directory) {
        gateways_ = *reply.directory;
        directoryDigest_ = reply.directoryDigest;
        load_.gateways(gateways_);
    }
    const auto live = reply.largestLive ? reply.largestLive : reply.liveGateways;
    if (live && *live > 0) {
        liveGateways_ = *live;
        liveKnownAt_ = now;
    }
    exchange_.sharedBy(std::max<std::uint32_t>(liveGateways_, 1));
    dispatch::Fleet fleet;
    fleet.liveGateways = static_cast<int>(std::max<std::uint32_t>(liveGateways_, 1));
    fleet.known = liveGateways_ > 0 && now - liveKnownAt_ < kFleetMemory;
    exchange_.tell(fleet);
    if (ready() != wasReady) control_.pollNow();
    directory_.look();
}

void Gateway::takeTable(const TableUpdate& update) {
    if (!table_.apply(update)) return;
    const auto& routes = *table_.current();
    net::HttpLimits limits = front_.limits();
    limits.head = static_cast<std::size_t>(routes.limits().maxHeaderBytes);
    limits.body = static_cast<std::size_t>(routes.limits().maxBodyBytes);
    limits.partialHead = routes.limits().headerTimeoutMs;
    limits.silent = routes.limits().idleTimeoutMs;
    limits.idle = routes.limits().idleTimeoutMs;
    front_.limits(limits);
    exchange_.routes(table_.current());
    tellServices();
}

void Gateway::tellServices() {
    dispatch::Services services;
    for (const auto& [name, entry] : table_.current()->services()) {
        dispatch::Service service;
        service.name = name;
        service.warmupS = entry->service.warmupS;
        service.warmupPerS = entry->service.warmupPerS;
        service.maxConnections = static_cast<int>(entry->service.maxConnections);
        service.engine = entry->service.inferenceEngine.has_value();
        if (service.engine)
            service.cacheTokens = static_cast<std::uint64_t>(entry->service.inferenceEngine->cacheTokens);
        services.services.push_back(std::move(service));
    }
    exchange_.tell(std::move(services));
    dispatch::Evacuated evacuated;
    for (const std::string& zone : table_.current()->evacuatedZones()) evacuated.zones.push_back(zone);
    exchange_.tell(std::move(evacuated));
}

void Gateway::tellHosts() {
    const Millis age = clock_.now() - hosts_.list()->readAt;
    dispatch::Hosts event;
    for (const host_discovery::Host& host : hosts_.list()->hosts) {
        dispatch::Host one;
        one.instanceId = host.instanceId;
        one.service = host.service;
        one.address = host.address;
        one.zone = host.zone;
        one.region = settings_.regionOf(host.zone);
        one.capacity = static_cast<int>(std::max<std::uint32_t>(host.capacity, 1));
        one.state = host.state == host_discovery::HostState::draining ? dispatch::HostState::draining
                                                                      : dispatch::HostState::serving;
        one.warmupLeft = std::max(host.warmupLeft - age, 0.0);
        if (host.remaining) one.remaining = std::max(*host.remaining - age, 0.0);
        event.hosts.push_back(std::move(one));
    }
    exchange_.tell(std::move(event));
}

// Reads the platform's list from here while control is silent, and leaves it to control otherwise.
void Gateway::look() {
    const Millis now = clock_.now();
    directory_.look();
    const Millis heard = std::max(control_.heardAt(), startedAt_);
    const bool silent = now - heard > kControlSilent;
    if (silent && !platform_.running()) {
        log_.seldom("control", "control is silent; the platform's list is read from here");
        platform_.start(0, hosts_.version().number, hosts_.list());
    } else if (!silent && platform_.running()) {
        platform_.stop();
    }
    lookAfter(kLook);
}

void Gateway::lookAfter(Millis pause) {
    timer_.expires_after(toMicroseconds(pause));
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        drain_.begun() ? lookWhileStopping() : look();
    });
}

void Gateway::stop(std::function<void()> ended) {
    if (drain_.begun()) return;
    drain_.begin(clock_.now());
    ended_ = std::move(ended);
    log_.info("gateway {} drains: {} requests are open", field("name", settings_.nodeName),
              field("open", exchange_.live()));
    front_.closing(true);
    directory_.leave();
    control_.pollNow();
    lookWhileStopping();
}

void Gateway::lookWhileStopping() {
    const Millis now = clock_.now();
    if (!drain_.listens(now)) {
        front_.stopAccepting();
        front_.closeIdle(kIdleWhileStopping);
    }
    const bool busy = exchange_.live() > 0 || front_.connections() > 0;
    if (!drain_.ends(now, busy)) return lookAfter(kStopLook);
    exchange_.endAll();
    load_.stop();
    control_.stop();
    platform_.stop();
    log_.info("gateway {} ends", field("name", settings_.nodeName));
    ended_();
}

}  // namespace beechpoint::gateway
