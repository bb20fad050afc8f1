#include "gateway/gateway.hpp"

#include <algorithm>
#include <utility>

#include "core/metrics_text.hpp"
#include "core/random_seed.hpp"
#include "gateway/dispatcher_updates.hpp"
#include "gateway/gateway_metrics.hpp"

namespace beechpoint::gateway {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kJson = "application/json";
constexpr Millis kCheckPeriod = 250;      // between checks of what depends on time
constexpr Millis kDrainCheckPeriod = 50;  // the same while it drains
constexpr Millis kControlTimeout =
    2500;  // without an answer of control: the platform's list is polled from here
constexpr Millis kFleetMemory = 20'000;        // the number of gateways last reported counts so long
constexpr Millis kIdleWhileDraining = 500;     // a client's connection is closed after being idle so long
constexpr Millis kClientBodyTimeout = 10'000;  // between bytes of a body
// What a client may send before a configuration is known: a request must not be called too large by a bound that nobody set.
constexpr std::size_t kHeadUnconfigured = 64 * 1024;
constexpr std::size_t kBodyUnconfigured = 4 * 1024 * 1024;

}  // namespace

Gateway::Gateway(asio::io_context& io, settings::ProcessSettings settings, const Policy& policy,
                 const Clock& clock, Logger& log)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      session_(drawSeed()),
      sharesLoad_(policy.mechanisms.isEnabled(dispatch::Mechanism::loadReports)),
      exchange_(io, clock, log, dispatchSettings(settings_, policy), drawSeed()),
      load_(io, clock, log, {settings_.nodeName, settings_.zone, settings_.region, session_},
            [this](const dispatch::PeerLoad& load) { exchange_.handle(load); }),
      usage_(io, clock, log, settings_.nodeName, session_, usageWindow(settings_)),
      control_(io, clock, log, settings_.nodeName, drawSeed(),
               {[this] { return pollRequest(); },
                [this](const control::PollReply& reply, Millis) { onPollReply(reply); }}),
      platform_(
          io, clock, log, pollerSettings(settings_), drawSeed(), session_,
          [this](const std::shared_ptr<const host_discovery::HostList>& list, Millis confirmedAt, bool) {
              if (hosts_.offer(list, confirmedAt, clock_.now())) updateHosts();
          }),
      directory_(
          clock, [this] { return knownGateways(); }, directoryTtlSeconds(settings_)),
      listenerLimits_(listenerLimits(settings_)),
      memory_(net::ConnectionMemory::of(settings_.limits.memoryMb).heldBytes),
      front_(io, clock, log, listenerLimits_.front,
             [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
                 exchange_.accept(message, client);
             }),
      readiness_(io, clock, log, listenerLimits_.readiness,
                 [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
                     answerReadiness(message, client);
                 }),
      directoryServer_(
          io, clock, log, listenerLimits_.directory,
          [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& client) {
              directory_.handle(message, client);
          }),
      timer_(io),
      drain_(drainSettings(settings_)) {
    configureFront();
    boundMemory();
    if (sharesLoad_) exchange_.onLoadReport([this](const auto& changed) { load_.ownLoad(changed); });
    exchange_.onRunStarted([this](const std::string& tenant) { usage_.onRunStarted(tenant); });
    exchange_.setTableIsCurrent([this] { return clock_.now() - control_.heardAt() < kControlTimeout; });
    exchange_.setAdmission([this](Millis mayLast) { return drain_.accepts(clock_.now(), mayLast); });
}

void Gateway::configureFront() {
    net::HttpLimits limits;
    limits.strict = true;
    limits.announceIdle = true;
    limits.bodyPause = kClientBodyTimeout;
    limits.head = kHeadUnconfigured;
    limits.body = kBodyUnconfigured;
    front_.limits(limits);
}

void Gateway::boundMemory() {
    const auto memory = net::ConnectionMemory::of(settings_.limits.memoryMb);
    const int receiveBuffer = memory.receiveBuffer(listenerLimits_.total());
    for (net::HttpServer* const server : {&front_, &readiness_, &directoryServer_})
        server->memory(memory_, receiveBuffer);
}

