#include "dispatch/dispatcher.hpp"

#include <fmt/format.h>

#include <limits>
#include <unordered_map>
#include <utility>

#include "coordinator/failure_tree.hpp"
#include "coordinator/width.hpp"
#include "core/splitmix.hpp"
#include "dispatch/action_list.hpp"
#include "dispatch/admission.hpp"
#include "dispatch/arrival.hpp"
#include "dispatch/attempt_log.hpp"
#include "dispatch/hedge_budget.hpp"
#include "dispatch/host_health.hpp"
#include "dispatch/route_table.hpp"
#include "dispatch/selection.hpp"
#include "dispatch/service_table.hpp"
#include "dispatch/shared_load.hpp"
#include "dispatch/timer_queue.hpp"

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr double kOverdue = 2;  // no copy before this many expected times
constexpr double kLastCall =
    3;  // nor while so many times the other host's t are left before the latencyTarget
constexpr double kCalmShare = 0.25;  // mean time over latencyTarget above which everything is slow: no copies
constexpr double kSilent = 3;        // but where a host has been silent for so many mean times
constexpr int kDialsMore = 4;        // attempts that did not reach a host, beyond the hosts allowed
constexpr Millis kRetryPlaces = 25;  // between looks for a host for what waits
constexpr Millis kOverdueStep = 15;  // between looks at an attempt that is overdue
constexpr Millis kSilentProbe =
    400;  // a host silent for so long, and kSilent times what was expected, is probed
constexpr Millis kPruneEvery = 5000;
constexpr Millis kRecordAge = 60000;
constexpr int kMostPriority = 9;
constexpr double kOddsPowerInformed = 12;
constexpr Millis kNever = std::numeric_limits<double>::infinity();

int hostPriority(int priorityClass) { return std::clamp(1 + 2 * priorityClass, 0, kMostPriority); }

