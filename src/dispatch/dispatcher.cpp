#include "dispatch/dispatcher.hpp"

#include <fmt/format.h>

#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/splitmix.hpp"
#include "dispatch/admission.hpp"
#include "dispatch/selection.hpp"
#include "dispatch/service_state.hpp"
#include "policy/failure_tree.hpp"
#include "policy/width.hpp"

namespace beechpoint::dispatch {

namespace policy = firkeel::policy;

namespace {

constexpr double kCopyShare = 0.1;      // of the repeatable requests of late
constexpr double kOverdue = 2;          // no copy before this many expected times
constexpr double kLastCall = 3;         // nor while so many times the other host's t are left before the aim
constexpr double kCalmShare = 0.25;     // mean time over aim above which everything is slow: no copies
constexpr double kSilent = 3;           // but where a host has been silent for so many mean times
constexpr int kDialsMore = 4;           // attempts that did not reach a host, beyond the hosts allowed
constexpr Millis kRetryPlaces = 25;     // between looks for a host for what waits
constexpr Millis kOverdueStep = 15;     // between looks at an attempt that is overdue
constexpr Millis kProbeFirstGap = 500;  // between looks at a host that is cut off; doubled up to
constexpr Millis kProbeLongestGap = 2000;
constexpr Millis kProbeOwed = 3000;  // a probe whose end does not come is given up
constexpr Millis kSilentProbe =
    400;  // a host silent for so long, and kSilent times what was expected, is probed
constexpr Millis kFullLeast = 20;  // a host that says it is full gets nothing for so long at least
constexpr Millis kFullMost = 500;
constexpr Millis kPruneEvery = 5000;
constexpr Millis kRecordAge = 60000;
constexpr std::size_t kMostRoutes = 4096;
constexpr double kUsualMemoryMs = 10000;
constexpr double kBytesPerTokenIn = 3,
                 kBytesPerTokenOut = 10;  // guesses, for what a request costs between regions
constexpr int kMostPriority = 9;
constexpr Millis kLogEvery = 1000;
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
          startedAt_(now),
          prunedAt_(now),
          selection_(settings_, hosts_),
          repeatable_(settings_.retryWindow, SlidingCount::Edge::lower),
          copies_(settings_.retryWindow, SlidingCount::Edge::upper) {}

    void handle(Millis now, const Event& event, std::vector<Action>& out) {
        smoothWaiting(std::max(0.0, now - now_));
        now_ = std::max(now_, now);
        actions_ = &out;
        std::visit([this](const auto& told) { on(told); }, event);
        lookAtDue();
        probeCutHosts();
        prune();
        setTimer();
        actions_ = nullptr;
    }

    std::size_t live() const { return requests_.size(); }
    std::size_t attemptsOut() const { return sent_.size(); }
    std::size_t hostsKept() const { return hosts_.size(); }

private:
    using AttemptKey = std::pair<RequestId, int>;

    template <class T>
    void act(T action) {
        actions_->emplace_back(std::move(action));
    }
    void say(const char* kind, std::string text) {
        const auto [entry, first] = logged_.try_emplace(kind, now_);
        if (!first && now_ - entry->second < kLogEvery) return;
        entry->second = now_;
        act(Log{kind, std::move(text)});
    }

    // ---- tables