void Gateway::start() {
    startedAt_ = clock_.now();
    front_.listen(listenEndpoint(settings_.listenAddresses.front, "front"));
    if (!settings_.listenAddresses.readiness.empty())
        readiness_.listen(listenEndpoint(settings_.listenAddresses.readiness, "readiness"));
    if (!settings_.listenAddresses.directory.empty())
        directoryServer_.listen(listenEndpoint(settings_.listenAddresses.directory, "directory"));
    if (sharesLoad_)
        load_.start(settings_.ipAddress, static_cast<std::uint16_t>(settings_.internalPortRange.first));
    control_.seeds(controlAddresses(settings_));
    control_.start();
    usage_.start();
    log_.info("gateway {} listens at {}", field("name", settings_.nodeName),
              field("address", settings_.listenAddresses.front));
    checkPeriodically();
}

void Gateway::reload(const settings::ProcessSettings& settings) {
    settings_.seedNodes = settings.seedNodes;
    control_.seeds(controlAddresses(settings_));
    log_.info("settings reloaded: {} seed nodes", field("seeds", settings_.seedNodes.size()));
}

bool Gateway::ready() const { return !drain_.begun() && table_.configured() && hosts_.list() != nullptr; }

void Gateway::answerReadiness(const net::HttpMessage& message,
                              const std::shared_ptr<net::HttpConnection>& client) const {
    if (message.path() == kMetricsPath) return client->respond(200, kMetricsContentType, metrics());
    if (ready()) return client->respond(200, kJson, R"({"ready":true})");
    client->respond(503, kJson, R"({"ready":false})");
}

std::string Gateway::metrics() const {
    const Millis now = clock_.now();
    GatewayFigures figures;
    figures.ready = ready();
    figures.draining = drain_.begun();
    figures.tablePosition = table_.position();
    figures.sinceControlAnswered = now - lastControlContact();
    figures.liveGateways = liveGateways_;
    if (const auto& list = hosts_.list())
        figures.hostList = {list->hosts.size(), hosts_.age(now).value_or(0)};
    figures.clientConnections = front_.connections();
    figures.openRequests = exchange_.openRequests();
    figures.openAttempts = exchange_.openAttempts();
    figures.routedRequests = exchange_.routedRequests();
    figures.endCounts = exchange_.endCounts();
    figures.answerFaults = exchange_.answerFaults();
    figures.closeDelimitedEnds = exchange_.closeDelimitedEnds();
    figures.accessCounts = exchange_.accessCounts();
    const auto table = table_.current();
    figures.revision = table->revision();
    figures.unreadable = table->unreadableCount();
    if (const auto& tenants = table->tenants()) figures.tenants = tenants->size();
    figures.clientMemory = memory_.state().used();
    figures.clientMemoryLimit = memory_.state().limit();
    figures.overload = memory_.counts();
    figures.hostConnections = exchange_.upstreamConnections();
    figures.hostCounts = exchange_.upstreamCounts();
    return metricsPage(figures);
}

