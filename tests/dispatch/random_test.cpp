// Invariants over random scenarios with several gateways and hosts that are added, removed or drained, warm
// up and fail.
#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "core/splitmix.hpp"
#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

constexpr double kWarmupPerS = 6, kWarmupOvershoot = 1.5, kWarmupSlack = 5, kWarmupS = 3;
constexpr Millis kRetryWindow = 10000;
constexpr std::uint64_t kFailuresPerMisdirected = 20;  // one in so many failed attempts is misdirected (421)

struct Scenario {
    // A request as observed by the scenario.
    struct Tracked {
        RequestArrived arrival;
        std::set<int> inFlight;
        int possibleRuns = 0;
        int misdirected = 0;
        bool open = false;
        int relayed = -1;
        bool ended = false;
        int sendCount = 0;
        Millis arrivedAt = 0;
        std::size_t gateway = 0;
    };
    struct AttemptStep {
        Millis at = 0;
        std::size_t gateway = 0;
        RequestId id = 0;
        int attempt = 0;
        int step = 0;  // 0: head, 1: first byte, 2: end
        Outcome outcome = Outcome::served;
        bool operator<(const AttemptStep& other) const { return at > other.at; }
    };
    struct Gateway {
        std::unique_ptr<Dispatcher> dispatcher;
        Millis timerAt = 0;
    };

    // In every third scenario the failures would exceed the retry budget many times over.
    explicit Scenario(std::uint64_t seed)
        : random(seed), ratio(seed % 3 == 0 ? 0.01 : 0.2), slack(seed % 3 == 0 ? 3 : 40) {
        const int count = 1 + static_cast<int>(random.below(6));
        Settings settings = testSettings();
        settings.retryBudgetRatio = ratio;
        settings.retryBudgetSlack = slack;
        settings.warmupOvershoot = kWarmupOvershoot;
        settings.warmupSlack = kWarmupSlack;
        for (int i = 0; i < count; ++i)
            gateways.push_back(
                {std::make_unique<Dispatcher>(settings, seed * 100 + static_cast<std::uint64_t>(i), now), 0});
        for (int i = 0; i < 8; ++i) addHost();
        for (std::size_t g = 0; g < gateways.size(); ++g) {
            handle(g, ServiceList{{makeService("svc", kWarmupS, kWarmupPerS, seed % 2 == 0)}});
            handle(g, Fleet{count, true, static_cast<int>(g)});
            handle(g, HostList{hosts});
        }
    }

    void addHost() {
        const std::string region = random() < 0.5 ? "north" : "south";
        hosts.push_back(makeHost("i-" + std::to_string(++lastHost), "svc", region,
                                 region + "-" + std::to_string(random.below(2))));
        hosts.back().capacity = 4;
    }
    void handleAtAll(const Event& event) {
        for (std::size_t g = 0; g < gateways.size(); ++g) handle(g, event);
    }
    void handle(std::size_t gateway, const Event& event) {
        std::vector<Action> actions;
        gateways[gateway].dispatcher->handle(now, event, actions);
        for (const Action& action : actions)
            std::visit([&](const auto& one) { onAction(gateway, one); }, action);
    }