// Statuses that promise to a client that nothing has run. Only the gateway itself gives such a promise.
bool promises(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

class Dispatcher::Impl {
public:
    Impl(Settings settings, std::uint64_t seed, Millis now)
        : settings_(std::move(settings)),
          random_(seed),
          now_(now),
          prunedAt_(now),
          services_(settings_, now),
          selection_(settings_, hosts_),
          health_(hosts_, actions_),
          attempts_(hosts_, routes_, services_, health_),
          copies_(settings_.retryWindow),
          shared_(hosts_) {}

    void handle(Millis now, const Event& event, std::vector<Action>& out) {
        services_.smoothWaiting(hosts_, std::max(0.0, now - now_));
        now_ = std::max(now_, now);
        actions_.begin(now_, out);
        std::visit([this](const auto& told) { on(told); }, event);
        lookAtDue();
        health_.probeCutHosts(now_);
        prune();
        shareLoad();
        setTimer();
        actions_.end();
    }

    std::size_t requestCount() const { return requests_.size(); }
    std::size_t attemptsInFlight() const { return attempts_.size(); }
    std::size_t hostSlotCount() const { return hosts_.size(); }

private:
    template <class T>
    void act(T action) {
        actions_.act(std::move(action));
    }
    void say(const char* kind, std::string text) { actions_.say(kind, std::move(text)); }

    ServiceState& serviceOf(const Request& request) { return services_.use(request.service, now_); }
    RouteRecord& routeOf(const Request& request) {
        RouteRecord& record = routes_.use(request.asked.route, now_);
        record.latencyTarget = std::max(1.0, request.asked.latencyTarget);
        return record;
    }
    void prune() {
        if (now_ < prunedAt_ + kPruneEvery) return;
        prunedAt_ = now_;
        hosts_.prune(now_, now_ - kRecordAge);
        routes_.prune(now_ - kRecordAge);
        services_.prune(now_ - kRecordAge);
    }

    bool on(Mechanism mechanism) const { return settings_.mechanisms.on(mechanism); }
    void shareLoad() {
        if (!on(Mechanism::sharedLoad)) return;
        shared_.expire(now_);
        services_.loadIsShared(shared_.heard());
        ReportLoad changed;
        for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
            HostSlot& slot = hosts_.at(i);
            if (!std::exchange(slot.loadChanged, false)) continue;
            changed.hosts.push_back({hostKey(slot.host.instanceId), slot.waiting, slot.waitingS});
            if (const double slowness = std::exchange(slot.newSlowness, 0); slowness > 0)
                changed.speeds.push_back({changed.hosts.back().host, slowness});
        }
        if (!changed.hosts.empty()) act(std::move(changed));
    }

    // ---- arrival and admission

    void on(const RequestArrived& arrived) {
        if (requests_.contains(arrived.id)) return;
        Request request = newRequest(arrived, random_(), now_);
        if (request.service.empty() || arrived.deadline <= 0) return act(Reject{arrived.id, 503, 0});
        serviceOf(request).budget.requested(now_);
        if (request.idempotent()) copies_.repeatableArrived(now_);
        if (requests_.size() >= settings_.maxRequests) {
            say("refused full", fmt::format("{} requests are held", requests_.size()));
            return act(Reject{arrived.id, 503, retryAfter(0, arrived.deadline)});
        }
        const Verdict verdict = on(Mechanism::admission) ? admit(outlook(request)) : Verdict{};
        if (verdict.refused) {
            say("refused late", fmt::format("route {}: every host is busy", arrived.route));
            return act(Reject{arrived.id, 503, verdict.retryAfter});
        }
        Request& held = requests_.emplace(arrived.id, std::move(request)).first->second;
        firstSend(held);
        reschedule(arrived.id);
    }
    Outlook outlook(const Request& request) {
        const ServiceState& state = serviceOf(request);
        const RouteRecord& record = routeOf(request);
        return outlookOf(request, hosts_, selection_.allowed(request), record, state, now_);
    }

    // ---- the ordinary path

    std::vector<policy::Scored> ranked(const Request& request) {
        return selection_.ranked(request, routeOf(request), serviceOf(request), now_);
    }
    void firstSend(Request& request) {
        const std::vector<policy::Scored> choice = policy::passing(ranked(request));
        if (choice.empty()) return wait(request);
        request.waiting = false;
        const bool copies = on(Mechanism::widthTest) && copiesAllowed(request) && calm(request);
        request.width = copies ? widthOf(request, choice) : 1;
        if (request.width == 1) {
            if (!send(request, policy::weightedDraw(choice, random_(), oddsPower()), choice, false))
                giveUpUnlessOut(request);
            return;
        }
        double failures = 0;
        for (int i = 0; i < request.width; ++i) {
            const policy::Scored& scored = choice[static_cast<std::size_t>(i)];
            if (!send(request, scored.server, choice, i > 0)) break;
            failures += scored.f / request.width;
        }
        request.copiesAlone = failures >= policy::kErroneous;
    }
    // Where the others' load is known, what looks better is better: the draw need not spread so widely.
    double oddsPower() const { return shared_.heard() ? kOddsPowerInformed : policy::kOddsPower; }
    int widthOf(const Request& request, const std::vector<policy::Scored>& choice) {
        static const std::deque<double> none;
        const RouteRecord& record = routeOf(request);
        const auto recentOf = [&](int host) -> const std::deque<double>& {
            const auto& records = hosts_.at(host).records;
            const auto found = records.find(record.id);
            return found == records.end() ? none : found->second.recent;
        };
        return std::min(policy::width(choice, record.gainTargetS(), recentOf), request.asked.maxAttempts);
    }
    bool copiesAllowed(const Request& request) const { return request.idempotent() && !request.open; }
    // All slow alike is no reason for copies: they would feed the overload.
    bool calm(const Request& request) {
        return routeOf(request).timeS(now_) * 1000 <= kCalmShare * request.asked.latencyTarget;
    }
    // Whether it may be sent (again) without a request running twice that must not.
    bool mayTryAgain(const Request& request) const {
        if (now_ >= request.deadlineAt) return false;
        if (request.hostsUsed() >= request.asked.maxAttempts) return false;
        if (static_cast<int>(request.attempts.size()) >= request.asked.maxAttempts + kDialsMore) return false;
        return request.idempotent() || !request.mayHaveRun();
    }
    bool send(Request& request, int host, const std::vector<policy::Scored>& scores, bool copy) {
        if (!mayTryAgain(request)) return false;
        ServiceState& state = serviceOf(request);
        const bool further = request.hostsUsed() > 0;
        if (copy && !copies_.allows(now_)) return false;
        if (further && !state.budget.allows(now_)) {
            say("retry budget spent", fmt::format("service {}", request.service));
            return false;
        }
        if (further) state.budget.spend(now_);
        if (copy) copies_.spend(now_);
        HostSlot& slot = hosts_.at(host);
        const int number = static_cast<int>(request.attempts.size());
        const double tokens = state.load.engine ? selection_.tokensToRead(request, state, host) : 0;
        attempts_.sent(request, number, host, tokens, now_);
        Attempt attempt;
        attempt.host = host;
        attempt.instance = slot.host.instanceId;
        attempt.sentAt = now_;
        for (const policy::Scored& scored : scores)
            if (scored.server == host) attempt.expectedS = scored.t;
        request.attempts.push_back(std::move(attempt));
        request.waiting = false;
        act(Send{request.asked.id, number, slot.host.instanceId, slot.host.address, request.service,
                 request.deadlineAt - now_, hostPriority(request.asked.priorityClass), state.load.engine,
                 request.open, request.open ? request.lastEventId : std::string()});
        return true;
    }
    // The failure tree, after an attempt at `failed` ended without an answer.
    void failover(Request& request, int failed) {
        if (!policy::failsOver(request.outCount(), request.width, request.copiesAlone)) return;
        if (!mayTryAgain(request)) return giveUpUnlessOut(request);
        const std::vector<policy::Scored> all = ranked(request);
        const std::vector<policy::Scored> choice = policy::passing(all);
        if (choice.empty()) {
            if (request.outCount() == 0) wait(request);
            return;
        }
        const auto tried = [&](int host) { return request.triedAt(hosts_.at(host).host.instanceId); };
        const int target = policy::nextTarget(all, choice, failed, tried);
        if (!send(request, target, choice, false)) giveUpUnlessOut(request);
    }

    // The width test at an age: an attempt that is overdue gets a copy where another host is expected to answer sooner
    // than what is left of it. Only what is in by the aim earns full worth, so a copy goes no sooner than it must.
    void copyIfOverdue(Request& request) {
        if (!on(Mechanism::overdueCopies) || !copiesAllowed(request)) return;
        if (request.waiting || request.outCount() != 1) return;
        const auto attempt = std::find_if(request.attempts.begin(), request.attempts.end(),
                                          [](const Attempt& each) { return each.out; });
        const double age = (now_ - attempt->sentAt) / 1000;
        if (attempt->firstByte || age < kOverdue * attempt->expectedS) return;
        const RouteRecord& record = routeOf(request);
        const double silence = hosts_.at(attempt->host).records[record.id].silence(toNanos(now_));
        if (!calm(request) && silence < kSilent * record.timeS(now_)) return;
        const std::vector<policy::Scored> choice = policy::passing(ranked(request));
        if (choice.empty() || std::max(age, silence) - choice.front().t < record.gainTargetS()) return;
        const Millis other = 1000 * choice.front().t;
        if (now_ + other / 2 > request.deadlineAt) return;
        if (now_ + kLastCall * other < request.latencyTargetAt) return;
        send(request, choice.front().server, choice, true);
    }

    // ---- ends

    void wait(Request& request) {
        if (request.waiting) return;
        request.waiting = true;
        request.giveUpAt = now_ + patience(request.asked.latencyTarget, request.deadlineAt - now_);
    }
    void giveUpUnlessOut(Request& request) {
        if (request.outCount() == 0) giveUp(request);
    }
    void giveUp(Request& request) {
        const RequestId id = request.asked.id;
        if (request.open) {
            act(AbortResponse{id});
        } else if (!request.mayHaveRun()) {  // a refusal promises that, also where a repeat would do no harm
            act(Reject{id, 503, retryAfter(0, request.deadlineAt - now_)});
        } else {
            act(Fail{id, 502});
        }
        end(request);
    }
    void timeUp(Request& request) {
        const RequestId id = request.asked.id;
        request.open ? act(AbortResponse{id}) : act(Fail{id, 504});
        end(request);
    }
    void cancelOthers(Request& request, int kept) {
        for (int i = 0; i < static_cast<int>(request.attempts.size()); ++i) {
            Attempt& attempt = request.attempts[static_cast<std::size_t>(i)];
            if (i == kept || !attempt.out || attempt.cancelled) continue;
            attempt.cancelled = true;
            act(Cancel{request.asked.id, i});
        }
    }
    void end(Request& request) {  // it is gone afterwards
        const RequestId id = request.asked.id;
        cancelOthers(request, -1);
        due_.erase(id);
        requests_.erase(id);
    }
    void relay(Request& request, int number) {
        if (request.relayed == number) return;
        request.relayed = number;
        request.open = true;
        act(Relay{request.asked.id, number});
        cancelOthers(request, number);
    }

    // ---- what comes of attempts

    Request* find(RequestId id, int attempt) {
        const auto found = requests_.find(id);
        if (found == requests_.end() || attempt < 0) return nullptr;
        return attempt < static_cast<int>(found->second.attempts.size()) ? &found->second : nullptr;
    }
    void on(const AttemptHead& head) {
        Request* request = find(head.id, head.attempt);
        if (!request) return;
        Attempt& attempt = request->attempt(head.attempt);
        if (!attempt.out || attempt.cancelled || head.rejected) return;
        attempt.status = head.status;
        const bool success = head.status >= 200 && head.status < 300;
        const bool failure = head.status >= 500 && request->idempotent();
        attempt.unusable =
            (success && !head.sealed) || promises(head.status) || failure || (request->open && !success);
        if (attempt.unusable || request->open) return;  // a resumed one goes on with its first event
        const bool held = request->idempotent() && head.bodyBytes && *head.bodyBytes <= kMaxBufferedBytes;
        if ((request->streaming() && success) || held) return;
        relay(*request, head.attempt);
        reschedule(head.id);
    }
    void on(const AttemptFirstByte& first) {
        Request* const request = find(first.id, first.attempt);
        if (!attempts_.firstByte(first, request, now_) || !request) return;
        Attempt& attempt = request->attempt(first.attempt);
        attempt.firstByte = true;
        if (!request->streaming() || attempt.unusable || attempt.cancelled || attempt.status == 0) return;
        relay(*request, first.attempt);
        reschedule(first.id);
    }
    void on(const AttemptEnded& ended) {
        Request* const request = find(ended.id, ended.attempt);
        if (!attempts_.ended(ended, request, now_) || !request) return;
        Attempt& attempt = request->attempt(ended.attempt);
        attempt.out = false;
        attempt.mayHaveArrived =
            ended.outcome != Outcome::notConnected && ended.outcome != Outcome::noCapacity;
        attempt.mayHaveRun = attempt.mayHaveArrived && ended.outcome != Outcome::rejected;
        if (!ended.lastEventId.empty() && request->relayed == ended.attempt)
            request->lastEventId = ended.lastEventId;
        conclude(*request, ended);
        reschedule(ended.id);
    }
    void conclude(Request& request, const AttemptEnded& ended) {
        const Attempt& attempt = request.attempt(ended.attempt);
        const bool whole = ended.outcome == Outcome::served || ended.outcome == Outcome::hostError;
        const bool proper = whole && attempt.status > 0 && !attempt.unusable && !attempt.cancelled;
        if (proper) {
            relay(request, ended.attempt);
            return end(request);
        }
        if (request.relayed == ended.attempt) {
            request.relayed = -1;
            if (!request.resumable()) return giveUp(request);
            say("stream resumed",
                fmt::format("route {} behind event '{}'", request.asked.route, request.lastEventId));
        } else if (request.relayed >= 0) {
            return;  // the twin of what is relayed
        }
        failover(request, attempt.host);
    }
    void on(const HealthCheckEnded& ended) { health_.probeEnded(ended, now_); }
    void on(const WarmupReported& seen) { health_.warming(seen, now_); }

    // ---- the rest of what is told

    void on(const ClientDisconnected& gone) {
        const auto found = requests_.find(gone.id);
        if (found != requests_.end()) end(found->second);
    }
    void on(const HostList& list) {
        hosts_.update(list, now_);
        shared_.hostsChanged();
        lookAtWaiting();
    }
    void on(const EvacuatedZones& zones) {
        hosts_.evacuate(zones, now_);
        lookAtWaiting();
    }
    void on(const ServiceList& list) { services_.configure(list, now_); }
    void on(const Fleet& fleet) { services_.share(fleet, now_); }
    void on(const ShutDown&) {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_) ids.push_back(id);
        std::sort(ids.begin(), ids.end());
        for (const RequestId id : ids) giveUp(requests_.at(id));
    }
    void on(const PeerLoad& load) {
        if (on(Mechanism::sharedLoad)) shared_.told(load, now_);
    }
    void on(const Tick&) {}  // handle() looks at what is due, whatever the event

    // ---- time

    void lookAtWaiting() {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_)
            if (request.waiting) ids.push_back(id);
        lookAt(std::move(ids));
    }
    void lookAtDue() { lookAt(due_.due(now_)); }
    // The more urgent first, and then in order of arrival.
    void lookAt(std::vector<RequestId> ids) {
        std::sort(ids.begin(), ids.end(), [&](RequestId a, RequestId b) {
            const Request& first = requests_.at(a);
            const Request& second = requests_.at(b);
            return std::tie(first.asked.priorityClass, first.arrivedAt, a) <
                   std::tie(second.asked.priorityClass, second.arrivedAt, b);
        });
        for (const RequestId id : ids) {
            const auto found = requests_.find(id);
            if (found != requests_.end()) look(found->second);
            reschedule(id);
        }
    }
    void look(Request& request) {
        if (now_ >= request.deadlineAt) return timeUp(request);
        if (!request.waiting) {
            probeSilentHosts(request);
            copyIfOverdue(request);
        } else if (now_ >= request.giveUpAt) {
            giveUp(request);
        } else if (request.attempts.empty()) {
            firstSend(request);
        } else {
            failover(request, -1);
        }
    }
    void probeSilentHosts(const Request& request) {
        if (!on(Mechanism::silentProbes)) return;
        for (const Attempt& attempt : request.attempts) {
            if (!attempt.out || attempt.firstByte || now_ < silentAt(attempt)) continue;
            HostSlot& slot = hosts_.at(attempt.host);
            const auto record = slot.records.find(routeOf(request).id);
            const double silence = record == slot.records.end() ? 0 : record->second.silence(toNanos(now_));
            if (1000 * silence >= kSilentProbe) health_.probeSilent(slot, now_);
        }
    }
    static Millis silentAt(const Attempt& attempt) {
        return attempt.sentAt + std::max(kSilentProbe, kSilent * 1000 * attempt.expectedS);
    }
    // When a request is to be looked at next.
    Millis nextLook(const Request& request) const {
        if (request.waiting) return std::min(request.giveUpAt, now_ + kRetryPlaces);
        Millis at = request.deadlineAt;
        for (const Attempt& attempt : request.attempts) {
            if (!attempt.out || attempt.firstByte) continue;
            const Millis silent = silentAt(attempt);
            at = std::min(at, silent > now_ ? silent : now_ + kSilentProbe);
            if (!copiesAllowed(request) || !mayTryAgain(request)) continue;
            const Millis overdue = attempt.sentAt + kOverdue * 1000 * attempt.expectedS;
            at = std::min(at, std::max(overdue, now_ + kOverdueStep));
        }
        return at;
    }
    void reschedule(RequestId id) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) due_.set(id, nextLook(found->second));
    }
    void setTimer() {
        const Millis at = std::min(due_.next(), health_.nextProbeAt());
        if (now_ >= timerAt_) timerAt_ = kNever;
        if (at >= timerAt_ || at == kNever) return;
        timerAt_ = std::max(at, now_);
        act(SetTimer{timerAt_});
    }

    Settings settings_;
    SplitMix random_;
    Millis now_, prunedAt_;
    Millis timerAt_ = kNever;  // when a Tick was asked for
    ActionList actions_;
    HostTable hosts_;
    RouteTable routes_;
    ServiceTable services_;
    Selection selection_;
    HostHealth health_;
    AttemptLog attempts_;
    CopyBudget copies_;
    SharedLoad shared_;
    std::unordered_map<RequestId, Request> requests_;
    DueList due_;
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
