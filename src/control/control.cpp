#include "control/control.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "backend/pool.hpp"
#include "configuration/editing.hpp"
#include "control/codec.hpp"
#include "control/directory_service.hpp"
#include "control/gateway_service.hpp"
#include "control/operator_api.hpp"
#include "control/replica_driver.hpp"
#include "control/status.hpp"
#include "core/metrics_text.hpp"
#include "net/server.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxOperators = 128;  // connections to the operator's API
constexpr std::size_t kMaxClients = 1024;   // connections to the directory
constexpr std::size_t kMaxProbers = 16;     // connections to the readiness address
constexpr Millis kBodyPause = 2000;
constexpr auto kTick = std::chrono::milliseconds(static_cast<int>(kServiceTick));
constexpr auto kFreshnessLook = std::chrono::milliseconds(25);
constexpr auto kLeavingLook = std::chrono::milliseconds(20);
constexpr Millis kLeavingMost = 3000;
constexpr Millis kOpenAgain = 500;        // the store, while the disk refuses
constexpr double kLeaseHeartbeats = 2.5;  // a lease in heartbeats of the settings
constexpr Millis kShortestLease = 2500;
constexpr Millis kLongestLease = 5000;
constexpr double kMostTtlSeconds = 2;
constexpr double kMillisPerSecond = 1000;
constexpr const char* kJson = "application/json";

Result<asio::ip::tcp::endpoint> endpointOf(const std::string& text, const char* place) {
    const auto endpoint = backend::readEndpoint(text);
    if (endpoint) return *endpoint;
    return Error{ErrorKind::invalid, place, fmt::format("'{}' is not IP:PORT", text),
                 "write it as 10.0.0.1:8146"};
}

leases::LeaseTable::Settings leaseSettings(const settings::ProcessSettings& settings) {
    leases::LeaseTable::Settings leases;
    leases.leaseMs = std::clamp(kLeaseHeartbeats * settings.heartbeatMs, kShortestLease, kLongestLease);
    leases.windowMs = settings.timingBounds.retryWindowS * kMillisPerSecond;
    return leases;
}

double ttlOf(const settings::ProcessSettings& settings) {
    return std::min(settings.timingBounds.ttlMaxS, kMostTtlSeconds);
}

}  // namespace

class Control::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, settings::ProcessSettings settings,
         Options options)
        : clock_(clock),
          logger_(logger),
          settings_(std::move(settings)),
          options_(options),
          client_(io, logger),
          server_(io, logger),
          driver_(io, clock, logger, client_, {[this] { onTableMoved(); }, [this] { onView(); }}),
          operatorApi_(io, clock, logger, driver_),
          gateways_(io, clock, logger, driver_, client_, serviceSettings(),
                    [this] { directory_.answerPending(); }),
          directory_(
              clock, [this] { return gateways_.liveGateways(); }, ttlOf(settings_)),
          operators_(io, clock, logger, kMaxOperators, handler()),
          clients_(io, clock, logger, kMaxClients, handler()),
          probers_(io, clock, logger, kMaxProbers, handler()),
          tick_(io) {
        net::HttpLimits limits;
        limits.body = kMaxOperatorBody;
        limits.bodyPause = kBodyPause;
        limits.strict = true;
        operators_.limits(limits);
    }

    Result<void> start() {
        if (settings_.dataDirectory.empty()) {
            return Error{ErrorKind::invalid, "data_directory", "the control role needs a disk",
                         "run it on machines that have one"};
        }
        server_.onRequest(
            [this](std::string bytes, rpc::Reply reply) { onRequest(bytes, std::move(reply)); });
        const auto internal = listenInternally();
        if (!internal) return internal;
        for (auto [server, address, place] :
             {Listener{&operators_, &settings_.listenAddresses.control, "control"},
              Listener{&clients_, &settings_.listenAddresses.directory, "directory"},
              Listener{&probers_, &settings_.listenAddresses.readiness, "readiness"}}) {
            const auto listening = listen(*server, *address, place);
            if (!listening) return listening;
        }
        openStore();
        onTick();
        return boost::outcome_v2::success();
    }

    void reload(settings::ProcessSettings settings) {
        if (settings == settings_) return;
        if (settings.seedNodes != settings_.seedNodes) driver_.seeds(settings.seedNodes);
        settings_.seedNodes = std::move(settings.seedNodes);
        settings_.timingBounds = settings.timingBounds;
        settings_.faultTolerance = settings.faultTolerance;
        directory_.ttl(ttlOf(settings_));
        logger_.info("the settings were read anew");
    }

    void stop(std::function<void()> done) {
        if (leaving_) return;
        leaving_ = true;
        stopped_ = std::move(done);
        logger_.info("leaving");
        const Millis half = settings_.timingBounds.graceS * kMillisPerSecond / 2;
        leaveBy_ = clock_.now() + std::min(half, kLeavingMost);
        gateways_.drain();
        operatorApi_.leave();
        directory_.drain();
        for (net::HttpServer* server : servers()) {
            server->stopAccepting();
            server->closing(true);
        }
        onTick();
    }

    // No callback is run from now on.
    void abandon() {
        tick_.cancel();
        leaving_ = true;
        abandoned_ = true;
        for (net::HttpServer* server : servers()) server->closeAll();
    }

    const replica::Replica* replica() const { return driver_.replica(); }
    bool readsHosts() const { return gateways_.readsHosts(); }
    std::size_t pendingLongPolls() const { return gateways_.pendingLongPolls(); }