    Tracked& trackedOf(RequestId id) {
        Tracked& request = tracked.at(id);
        EXPECT_FALSE(request.ended) << "an action for a request that has ended";
        return request;
    }
    const Host* hostOf(const std::string& instance) const {
        for (const Host& host : hosts)
            if (host.instanceId == instance) return &host;
        return nullptr;
    }
    void onAction(std::size_t gateway, const Send& send) {
        Tracked& request = trackedOf(send.id);
        const Host* host = hostOf(send.instanceId);
        ASSERT_NE(host, nullptr) << "sent to a removed host";
        EXPECT_EQ(host->state, HostState::serving);
        EXPECT_FALSE(evacuated.contains(host->zone));
        if (request.arrival.allowedRegions) {
            EXPECT_EQ(std::count(request.arrival.allowedRegions->begin(),
                                 request.arrival.allowedRegions->end(), host->region),
                      1);
        }
        const bool idempotent = request.arrival.type == RequestType::idempotent || request.arrival.resumable;
        EXPECT_TRUE(idempotent || request.possibleRuns + static_cast<int>(request.inFlight.size()) == 0)
            << "a non-idempotent request may run twice";
        EXPECT_EQ(send.resume, request.open);
        EXPECT_GT(send.timeout, 0);
        EXPECT_LE(now + send.timeout, request.arrivedAt + request.arrival.deadline)
            << "the time-out exceeds the remaining time";
        const int arrivals =
            arrivalsAtHosts.contains(send.id) ? static_cast<int>(arrivalsAtHosts.at(send.id).size()) : 0;
        const int hostsBefore = arrivals - request.misdirected;
        EXPECT_LT(hostsBefore, request.arrival.maxAttempts) << "more hosts than maxAttempts";
        EXPECT_EQ(send.attempt, request.sendCount);
        ++request.sendCount;
        request.inFlight.insert(send.attempt);
        const bool warmingUp =
            warmingUpUntil.contains(send.instanceId) && now < warmingUpUntil.at(send.instanceId);
        if (warmingUp) warmupSends[send.instanceId].push_back(now);
        scheduleSteps(gateway, send, host->instanceId);
    }
    void scheduleSteps(std::size_t gateway, const Send& send, const std::string& instance) {
        const Outcome outcomes[] = {Outcome::served,       Outcome::hostError,  Outcome::rejected,
                                    Outcome::notConnected, Outcome::noCapacity, Outcome::resetBeforeAnswer,
                                    Outcome::incomplete,   Outcome::malformed,  Outcome::attemptIdMismatch,
                                    Outcome::timedOut};
        const bool succeeds = random() < (std::hash<std::string>{}(instance) % 3 == 0 ? 0.5 : 0.95);
        const bool misdirected = !succeeds && random.below(kFailuresPerMisdirected) == 0;
        const Outcome outcome = succeeds      ? Outcome::served
                                : misdirected ? Outcome::misdirected
                                              : outcomes[1 + random.below(9)];
        if (misdirected) ++trackedOf(send.id).misdirected;
        const Millis duration = outcome == Outcome::timedOut ? send.timeout : 5 + 100 * random() * random();
        if (outcome != Outcome::notConnected && outcome != Outcome::noCapacity)
            arrivalsAtHosts[send.id].push_back(now + duration / 2);
        const bool hasHead = outcome == Outcome::served || outcome == Outcome::hostError ||
                             outcome == Outcome::rejected || outcome == Outcome::incomplete;
        if (hasHead) attemptSteps.push({now + duration * 0.8, gateway, send.id, send.attempt, 0, outcome});
        if (outcome == Outcome::served || outcome == Outcome::incomplete)
            attemptSteps.push({now + duration * 0.9, gateway, send.id, send.attempt, 1, outcome});
        attemptSteps.push({now + duration, gateway, send.id, send.attempt, 2, outcome});
    }
    void onAction(std::size_t gateway, const Cancel& cancel) {
        cancelled.insert({cancel.id, cancel.attempt});
        attemptSteps.push({now, gateway, cancel.id, cancel.attempt, 2, Outcome::cancelled});
    }
    void onAction(std::size_t, const Relay& relay) {
        Tracked& request = trackedOf(relay.id);
        EXPECT_TRUE(request.relayed < 0 || request.arrival.resumable);
        request.relayed = relay.attempt;
        request.open = true;
    }
    void onAction(std::size_t, const Reject& reject) {
        Tracked& request = trackedOf(reject.id);
        EXPECT_FALSE(request.open);
        EXPECT_EQ(request.possibleRuns + static_cast<int>(request.inFlight.size()), 0)
            << "rejected although it may have run";
        EXPECT_LE(reject.retryAfter, request.arrival.deadline / 3);
        request.ended = true;
    }
    void onAction(std::size_t, const Fail& fail) {
        Tracked& request = trackedOf(fail.id);
        EXPECT_FALSE(request.open);
        request.ended = true;
    }
    void onAction(std::size_t, const AbortResponse& abort) {
        Tracked& request = trackedOf(abort.id);
        EXPECT_TRUE(request.open);
        request.ended = true;
    }
    void onAction(std::size_t gateway, const CheckHealth& check) {
        healthChecks.push({now + 10, {gateway, check.instanceId}});
    }
    void onAction(std::size_t gateway, const SetTimer& timer) { gateways[gateway].timerAt = timer.at; }
    void onAction(std::size_t, const Log&) {}
    // One in ten reports is lost.
    void onAction(std::size_t gateway, const ReportLoad& load) {
        for (std::size_t other = 0; other < gateways.size(); ++other)
            if (other != gateway && random() < 0.9)
                handle(other, PeerLoad{gateway + 1, false, load.hosts, 2500, load.speeds});
    }