control::PollRequest Gateway::pollRequest() const {
    control::PollRequest request;
    request.gateway = self();
    request.position = table_.position();
    request.hostList = hosts_.versionToPollWith();
    request.acceptsHostChanges = true;
    request.acceptsPackedState = true;
    request.clusterId = table_.current()->clusterId();
    transfer_.describe(request);
    request.directoryDigest = directoryDigest_;
    request.unixTime = clock_.toUnix(clock_.now());
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

// Those that control reported, but for this gateway, which knows its own state better.
std::vector<leases::Gateway> Gateway::knownGateways() const {
    std::vector<leases::Gateway> all = gateways_;
    std::erase_if(all, [&](const leases::Gateway& gateway) { return gateway.name == settings_.nodeName; });
    all.push_back(self());
    return all;
}

void Gateway::onPollReply(const control::PollReply& reply) {
    const bool wasReady = ready();
    if (reply.table) updateTable(*reply.table);
    if (const auto update = transfer_.onReply(reply, table_.position())) updateTable(*update);
    if (hosts_.apply(reply, clock_.now())) updateHosts();
    if (reply.directory) updateDirectory(reply);
    updateLiveGateways(reply);
    usage_.onPollReply(reply);
    // Other gateways' directories name this one as soon as control knows that it is ready.
    if (ready() != wasReady) control_.pollNow();
    directory_.answerPending();
}

void Gateway::updateTable(const TableUpdate& update) {
    if (!table_.apply(update)) return;
    const routing::RoutingTable& routes = *table_.current();
    control_.clusterId(routes.clusterId());
    net::HttpLimits limits = front_.limits();
    limits.head = static_cast<std::size_t>(routes.limits().maxHeaderBytes);
    limits.body = static_cast<std::size_t>(routes.limits().maxBodyBytes);
    limits.partialHead = routes.limits().headerTimeoutMs;
    limits.silent = routes.limits().idleTimeoutMs;
    limits.idle = routes.limits().idleTimeoutMs;
    front_.limits(limits);
    exchange_.setRoutes(table_.current());
    exchange_.handle(servicesOf(routes));
    exchange_.handle(evacuationsOf(routes));
}

void Gateway::updateDirectory(const control::PollReply& reply) {
    gateways_ = *reply.directory;
    directoryDigest_ = reply.directoryDigest;
    load_.gateways(gateways_);
}

void Gateway::updateLiveGateways(const control::PollReply& reply) {
    const Millis now = clock_.now();
    const auto live = reply.maxLiveGateways ? reply.maxLiveGateways : reply.liveGatewayCount;
    if (live && *live > 0) {
        liveGateways_ = *live;
        liveGatewaysAt_ = now;
    }
    const std::uint32_t gateways = std::max<std::uint32_t>(liveGateways_, 1);
    exchange_.setLiveGateways(gateways);
    dispatch::Fleet fleet;
    fleet.liveGateways = static_cast<int>(gateways);
    fleet.known = liveGateways_ > 0 && now - liveGatewaysAt_ < kFleetMemory;
    exchange_.handle(fleet);
}

void Gateway::updateHosts() { exchange_.handle(hostsOf(*hosts_.list(), settings_, clock_.now())); }

Millis Gateway::lastControlContact() const { return std::max(control_.heardAt(), startedAt_); }

// Polls the platform's list from here while control doesn't answer, and leaves it to control otherwise.
void Gateway::checkControlContact() {
    const bool unresponsive = clock_.now() - lastControlContact() > kControlTimeout;
    if (unresponsive && !platform_.running()) {
        log_.seldom("control", "control does not answer; this gateway polls the platform's host list itself");
        platform_.start(0, hosts_.version().number, hosts_.list());
    } else if (!unresponsive && platform_.running()) {
        platform_.stop();
    }
}

void Gateway::checkPeriodically() {
    directory_.answerPending();
    checkControlContact();
    checkAfter(kCheckPeriod);
}

void Gateway::checkAfter(Millis delay) {
    timer_.expires_after(toMicroseconds(delay));
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        if (drain_.begun())
            checkDrain();
        else
            checkPeriodically();
    });
}

void Gateway::stop(std::function<void()> ended) {
    if (drain_.begun()) return;
    drain_.begin(clock_.now());
    ended_ = std::move(ended);
    log_.info("gateway {} is draining: {} requests are open", field("name", settings_.nodeName),
              field("open", exchange_.openRequests()));
    front_.closing(true);
    directory_.drain();
    usage_.drain();
    control_.pollNow();
    checkDrain();
}

void Gateway::checkDrain() {
    const Millis now = clock_.now();
    if (!drain_.listens(now)) {
        front_.stopAccepting();
        front_.closeIdle(kIdleWhileDraining);
    }
    const bool busy = exchange_.openRequests() > 0 || front_.connections() > 0;
    if (drain_.ends(now, busy))
        shutDown();
    else
        checkAfter(kDrainCheckPeriod);
}

void Gateway::shutDown() {
    exchange_.endAll();
    load_.stop();
    control_.stop();
    usage_.stop();
    platform_.stop();
    log_.info("gateway {} has shut down", field("name", settings_.nodeName));
    ended_();
}

}  // namespace beechpoint::gateway
