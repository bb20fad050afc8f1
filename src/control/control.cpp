#include "control/control.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "control/control_settings.hpp"
#include "control/duty_service.hpp"
#include "control/gateway_service.hpp"
#include "control/http_listeners.hpp"
#include "control/member_requests.hpp"
#include "control/operator_api.hpp"
#include "control/replica_driver.hpp"
#include "control/status.hpp"
#include "core/metrics_text.hpp"
#include "directory/directory_service.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

constexpr auto kTick = std::chrono::milliseconds(static_cast<int>(kServiceTick));
constexpr auto kFreshnessTick = std::chrono::milliseconds(25);  // while a poll waits for freshness
constexpr auto kDrainTick = std::chrono::milliseconds(20);
constexpr Millis kMaxDrain = 3000;
constexpr Millis kReopenStoreAfter = 500;  // while the disk refuses
constexpr double kMillisPerSecond = 1000;
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr const char* kJson = "application/json";

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
          driver_(io, clock, logger, client_, {[this] { onTableChanged(); }, [this] { onViewChanged(); }}),
          operatorApi_(io, clock, logger, driver_),
          gateways_(
              io, clock, logger, driver_, client_,
              gatewayServiceSettingsOf(settings_, options_.hostReading, options_.seed),
              [this] { directory_.answerPending(); },
              [this](PollReply& reply) { duties_.completeReply(reply); }),
          duties_(io, clock, logger, driver_, dutySettingsOf(settings_, options_.seed),
                  [this] { return liveSessions(); }),
          directory_(
              clock, [this] { return gateways_.liveGateways(); }, directoryTtlSecondsOf(settings_)),
          memberRequests_(logger, driver_, gateways_, duties_),
          listeners_(io, clock, logger, settings_.limits, httpHandler()),
          tick_(io) {}

    Result<void> start() {
        if (settings_.dataDirectory.empty()) {
            return Error{ErrorKind::invalid, "data_directory", "the control role needs a disk",
                         "run it on machines that have one"};
        }
        server_.onRequest([this](const std::string& bytes, rpc::Reply reply) {
            memberRequests_.handle(bytes, std::move(reply));
        });
        auto internal = listenInternally();
        if (!internal) return internal;
        auto listening = listeners_.listen(settings_);
        if (!listening) return listening;
        openStore();
        onTick();
        return boost::outcome_v2::success();
    }

    void reload(settings::ProcessSettings settings) {
        if (settings == settings_) return;
        if (settings.seedNodes != settings_.seedNodes) driver_.setSeeds(settings.seedNodes);
        settings_.seedNodes = std::move(settings.seedNodes);
        settings_.timingBounds = settings.timingBounds;
        settings_.faultTolerance = settings.faultTolerance;
        directory_.setTtl(directoryTtlSecondsOf(settings_));
        logger_.info("the settings were reloaded");
    }

    void stop(std::function<void()> done) {
        if (phase_ != Phase::serving) return;
        phase_ = Phase::finishingCalls;
        stopped_ = std::move(done);
        logger_.info("draining");
        const Millis halfOfGrace = settings_.timingBounds.graceS * kMillisPerSecond / 2;
        drainDeadline_ = clock_.now() + std::min(halfOfGrace, kMaxDrain);
        gateways_.drain();
        duties_.drain();
        operatorApi_.startDraining();
        directory_.drain();
        listeners_.startDraining();
        onTick();
    }

    // No callback is run from now on.
    void abandon() {
        tick_.cancel();
        phase_ = Phase::abandoned;
        listeners_.closeAll();
    }

    const replica::Replica* replica() const { return driver_.replica(); }
    bool readsHostList() const { return gateways_.readsHostList(); }
    std::size_t pendingLongPolls() const { return gateways_.pendingLongPolls(); }