    void arrive() {
        RequestArrived arrival;
        arrival.id = ++lastId;
        arrival.route = "route-" + std::to_string(random.below(4));
        arrival.services = {{"svc", 1}};
        arrival.type = static_cast<RequestType>(random.below(3));
        arrival.resumable = arrival.type == RequestType::streaming && random() < 0.5;
        arrival.latencyTarget = 300;
        arrival.deadline = arrival.timeout = 1500;
        arrival.priorityClass = static_cast<int>(random.below(3));
        arrival.maxAttempts = 1 + static_cast<int>(random.below(3));
        if (random() < 0.3) arrival.allowedRegions = {"north"};
        arrival.prompt = {{"p" + std::to_string(random.below(10)), 3000}, {"own", 100}};
        Tracked& request = tracked[arrival.id];
        request.arrival = arrival;
        request.arrivedAt = now;
        request.gateway = random.below(gateways.size());
        arrivalTimes.push_back(now);
        if (random() < 0.1) scheduledDisconnects.emplace(now + 300 * random(), arrival.id);
        handle(request.gateway, arrival);
    }
    // The client disconnects: no further action follows, and attempts in flight are cancelled at once.
    void disconnect(RequestId id) {
        Tracked& request = tracked.at(id);
        if (request.ended) return;
        request.ended = true;
        handle(request.gateway, ClientDisconnected{id});
        for (const int attempt : request.inFlight)
            EXPECT_TRUE(cancelled.contains({id, attempt})) << "attempt not cancelled after the disconnect";
    }
    // Every request ends by its deadline (ticks are at most 1 ms late here).
    void checkDeadlines() {
        for (; oldestOpen <= lastId &&
               now > tracked.at(oldestOpen).arrivedAt + tracked.at(oldestOpen).arrival.deadline + 2;
             ++oldestOpen)
            EXPECT_TRUE(tracked.at(oldestOpen).ended)
                << "request " << oldestOpen << " has not ended by its deadline";
    }
    void deliver(const AttemptStep& next) {
        Tracked& request = tracked.at(next.id);
        if (!request.inFlight.contains(next.attempt)) return;
        const bool wasCancelled = cancelled.contains({next.id, next.attempt});
        if (wasCancelled != (next.outcome == Outcome::cancelled)) return;
        if (next.step == 0) {
            AttemptHead head;
            head.id = next.id, head.attempt = next.attempt;
            head.status = next.outcome == Outcome::hostError  ? 500
                          : next.outcome == Outcome::rejected ? 503
                                                              : 200;
            head.rejected = next.outcome == Outcome::rejected;
            head.bodyBytes = 100;
            return handle(next.gateway, head);
        }
        if (next.step == 1) return handle(next.gateway, AttemptFirstByte{next.id, next.attempt});
        request.inFlight.erase(next.attempt);
        const bool didNotRun = next.outcome == Outcome::rejected || next.outcome == Outcome::misdirected ||
                               next.outcome == Outcome::notConnected || next.outcome == Outcome::noCapacity;
        if (!didNotRun) ++request.possibleRuns;
        const bool complete = next.outcome == Outcome::served || next.outcome == Outcome::hostError;
        handle(next.gateway, AttemptEnded{next.id, next.attempt, next.outcome, "", 0});
        if (complete && request.relayed == next.attempt) request.ended = true;
    }
    void changeHosts() {
        const double choice = random();
        Host& host = hosts[random.below(hosts.size())];
        if (choice < 0.25) {
            host.state = host.state == HostState::serving ? HostState::draining : HostState::serving;
        } else if (choice < 0.4) {
            hosts.erase(hosts.begin() + (&host - hosts.data()));
            addHost();
            warmingUpUntil[hosts.back().instanceId] = now + kWarmupS * 1000;
        } else if (choice < 0.55) {
            host.warmupLeft = 2000;
            warmingUpUntil[host.instanceId] = now + host.warmupLeft;
        } else {
            evacuated.clear();
            if (choice < 0.8) evacuated.insert(host.zone);
            handleAtAll(EvacuatedZones{{evacuated.begin(), evacuated.end()}});
        }
        handleAtAll(HostList{hosts});
        for (Host& each : hosts) each.warmupLeft = 0;
    }
    void run(Millis length) {
        const Millis end = now + length;
        Millis nextArrival = now, nextChange = now + 3000;
        while (now < end + 5000) {
            if (now < end && now >= nextArrival) arrive(), nextArrival = now + 20 * random();
            while (!scheduledDisconnects.empty() && scheduledDisconnects.begin()->first <= now) {
                const RequestId id = scheduledDisconnects.begin()->second;
                scheduledDisconnects.erase(scheduledDisconnects.begin());
                disconnect(id);
            }
            if (now >= nextChange) changeHosts(), nextChange = now + 2000 * random();
            while (!attemptSteps.empty() && attemptSteps.top().at <= now) {
                const AttemptStep next = attemptSteps.top();
                attemptSteps.pop();
                deliver(next);
            }
            while (!healthChecks.empty() && healthChecks.front().first <= now) {
                const auto [gateway, instance] = healthChecks.front().second;
                healthChecks.pop();
                handle(gateway, HealthCheckEnded{instance, random() < 0.7, 0, true});
            }
            for (std::size_t g = 0; g < gateways.size(); ++g) {
                if (gateways[g].timerAt == 0 || gateways[g].timerAt > now) continue;
                gateways[g].timerAt = 0;
                handle(g, Tick{});
            }
            checkDeadlines();
            now += 1;
        }
    }
    void checkEnds() {
        for (const auto& [id, request] : tracked)
            EXPECT_TRUE(request.ended) << "request " << id << " has not ended";
        for (const Gateway& gateway : gateways) {
            EXPECT_EQ(gateway.dispatcher->requestCount(), 0u);
            EXPECT_EQ(gateway.dispatcher->attemptsInFlight(), 0u);
        }
    }
    static double countWithin(const std::vector<Millis>& times, Millis from, Millis to) {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) -
                                   std::lower_bound(times.begin(), times.end(), from));
    }
    void checkBudget() {
        std::vector<Millis> retries;
        for (const auto& [id, times] : arrivalsAtHosts)
            retries.insert(retries.end(), times.begin() + 1, times.end());
        std::sort(retries.begin(), retries.end());
        for (const Millis from : retries) {
            const double maxRequests =
                std::max({countWithin(arrivalTimes, from, from + kRetryWindow),
                          countWithin(arrivalTimes, from - kRetryWindow, from),
                          countWithin(arrivalTimes, from - kRetryWindow / 2, from + kRetryWindow / 2)});
            ASSERT_LE(countWithin(retries, from, from + kRetryWindow), ratio * maxRequests + slack);
        }
    }
    void checkSlowStart() {
        for (const auto& [host, sends] : warmupSends)
            for (const Millis from : sends)
                ASSERT_LE(countWithin(sends, from, from + 1000),
                          kWarmupPerS * kWarmupOvershoot + kWarmupSlack)
                    << host;
    }

    SplitMix random;
    double ratio, slack;  // of the retry budget
    Millis now = 1000000;
    std::vector<Gateway> gateways;
    std::vector<Host> hosts;
    std::set<std::string> evacuated;
    std::map<RequestId, Tracked> tracked;
    std::map<RequestId, std::vector<Millis>> arrivalsAtHosts;
    std::set<std::pair<RequestId, int>> cancelled;
    std::vector<Millis> arrivalTimes;
    std::map<std::string, Millis> warmingUpUntil;
    std::map<std::string, std::vector<Millis>> warmupSends;
    std::priority_queue<AttemptStep> attemptSteps;
    std::queue<std::pair<Millis, std::pair<std::size_t, std::string>>> healthChecks;
    std::set<std::pair<Millis, RequestId>> scheduledDisconnects;
    RequestId lastId = 0, oldestOpen = 1;
    int lastHost = 0;
};

// In every scenario: no send to a host that is removed, draining, evacuated or outside the allowed regions;
// at most one attempt that may have run for a non-idempotent request; no rejection of a request that may have
// run; exactly one end per request, no later than its deadline; at most maxAttempts hosts per request, each
// with a time-out within the remaining time; no action after a client disconnect; the retry budget and the
// slow-start limit hold over all gateways.
TEST(RandomScenarios, HoldAllInvariants) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Scenario scenario(seed);
        scenario.run(20000);
        scenario.checkEnds();
        scenario.checkBudget();
        scenario.checkSlowStart();
        EXPECT_GT(scenario.arrivalsAtHosts.size(), 1000u);
        if (testing::Test::HasFailure()) break;
    }
}

}  // namespace
}  // namespace beechpoint::dispatch