private:
    struct Listener {
        net::HttpServer* server;
        const std::string* address;
        const char* place;
    };

    std::vector<net::HttpServer*> servers() { return {&operators_, &clients_, &probers_}; }

    GatewayService::Settings serviceSettings() const {
        GatewayService::Settings service;
        service.leases = leaseSettings(settings_);
        service.poller.address = settings_.cloudApi.address;
        service.poller.reader = options_.hostReading;
        service.seed = options_.seed;
        return service;
    }

    std::string internalAddress() const {
        return fmt::format("{}:{}", settings_.ipAddress, settings_.internalPortRange.first);
    }

    Result<void> listenInternally() {
        if (server_.port() != 0) return boost::outcome_v2::success();
        return server_.listen(internalAddress());
    }

    // Without an address the part is not served. A start that is tried again finds some listening already.
    Result<void> listen(net::HttpServer& server, const std::string& address, const char* place) {
        if (address.empty() || listening_.contains(&server)) return boost::outcome_v2::success();
        const auto endpoint = endpointOf(address, place);
        if (!endpoint) return endpoint.error();
        try {
            server.listen(endpoint.value());
            listening_.insert(&server);
        } catch (const std::exception& failure) {
            return Error{ErrorKind::unavailable, place,
                         fmt::format("can't listen on {}: {}", address, failure.what()),
                         "end what uses the address"};
        }
        return boost::outcome_v2::success();
    }

    net::HttpServer::Handler handler() {
        return
            [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
                if (message.path() == "/resolve") return directory_.handle(message, connection);
                if (message.path() == "/readiness") return answerReadiness(connection);
                if (message.path() == kStatusPath)
                    return connection->respond(200, kJson, renderStatus(memberStatus()));
                if (message.path() == kMetricsPath)
                    return connection->respond(200, kMetricsContentType, renderMetrics(memberStatus()));
                operatorApi_.handle(message, connection);
            };
    }

    void answerReadiness(const std::shared_ptr<net::HttpConnection>& connection) const {
        const bool ready = !leaving_ && driver_.replica() && driver_.replica()->inView();
        connection->respond(ready ? 200 : 503, kJson, ready ? R"({"ready":true})" : R"({"ready":false})");
    }

    MemberStatus memberStatus() const {
        MemberStatus status;
        status.member = settings_.nodeName;
        status.zone = settings_.zone;
        gateways_.describe(status);
        status.writesTaken = operatorApi_.writesTaken();
        const replica::Replica* replica = driver_.replica();
        if (!replica) return status;
        status.inView = replica->inView();
        status.fresh = replica->fresh(clock_.now());
        status.writable = replica->writable();
        status.view = replica->view();
        status.position = replica->committedPosition();
        status.revision = configuration::currentRevision(replica->committedTable());
        status.evacuatedZones = evacuatedZonesOf(replica->committedTable());
        return status;
    }

    void onRequest(const std::string& bytes, rpc::Reply reply) {
        const auto envelope = openEnvelope(bytes);
        if (!envelope) return tellUnreadable(envelope.error(), reply);
        const std::string_view body = envelope.value().body;
        switch (envelope.value().kind) {
            case RequestKind::replica:
                return driver_.onRequest(body, std::move(reply));
            case RequestKind::poll: {
                auto request = decodePollRequest(body);
                if (!request) return tellUnreadable(request.error(), reply);
                return gateways_.onPoll(std::move(request.value()), std::move(reply));
            }
            case RequestKind::peerUpdate: {
                const auto peerUpdate = decodePeerUpdate(body);
                if (!peerUpdate) return tellUnreadable(peerUpdate.error(), reply);
                return gateways_.onPeerUpdate(peerUpdate.value(), std::move(reply));
            }
        }
    }

    // An empty answer reads as nothing; a call left without any would cost the caller its connection.
    void tellUnreadable(const Error& error, rpc::Reply& reply) {
        logger_.seldom("rpc", "a request can't be read: {}", field("error", error.text()));
        reply.send({});
    }

    void openStore() {
        replica::Settings replica;
        replica.self.name = settings_.nodeName;
        replica.self.internalAddress = settings_.advertised(internalAddress());
        replica.self.controlAddress = settings_.advertised(settings_.listenAddresses.control);
        replica.self.zone = settings_.zone;
        replica.self.counted = settings_.countsAsLoss;
        replica.seeds = settings_.seedNodes;
        replica.bootstrap = settings_.bootstrap;
        replica.tolerance.machines = static_cast<std::size_t>(std::max(0, settings_.faultTolerance.machines));
        replica.tolerance.zones = static_cast<std::size_t>(std::max(0, settings_.faultTolerance.zones));
        const auto opened = driver_.open(settings_.dataDirectory, std::move(replica), options_.seed);
        openAt_ = clock_.now() + kOpenAgain;
        if (!opened)
            logger_.seldom("store", "the store can't be opened: {}", field("error", opened.error().text()));
    }

    void onTableMoved() {
        gateways_.onTableMoved();
        operatorApi_.look();
    }

    void onView() {
        gateways_.onView();
        operatorApi_.look();
    }

    void onTick() {
        if (abandoned_) return;
        if (!leaving_) {
            const Millis now = clock_.now();
            if (!driver_.replica() && now >= openAt_) openStore();
            gateways_.tick();
        }
        directory_.answerPending();
        if (leaving_ && hasLeft()) return end();
        tick_.expires_after(leaving_ ? kLeavingLook : gateways_.waitsForFreshness() ? kFreshnessLook : kTick);
        tick_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (!error && self) self->onTick();
        });
    }

    // First the operators' calls in hand are answered, then the others are asked for a view without this member; it goes on as
    // a member until that view is settled, so that no copy and no vote is missing in between.
    bool hasLeft() {
        if (clock_.now() >= leaveBy_) return true;
        const bool answered = operatorApi_.inHand() == 0;
        if (answered && !std::exchange(leaveAsked_, true)) driver_.leave();
        bool idle = answered && driver_.left();
        for (net::HttpServer* server : servers()) {
            server->closeIdle(-1);
            idle = idle && server->connections() == 0;
        }
        return idle;
    }

    void end() {
        driver_.close();
        if (stopped_) std::exchange(stopped_, nullptr)();
    }

    const Clock& clock_;
    Logger& logger_;
    settings::ProcessSettings settings_;
    Options options_;
    rpc::Client client_;
    rpc::Server server_;
    ReplicaDriver driver_;
    OperatorApi operatorApi_;
    GatewayService gateways_;
    DirectoryService directory_;
    net::HttpServer operators_, clients_, probers_;
    std::set<const net::HttpServer*> listening_;
    asio::steady_timer tick_;
    std::function<void()> stopped_;
    Millis leaveBy_ = 0;
    Millis openAt_ = 0;
    bool leaving_ = false, leaveAsked_ = false, abandoned_ = false;
};

Control::Control(asio::io_context& io, const Clock& clock, Logger& logger, settings::ProcessSettings settings,
                 Options options)
    : impl_(std::make_shared<Impl>(io, clock, logger, std::move(settings), options)) {}

Control::~Control() { impl_->abandon(); }

Result<void> Control::start() { return impl_->start(); }
void Control::reload(settings::ProcessSettings settings) { impl_->reload(std::move(settings)); }
void Control::stop(std::function<void()> done) { impl_->stop(std::move(done)); }
const replica::Replica* Control::replica() const { return impl_->replica(); }
bool Control::readsHosts() const { return impl_->readsHosts(); }
std::size_t Control::pendingLongPolls() const { return impl_->pendingLongPolls(); }

}  // namespace beechpoint::control