private:
    enum class Phase {
        serving,         // also before start()
        finishingCalls,  // draining: operators' calls that have begun are finished
        leavingView,     // draining: the others were asked for a view without this member
        abandoned,       // the owner is gone
    };

    // ---- Requests

    Result<void> listenInternally() {
        // A retried start may find it already listening.
        if (server_.port() != 0) return boost::outcome_v2::success();
        return server_.listen(internalAddressOf(settings_));
    }

    net::HttpServer::Handler httpHandler() {
        return
            [this](const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
                handleHttp(message, connection);
            };
    }

    void handleHttp(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection) {
        const auto path = message.path();
        if (path == "/resolve")
            directory_.handle(message, connection);
        else if (path == "/readiness")
            answerReadiness(connection);
        else if (path == kStatusPath)
            connection->respond(kOk, kJson, renderStatus(memberStatus()));
        else if (path == kMetricsPath)
            connection->respond(kOk, kMetricsContentType, renderMetrics(memberStatus()));
        else
            operatorApi_.handle(message, connection);
    }

    void answerReadiness(const std::shared_ptr<net::HttpConnection>& connection) const {
        const bool ready = phase_ == Phase::serving && driver_.replica() && driver_.replica()->isInView();
        if (ready)
            connection->respond(kOk, kJson, R"({"ready":true})");
        else
            connection->respond(kServiceUnavailable, kJson, R"({"ready":false})");
    }

    MemberStatus memberStatus() const {
        MemberStatus status;
        status.member = settings_.nodeName;
        status.zone = settings_.zone;
        gateways_.describe(status);
        status.duties = duties_.status();
        status.committedWrites = operatorApi_.committedWrites();
        status.clientMemory = listeners_.memory().state().used();
        status.clientMemoryLimit = listeners_.memory().state().limit();
        status.overload = listeners_.memory().counts();
        if (driver_.replica()) describeReplica(*driver_.replica(), clock_.now(), status);
        return status;
    }

    std::vector<std::pair<std::string, std::uint64_t>> liveSessions() const {
        std::vector<std::pair<std::string, std::uint64_t>> sessions;
        for (const leases::Gateway& gateway : gateways_.liveGateways())
            sessions.emplace_back(gateway.name, gateway.session);
        return sessions;
    }

    // ---- The replica

    void openStore() {
        const auto opened =
            driver_.open(settings_.dataDirectory, replicaSettingsOf(settings_), options_.seed);
        reopenStoreAt_ = clock_.now() + kReopenStoreAfter;
        if (!opened)
            logger_.seldom("store", "the store can't be opened: {}", field("error", opened.error().text()));
    }

    void onTableChanged() {
        gateways_.onTableChanged();
        operatorApi_.onReplicaChanged();
        duties_.onReplicaChanged();
    }

    void onViewChanged() {
        gateways_.onViewChanged();
        operatorApi_.onReplicaChanged();
        duties_.onReplicaChanged();
    }

    // ---- Time

    void onTick() {
        if (phase_ == Phase::abandoned) return;
        if (phase_ == Phase::serving) {
            const Millis now = clock_.now();
            if (!driver_.replica() && now >= reopenStoreAt_) openStore();
            gateways_.tick();
        }
        duties_.tick();
        directory_.answerPending();
        if (phase_ != Phase::serving && drained()) {
            end();
            return;
        }
        armTick();
    }

    void armTick() {
        tick_.expires_after(tickLength());
        tick_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (!error && self) self->onTick();
        });
    }

    std::chrono::milliseconds tickLength() const {
        if (phase_ != Phase::serving) return kDrainTick;
        return gateways_.waitsForFreshness() ? kFreshnessTick : kTick;
    }

    // ---- Graceful shutdown

    // First the operators' calls in progress are answered, then the other members are asked for a view without this member. It stays a
    // member until that view is installed, so that no replica and no voter is missing meanwhile.
    bool drained() {
        if (clock_.now() >= drainDeadline_) return true;
        const bool callsFinished = operatorApi_.pendingCalls() == 0;
        if (callsFinished && phase_ == Phase::finishingCalls) {
            phase_ = Phase::leavingView;
            driver_.leaveView();
        }
        const bool viewLeft = callsFinished && driver_.hasLeftView();
        const bool connectionsClosed = listeners_.closeIdleConnections();
        return viewLeft && connectionsClosed;
    }

    void end() {
        driver_.close();
        const auto stopped = std::exchange(stopped_, nullptr);
        if (stopped) stopped();
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
    DutyService duties_;
    directory::DirectoryService directory_;
    MemberRequests memberRequests_;
    HttpListeners listeners_;
    asio::steady_timer tick_;
    std::function<void()> stopped_;
    Millis drainDeadline_ = 0;
    Millis reopenStoreAt_ = 0;
    Phase phase_ = Phase::serving;
};

Control::Control(asio::io_context& io, const Clock& clock, Logger& logger, settings::ProcessSettings settings,
                 Options options)
    : impl_(std::make_shared<Impl>(io, clock, logger, std::move(settings), options)) {}

Control::~Control() { impl_->abandon(); }

Result<void> Control::start() { return impl_->start(); }
void Control::reload(settings::ProcessSettings settings) { impl_->reload(std::move(settings)); }
void Control::stop(std::function<void()> done) { impl_->stop(std::move(done)); }
const replica::Replica* Control::replica() const { return impl_->replica(); }
bool Control::readsHostList() const { return impl_->readsHostList(); }
std::size_t Control::pendingLongPolls() const { return impl_->pendingLongPolls(); }

}  // namespace beechpoint::control
