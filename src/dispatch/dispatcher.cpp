#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

#include "dispatch/attempt_results.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/failover.hpp"
#include "dispatch/initial_send.hpp"
#include "dispatch/load_reporter.hpp"
#include "dispatch/overdue_attempts.hpp"
#include "dispatch/request_arrivals.hpp"
#include "dispatch/request_checks.hpp"
#include "dispatch/request_completion.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

namespace {

constexpr Millis kPruneInterval = 5000;
constexpr Millis kRecordRetention = 60000;  // unused records are removed after this time
constexpr Millis kNever = std::numeric_limits<double>::infinity();

}  // namespace

/// Owns the parts and passes each event to the part that handles it.
class Dispatcher::Impl {
public:
    Impl(Settings settings, std::uint64_t seed, Millis now)
        : state_(std::move(settings), seed, now), prunedAt_(now) {}

    void handle(Millis now, const Event& event, std::vector<Action>& out) {
        state_.services.updateMeanWaiting(state_.hosts, std::max(0.0, now - state_.now));
        state_.now = std::max(state_.now, now);
        state_.actions.begin(state_.now, out);
        std::visit([this](const auto& one) { on(one); }, event);
        checks_.checkDue();
        state_.health.checkPartitioned(state_.now);
        prune();
        loadReporter_.report();
        setTimer();
        state_.actions.end();
    }

    std::size_t requestCount() const { return requests_.size(); }
    std::size_t attemptsInFlight() const { return state_.attempts.size(); }
    std::size_t hostSlotCount() const { return state_.hosts.size(); }

private:
    void on(const RequestArrived& arrived) { arrivals_.handle(arrived); }
    void on(const AttemptHead& head) { results_.handle(head); }
    void on(const AttemptFirstByte& first) { results_.handle(first); }
    void on(const AttemptEnded& ended) { results_.handle(ended); }
    void on(const ClientDisconnected& event) {
        if (Request* const request = requests_.find(event.id)) completion_.end(*request);
    }
    void on(const HostList& list) {
        state_.hosts.update(list, state_.now);
        state_.reportedLoad.hostsChanged();
        checks_.checkPending();
    }
    void on(const EvacuatedZones& zones) {
        state_.hosts.evacuate(zones, state_.now);
        checks_.checkPending();
    }
    void on(const ServiceList& list) { state_.services.configure(list, state_.now); }
    void on(const Fleet& fleet) { state_.services.setFleet(fleet, state_.now); }
    void on(const WarmupReported& report) { state_.health.markWarmingUp(report, state_.now); }
    void on(const HealthCheckEnded& ended) { state_.health.healthCheckEnded(ended, state_.now); }
    void on(const PeerLoad& load) {
        if (state_.isEnabled(Mechanism::loadReports)) state_.reportedLoad.update(load, state_.now);
    }
    void on(const ShutDown&) {
        for (const RequestId id : requests_.all())
            completion_.giveUp(*requests_.find(id), RejectReason::shutDown);
    }
    void on(const Tick&) {}  // handle() runs all due checks on every event

    void prune() {
        if (state_.now < prunedAt_ + kPruneInterval) return;
        prunedAt_ = state_.now;
        state_.hosts.prune(state_.now, state_.now - kRecordRetention);
        state_.routes.prune(state_.now - kRecordRetention);
        state_.services.prune(state_.now - kRecordRetention);
    }
    // Requests a Tick unless one is already requested for this time or earlier.
    void setTimer() {
        const Millis at = std::min(requests_.nextCheckAt(), state_.health.nextCheckAt());
        if (state_.now >= timerAt_) timerAt_ = kNever;
        if (at >= timerAt_ || at == kNever) return;
        timerAt_ = std::max(at, state_.now);
        state_.actions.add(SetTimer{timerAt_});
    }

    // Each part refers only to parts above it.
    DispatchState state_;
    RequestTable requests_;
    RequestCompletion completion_{state_, requests_};
    AttemptSender sender_{state_};
    InitialSend initialSend_{state_, sender_, completion_};
    Failover failover_{state_, sender_, completion_};
    OverdueAttempts overdue_{state_, sender_};
    RequestChecks checks_{state_, requests_, initialSend_, failover_, overdue_, completion_};
    RequestArrivals arrivals_{state_, requests_, sender_, initialSend_, checks_};
    AttemptResults results_{state_, requests_, failover_, completion_, checks_};
    LoadReporter loadReporter_{state_};
    Millis prunedAt_;
    Millis timerAt_ = kNever;  // requested time of the next Tick
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed, Millis now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Millis now, const Event& event, std::vector<Action>& out) {
    impl_->handle(now, event, out);
}
std::size_t Dispatcher::requestCount() const { return impl_->requestCount(); }
std::size_t Dispatcher::attemptsInFlight() const { return impl_->attemptsInFlight(); }
std::size_t Dispatcher::hostSlotCount() const { return impl_->hostSlotCount(); }

}  // namespace beechpoint::dispatch