    ServiceState& service(const std::string& name) {
        const auto found = services_.find(name);
        if (found != services_.end()) return found->second;
        const RetryBounds bounds{settings_.retryBudgetRatio, settings_.retryWindow,
                                 settings_.retryBudgetSlack};
        ServiceState& state = services_.emplace(name, ServiceState(bounds)).first->second;
        state.service.name = name;
        applyFleet(state);
        return state;
    }
    void applyFleet(ServiceState& state) {
        const double bound = state.service.warmupPerS * settings_.warmupOvershoot + settings_.warmupSlack;
        const bool blind = now_ < startedAt_ + ColdShare::kSpan;  // an earlier process may have sent
        state.coldShare = ColdShare(bound, fleet_.liveGateways, fleet_.known && !blind, fleet_.rank);
        state.coldShareBlind = blind;
        state.budget.fleet(fleet_.liveGateways, fleet_.known);
        state.load.gateways = std::max(1, fleet_.liveGateways);
    }
    ServiceState& serviceOf(const Request& request) {
        ServiceState& state = service(request.service);
        if (state.coldShareBlind && now_ >= startedAt_ + ColdShare::kSpan) applyFleet(state);
        state.usedAt = now_;
        return state;
    }
    RouteRecord& route(const std::string& name) {
        if (routes_.size() >= kMostRoutes && !routes_.contains(name)) evictRoute();
        RouteRecord& record = routes_[name];
        if (record.id == 0) record.id = ++lastRoute_;
        record.usedAt = now_;
        return record;
    }
    void evictRoute() {
        auto oldest = routes_.begin();
        for (auto entry = routes_.begin(); entry != routes_.end(); ++entry)
            if (entry->second.usedAt < oldest->second.usedAt) oldest = entry;
        routes_.erase(oldest);
    }
    RouteRecord& routeOf(const Request& request) {
        RouteRecord& record = route(request.asked.route);
        record.aim = std::max(1.0, request.asked.aim);
        return record;
    }
    void prune() {
        if (now_ < prunedAt_ + kPruneEvery) return;
        prunedAt_ = now_;
        hosts_.prune(now_, now_ - kRecordAge);
        std::erase_if(routes_, [&](const auto& entry) { return entry.second.usedAt < now_ - kRecordAge; });
        std::erase_if(services_, [&](const auto& entry) {
            const ServiceState& state = entry.second;
            return !state.configured && state.usedAt < now_ - kRecordAge;
        });
    }
    void smoothWaiting(Millis passed) {
        if (passed <= 0) return;
        const double keep = std::exp(-passed / kUsualMemoryMs);
        for (auto& [name, state] : services_) {
            const std::vector<int>& hosts = hosts_.ofService(name);
            double waiting = 0;
            for (const int i : hosts) waiting += hosts_.at(i).waiting;
            const double mean = waiting / static_cast<double>(std::max<std::size_t>(1, hosts.size()));
            state.load.usualWaiting = keep * state.load.usualWaiting + (1 - keep) * mean;
        }
    }

    // ---- arrival and admission

    void on(const RequestArrived& arrived) {
        if (requests_.contains(arrived.id)) return;
        Request request = fromArrival(arrived);
        if (request.service.empty() || arrived.deadline <= 0) return act(Refuse{arrived.id, 503, 0});
        serviceOf(request).budget.requested(now_);
        if (request.repeatable()) repeatable_.add(now_);
        if (requests_.size() >= settings_.mostRequests) {
            say("refused full", fmt::format("{} requests are held", requests_.size()));
            return act(Refuse{arrived.id, 503, retryAfter(0, arrived.deadline)});
        }
        const Verdict verdict = admit(outlook(request));
        if (verdict.refused) {
            say("refused late", fmt::format("route {}: every host is busy", arrived.route));
            return act(Refuse{arrived.id, 503, verdict.retryAfter});
        }
        Request& held = requests_.emplace(arrived.id, std::move(request)).first->second;
        firstSend(held);
        reschedule(arrived.id);
    }
    Request fromArrival(const RequestArrived& arrived) {
        Request request;
        request.asked = arrived;
        request.arrivedAt = now_;
        request.aimAt = now_ + arrived.aim;
        request.deadlineAt = now_ + arrived.deadline;
        request.service = drawService(arrived);
        request.shared = sharedPrefix(arrived.prompt);
        double tokens = 0;
        for (const PromptPart& part : arrived.prompt) tokens += part.tokens;
        request.promptTokens = std::max<double>(tokens, arrived.promptTokens);
        const double body = arrived.bodyBytes > 0 ? static_cast<double>(arrived.bodyBytes)
                                                  : kBytesPerTokenIn * request.promptTokens;
        request.bytes = body + kBytesPerTokenOut * arrived.outTokens;
        return request;
    }
    std::string drawService(const RequestArrived& arrived) {
        double sum = 0;
        for (const WeightedService& each : arrived.services) sum += std::max(0.0, each.weight);
        double left = random_() * sum;
        for (const WeightedService& each : arrived.services) {
            if (each.weight <= 0) continue;
            if ((left -= each.weight) < 0) return each.name;
        }
        return {};
    }
    // Places taken are estimated from own attempts, taken for an even part of all gateways'.
    Outlook outlook(const Request& request) {
        const ServiceState& state = serviceOf(request);
        const RouteRecord& record = routeOf(request);
        Outlook result{kNever, 0, request.asked.aim, request.asked.deadline, request.asked.priorityClass};
        double taken = 0, places = 0;
        for (const int i : selection_.allowed(request)) {
            const HostSlot& slot = hosts_.at(i);
            const double capacity = std::max(1, slot.host.capacity);
            const bool full = now_ < slot.fullUntil;
            places += capacity;
            taken += full ? capacity : std::min(capacity, 1.0 * slot.out * state.load.gateways);
            const Millis wait = 1000 * Predictor::timeS(slot, record, state.load, 0, now_);
            result.wait = std::min(result.wait, full ? std::max(wait, slot.fullUntil - now_) : wait);
        }
        if (places > 0) result.takenShare = taken / places;
        return result;
    }

    // ---- the ordinary path

    std::vector<policy::Scored> ranked(const Request& request) {
        return selection_.ranked(request, routeOf(request), serviceOf(request), now_);
    }
    void firstSend(Request& request) {
        const std::vector<policy::Scored> choice = policy::passing(ranked(request));
        if (choice.empty()) return wait(request);
        request.waiting = false;
        request.width = copiesAllowed(request) && calm(request) ? widthOf(request, choice) : 1;
        if (request.width == 1) {
            if (!send(request, policy::weightedDraw(choice, random_()), choice, false))
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
    bool copiesAllowed(const Request& request) const { return request.repeatable() && !request.open; }
    // All slow alike is no reason for copies: they would feed the overload.
    bool calm(const Request& request) {
        return routeOf(request).timeS(now_) * 1000 <= kCalmShare * request.asked.aim;
    }
    bool copyInBudget() {
        return static_cast<double>(copies_.count(now_)) + 1 <=
               kCopyShare * static_cast<double>(repeatable_.count(now_));
    }

    // Whether it may be sent (again) without a request running twice that must not.
    bool mayTryAgain(const Request& request) const {
        if (now_ >= request.deadlineAt) return false;
        if (request.hostsUsed() >= request.asked.maxAttempts) return false;
        if (static_cast<int>(request.attempts.size()) >= request.asked.maxAttempts + kDialsMore) return false;
        return request.repeatable() || !request.mayHaveRun();
    }
    bool send(Request& request, int host, const std::vector<policy::Scored>& scores, bool copy) {
        if (!mayTryAgain(request)) return false;
        ServiceState& state = serviceOf(request);
        const bool further = request.hostsUsed() > 0;
        if (copy && !copyInBudget()) return false;
        if (further && !state.budget.allows(now_)) {
            say("retry budget spent", fmt::format("service {}", request.service));
            return false;
        }
        if (further) state.budget.spend(now_);
        if (copy) copies_.add(now_);
        HostSlot& slot = hosts_.at(host);
        const int number = static_cast<int>(request.attempts.size());
        noteSent(request, number, host, state);
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
    void noteSent(const Request& request, int number, int host, const ServiceState& state) {
        HostSlot& slot = hosts_.at(host);
        Sent sent;
        sent.host = host;
        sent.service = request.service;
        sent.route = request.asked.route;
        sent.sentAt = now_;
        sent.tokens = state.load.engine ? selection_.tokensToRead(request, state, host) : 0;
        sent.ahead = slot.waiting;
        sent.aheadTokens = slot.waitingTokens;
        Predictor::sent(slot, routeOf(request).id, sent);
        slot.sends.sent(now_);
        sent_.emplace(AttemptKey{request.asked.id, number}, std::move(sent));
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
        if (!copiesAllowed(request) || request.waiting || request.outCount() != 1) return;
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
        if (now_ + kLastCall * other < request.aimAt) return;
        send(request, choice.front().server, choice, true);
    }

    // ---- ends

    void wait(Request& request) {
        if (request.waiting) return;
        request.waiting = true;
        request.giveUpAt = now_ + patience(request.asked.aim, request.deadlineAt - now_);
    }
    void giveUpUnlessOut(Request& request) {
        if (request.outCount() == 0) giveUp(request);
    }
    void giveUp(Request& request) {
        const RequestId id = request.asked.id;
        if (request.open) {
            act(BreakOff{id});
        } else if (!request.mayHaveRun()) {  // a refusal promises that, also where a repeat would do no harm
            act(Refuse{id, 503, retryAfter(0, request.deadlineAt - now_)});
        } else {
            act(Fail{id, 502});
        }
        end(request);
    }
    void timeUp(Request& request) {
        const RequestId id = request.asked.id;
        request.open ? act(BreakOff{id}) : act(Fail{id, 504});
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
        due_.erase({request.dueAt, id});
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
    static Attempt& attemptOf(Request& request, int number) {
        return request.attempts[static_cast<std::size_t>(number)];
    }

    void on(const AttemptHead& head) {
        Request* request = find(head.id, head.attempt);
        if (!request) return;
        Attempt& attempt = attemptOf(*request, head.attempt);
        if (!attempt.out || attempt.cancelled || head.notExecuted) return;
        attempt.status = head.status;
        const bool success = head.status >= 200 && head.status < 300;
        const bool failure = head.status >= 500 && request->repeatable();
        attempt.unusable =
            (success && !head.sealed) || promises(head.status) || failure || (request->open && !success);
        if (attempt.unusable || request->open) return;  // a resumed one goes on with its first event
        const bool held = request->repeatable() && head.bodyBytes && *head.bodyBytes <= kHeldBytes;
        if ((request->streaming() && success) || held) return;
        relay(*request, head.attempt);
        reschedule(head.id);
    }
    void on(const AttemptFirstByte& first) {
        const auto out = sent_.find({first.id, first.attempt});
        if (out == sent_.end()) return;
        Sent& sent = out->second;
        Request* request = find(first.id, first.attempt);
        const bool proper = !request || !attemptOf(*request, first.attempt).unusable;
        const bool streaming = request && request->streaming();
        HostSlot& slot = hosts_.at(sent.host);
        RouteRecord& record = route(sent.route);
        if (streaming && proper && sent.waiting)
            Predictor::learnTime(slot, record, service(sent.service).load, sent, (now_ - sent.sentAt) / 1000,
                                 false, now_);
        if (streaming) Predictor::waitingEnded(slot, record.id, sent);
        reached(slot);
        if (!request) return;
        Attempt& attempt = attemptOf(*request, first.attempt);
        attempt.firstByte = true;
        if (!streaming || attempt.unusable || attempt.cancelled || attempt.status == 0) return;
        relay(*request, first.attempt);
        reschedule(first.id);
    }
    void on(const AttemptEnded& ended) {
        const auto out = sent_.find({ended.id, ended.attempt});
        if (out == sent_.end()) return;
        Sent sent = std::move(out->second);
        sent_.erase(out);
        Request* request = find(ended.id, ended.attempt);
        if (ended.warmupLeft > 0) on(WarmupSeen{hosts_.at(sent.host).host.instanceId, ended.warmupLeft});
        learn(sent, ended.outcome, request ? &attemptOf(*request, ended.attempt) : nullptr);
        if (!request) return;
        Attempt& attempt = attemptOf(*request, ended.attempt);
        attempt.out = false;
        attempt.mayHaveArrived =
            ended.outcome != Outcome::notConnected && ended.outcome != Outcome::noCapacity;
        attempt.mayHaveRun = attempt.mayHaveArrived && ended.outcome != Outcome::notExecuted;
        if (!ended.lastEventId.empty() && request->relayed == ended.attempt)
            request->lastEventId = ended.lastEventId;
        conclude(*request, ended);
        reschedule(ended.id);
    }
    void conclude(Request& request, const AttemptEnded& ended) {
        const Attempt& attempt = attemptOf(request, ended.attempt);
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
    void learn(Sent& sent, Outcome outcome, const Attempt* attempt) {
        HostSlot& slot = hosts_.at(sent.host);
        RouteRecord& record = route(sent.route);
        ServiceLoad& load = service(sent.service).load;
        const double took = (now_ - sent.sentAt) / 1000;
        const bool unusable = attempt && attempt->unusable;
        const bool served = outcome == Outcome::served && !unusable;
        const bool calledOff = outcome == Outcome::cancelled || outcome == Outcome::timedOut;
        if (sent.waiting && (served || calledOff))
            Predictor::learnTime(slot, record, load, sent, took, calledOff, now_);
        Predictor::waitingEnded(slot, record.id, sent);
        --slot.out;
        if (served) reached(slot);
        switch (outcome) {
            case Outcome::cancelled:
                if (unusable) Predictor::learnEnd(slot, record.id, false, now_);
                break;
            case Outcome::notExecuted:
            case Outcome::noCapacity:
                markFull(slot, record);
                break;
            case Outcome::notConnected:
                cutOff(slot, true);
                break;
            case Outcome::resetBeforeAnswer:
                cutOff(slot, false);
                [[fallthrough]];
            default:
                Predictor::learnEnd(slot, record.id, served, now_);
        }
    }

    // ---- hosts that are full, cut off, or back

    // Overload is no fault: a host that turns work away is full for about one mean time.
    void markFull(HostSlot& slot, const RouteRecord& record) {
        const Millis mean = 1000 * record.timeS(now_);
        slot.fullUntil = now_ + std::clamp(mean, kFullLeast, kFullMost);
    }
    // A host whose connection broke, or that can't be connected to, may be dead long before the list says so: it gets
    // nothing until a probe passes.
    void cutOff(HostSlot& slot, bool down) {
        if (!slot.cut) {
            slot.probeAt = now_;
            slot.probeGap = kProbeFirstGap;
            say("host cut off", fmt::format("{} at {}", slot.host.instanceId, slot.host.address));
        }
        slot.cut = true;
        slot.down = slot.down || down;
    }
    // One that could not be reached at all may have started anew and is taken for cold.
    void reached(HostSlot& slot) {
        if (slot.down) slot.coldSince = now_;
        if (slot.cut) say("host back", slot.host.instanceId);
        slot.cut = slot.down = false;
    }
    void probe(HostSlot& slot) {
        slot.probing = true;
        slot.probeAt = now_ + kProbeOwed;
        act(Probe{slot.host.instanceId, slot.host.address, slot.host.service});
    }
    void probeCutHosts() {
        nextProbeAt_ = kNever;
        for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
            HostSlot& slot = hosts_.at(i);
            if (!slot.cut || !slot.listed) continue;
            if (now_ >= slot.probeAt) probe(slot);
            nextProbeAt_ = std::min(nextProbeAt_, slot.probeAt);
        }
    }
    void on(const ProbeEnded& ended) {
        const int index = hosts_.find(ended.instanceId);
        if (index < 0) return;
        HostSlot& slot = hosts_.at(index);
        slot.probing = false;
        if (ended.warmupLeft > 0) on(WarmupSeen{ended.instanceId, ended.warmupLeft});
        if (ended.healthy) return reached(slot);
        if (ended.answered && !slot.cut) return;  // it lives, and is full or leaving
        cutOff(slot, !ended.answered);
        slot.probeAt = now_ + slot.probeGap;
        slot.probeGap = std::min(2 * slot.probeGap, kProbeLongestGap);
    }
    void on(const WarmupSeen& seen) {
        const int index = hosts_.find(seen.instanceId);
        if (index < 0 || seen.left <= 0) return;
        HostSlot& slot = hosts_.at(index);
        slot.coldUntil = std::max(slot.coldUntil, now_ + seen.left);
    }

    // ---- the rest of what is told

    void on(const ClientGone& gone) {
        const auto found = requests_.find(gone.id);
        if (found != requests_.end()) end(found->second);
    }
    void on(const Hosts& list) {
        hosts_.update(list, now_);
        lookAtWaiting();
    }
    void on(const Evacuated& zones) {
        hosts_.evacuate(zones, now_);
        lookAtWaiting();
    }
    void on(const Services& list) {
        for (auto& [name, state] : services_) state.configured = false;
        for (const Service& each : list.services) {
            ServiceState& state = service(each.name);
            state.service = each;
            state.configured = true;
            state.load.engine = each.engine;
            applyFleet(state);
        }
    }
    void on(const Fleet& fleet) {
        fleet_ = fleet;
        for (auto& [name, state] : services_) applyFleet(state);
    }
    void on(const Closing&) {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_) ids.push_back(id);
        std::sort(ids.begin(), ids.end());
        for (const RequestId id : ids) giveUp(requests_.at(id));
    }
    void on(const Tick&) {}  // handle() looks at what is due, whatever the event

    // ---- time

    void lookAtWaiting() {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_)
            if (request.waiting) ids.push_back(id);
        lookAt(std::move(ids));
    }
    void lookAtDue() {
        std::vector<RequestId> ids;
        for (const auto& [at, id] : due_) {
            if (at > now_) break;
            ids.push_back(id);
        }
        lookAt(std::move(ids));
    }
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
        for (const Attempt& attempt : request.attempts) {
            if (!attempt.out || attempt.firstByte || now_ < silentAt(attempt)) continue;
            HostSlot& slot = hosts_.at(attempt.host);
            const auto record = slot.records.find(routeOf(request).id);
            const double silence = record == slot.records.end() ? 0 : record->second.silence(toNanos(now_));
            const bool lasting = 1000 * silence >= kSilentProbe;
            if (lasting && slot.listed && !slot.cut && (!slot.probing || now_ >= slot.probeAt)) probe(slot);
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
        if (found == requests_.end()) return;
        Request& request = found->second;
        due_.erase({request.dueAt, id});
        request.dueAt = nextLook(request);
        due_.emplace(request.dueAt, id);
    }
    void setTimer() {
        const Millis due = due_.empty() ? kNever : due_.begin()->first;
        const Millis at = std::min(due, nextProbeAt_);
        if (now_ >= timerAt_) timerAt_ = kNever;
        if (at >= timerAt_ || at == kNever) return;
        timerAt_ = std::max(at, now_);
        act(SetTimer{timerAt_});
    }

    Settings settings_;
    SplitMix random_;
    Millis now_, startedAt_, prunedAt_;
    Millis timerAt_ = kNever;  // when a Tick was asked for
    Millis nextProbeAt_ = kNever;
    HostTable hosts_;
    Selection selection_;
    SlidingCount repeatable_, copies_;
    Fleet fleet_;
    std::unordered_map<std::string, ServiceState> services_;
    std::unordered_map<std::string, RouteRecord> routes_;
    RouteId lastRoute_ = 0;
    std::unordered_map<RequestId, Request> requests_;
    std::map<AttemptKey, Sent> sent_;  // attempts whose end is owed; they outlive their requests
    std::set<std::pair<Millis, RequestId>> due_;
    std::map<std::string, Millis> logged_;
    std::vector<Action>* actions_ = nullptr;
};

Dispatcher::Dispatcher(Settings settings, std::uint64_t seed, Millis now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Millis now, const Event& event, std::vector<Action>& out) {
    impl_->handle(now, event, out);
}
std::size_t Dispatcher::live() const { return impl_->live(); }
std::size_t Dispatcher::attemptsOut() const { return impl_->attemptsOut(); }
std::size_t Dispatcher::hostsKept() const { return impl_->hostsKept(); }

}  // namespace beechpoint::dispatch
