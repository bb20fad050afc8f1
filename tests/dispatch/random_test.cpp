// Properties over random scenarios: several gateways, hosts that are added, removed, drained, warm up or fail in every way.
#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "core/splitmix.hpp"
#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

constexpr double kWarmupPerS = 6, kOvershoot = 1.5, kWarmupSlack = 5, kWarmupS = 3;
constexpr Millis kWindow = 10000;
constexpr std::uint64_t kUnsoundToOneEnded = 20;  // of results that are not served, one in so many is a 421

struct Scenario {
    struct Tracked {  // of a request
        RequestArrived asked;
        std::set<int> out;
        int possiblyRun = 0;
        int misdirected = 0;
        bool open = false;
        int relayed = -1;
        bool over = false;
        int sent = 0;
        Millis arrivedAt = 0;
        std::size_t gateway = 0;
    };
    struct Pending {
        Millis at = 0;
        std::size_t gateway = 0;
        RequestId id = 0;
        int attempt = 0;
        int step = 0;  // 0 head, 1 first byte, 2 end
        Outcome outcome = Outcome::served;
        bool operator<(const Pending& other) const { return at > other.at; }
    };
    struct Gateway {
        std::unique_ptr<Dispatcher> dispatcher;
        Millis timerAt = 0;
    };

    // Every third scenario has a budget that its failures would exceed many times over.
    explicit Scenario(std::uint64_t seed)
        : random(seed), ratio(seed % 3 == 0 ? 0.01 : 0.2), slack(seed % 3 == 0 ? 3 : 40) {
        const int count = 1 + static_cast<int>(random.below(6));
        Settings settings = testSettings();
        settings.retryBudgetRatio = ratio;
        settings.retryBudgetSlack = slack;
        settings.warmupOvershoot = kOvershoot;
        settings.warmupSlack = kWarmupSlack;
        for (int i = 0; i < count; ++i)
            gateways.push_back(
                {std::make_unique<Dispatcher>(settings, seed * 100 + static_cast<std::uint64_t>(i), now), 0});
        for (int i = 0; i < 8; ++i) addHost();
        for (std::size_t g = 0; g < gateways.size(); ++g) {
            handle(g, ServiceList{{serviceNamed("svc", kWarmupS, kWarmupPerS, seed % 2 == 0)}});
            handle(g, Fleet{count, true, static_cast<int>(g)});
            handle(g, HostList{hosts});
        }
    }

    void addHost() {
        const std::string region = random() < 0.5 ? "north" : "south";
        hosts.push_back(hostNamed("i-" + std::to_string(++lastHost), "svc", region,
                                  region + "-" + std::to_string(random.below(2))));
        hosts.back().capacity = 4;
    }
    void toAll(const Event& event) {
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
        EXPECT_FALSE(request.over) << "an action about a request that is over";
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
        if (request.asked.allowedRegions) {
            EXPECT_EQ(std::count(request.asked.allowedRegions->begin(), request.asked.allowedRegions->end(),
                                 host->region),
                      1);
        }
        const bool idempotent = request.asked.type == RequestType::idempotent || request.asked.resumable;
        EXPECT_TRUE(idempotent || request.possiblyRun + static_cast<int>(request.out.size()) == 0)
            << "may run twice";
        EXPECT_EQ(send.resume, request.open);
        EXPECT_GT(send.timeout, 0);
        EXPECT_LE(now + send.timeout, request.arrivedAt + request.asked.deadline) << "more than is left";
        const int arrivals = arrived.contains(send.id) ? static_cast<int>(arrived.at(send.id).size()) : 0;
        const int hostsBefore = arrivals - request.misdirected;
        EXPECT_LT(hostsBefore, request.asked.maxAttempts) << "too many hosts";
        EXPECT_EQ(send.attempt, request.sent);
        ++request.sent;
        request.out.insert(send.attempt);
        const bool warmingUp =
            warmingUpUntil.contains(send.instanceId) && now < warmingUpUntil.at(send.instanceId);
        if (warmingUp) warmupSends[send.instanceId].push_back(now);
        plan(gateway, send, host->instanceId);
    }
    void plan(std::size_t gateway, const Send& send, const std::string& instance) {
        const Outcome outcomes[] = {Outcome::served,       Outcome::hostError,  Outcome::rejected,
                                    Outcome::notConnected, Outcome::noCapacity, Outcome::resetBeforeAnswer,
                                    Outcome::incomplete,   Outcome::malformed,  Outcome::attemptIdMismatch,
                                    Outcome::timedOut};
        const bool sound = random() < (std::hash<std::string>{}(instance) % 3 == 0 ? 0.5 : 0.95);
        const bool ended = !sound && random.below(kUnsoundToOneEnded) == 0;
        const Outcome outcome = sound   ? Outcome::served
                                : ended ? Outcome::misdirected
                                        : outcomes[1 + random.below(9)];
        if (ended) ++trackedOf(send.id).misdirected;
        const Millis took = outcome == Outcome::timedOut ? send.timeout : 5 + 100 * random() * random();
        if (outcome != Outcome::notConnected && outcome != Outcome::noCapacity)
            arrived[send.id].push_back(now + took / 2);
        const bool headed = outcome == Outcome::served || outcome == Outcome::hostError ||
                            outcome == Outcome::rejected || outcome == Outcome::incomplete;
        if (headed) pending.push({now + took * 0.8, gateway, send.id, send.attempt, 0, outcome});
        if (outcome == Outcome::served || outcome == Outcome::incomplete)
            pending.push({now + took * 0.9, gateway, send.id, send.attempt, 1, outcome});
        pending.push({now + took, gateway, send.id, send.attempt, 2, outcome});
    }
    void onAction(std::size_t gateway, const Cancel& cancel) {
        cancelled.insert({cancel.id, cancel.attempt});
        pending.push({now, gateway, cancel.id, cancel.attempt, 2, Outcome::cancelled});
    }
    void onAction(std::size_t, const Relay& relay) {
        Tracked& request = trackedOf(relay.id);
        EXPECT_TRUE(request.relayed < 0 || request.asked.resumable);
        request.relayed = relay.attempt;
        request.open = true;
    }
    void onAction(std::size_t, const Reject& reject) {
        Tracked& request = trackedOf(reject.id);
        EXPECT_FALSE(request.open);
        EXPECT_EQ(request.possiblyRun + static_cast<int>(request.out.size()), 0)
            << "rejected, yet may have run";
        EXPECT_LE(reject.retryAfter, request.asked.deadline / 3);
        request.over = true;
    }
    void onAction(std::size_t, const Fail& fail) {
        Tracked& request = trackedOf(fail.id);
        EXPECT_FALSE(request.open);
        request.over = true;
    }
    void onAction(std::size_t, const AbortResponse& abort) {
        Tracked& request = trackedOf(abort.id);
        EXPECT_TRUE(request.open);
        request.over = true;
    }
    void onAction(std::size_t gateway, const CheckHealth& check) {
        healthChecks.push({now + 10, {gateway, check.instanceId}});
    }
    void onAction(std::size_t gateway, const SetTimer& timer) { gateways[gateway].timerAt = timer.at; }
    void onAction(std::size_t, const Log&) {}
    // Some datagrams get lost.
    void onAction(std::size_t gateway, const ReportLoad& load) {
        for (std::size_t other = 0; other < gateways.size(); ++other)
            if (other != gateway && random() < 0.9)
                handle(other, PeerLoad{gateway + 1, false, load.hosts, 2500, load.speeds});
    }

    void arrive() {
        RequestArrived asked;
        asked.id = ++lastId;
        asked.route = "route-" + std::to_string(random.below(4));
        asked.services = {{"svc", 1}};
        asked.type = static_cast<RequestType>(random.below(3));
        asked.resumable = asked.type == RequestType::streaming && random() < 0.5;
        asked.latencyTarget = 300;
        asked.deadline = asked.timeout = 1500;
        asked.priorityClass = static_cast<int>(random.below(3));
        asked.maxAttempts = 1 + static_cast<int>(random.below(3));
        if (random() < 0.3) asked.allowedRegions = {"north"};
        asked.prompt = {{"p" + std::to_string(random.below(10)), 3000}, {"own", 100}};
        Tracked& request = tracked[asked.id];
        request.asked = asked;
        request.arrivedAt = now;
        request.gateway = random.below(gateways.size());
        requests.push_back(now);
        if (random() < 0.1) disconnects.emplace(now + 300 * random(), asked.id);
        handle(request.gateway, asked);
    }
    // Its client disconnects: it gets no further action, and attempts in flight are cancelled at once.
    void disconnect(RequestId id) {
        Tracked& request = tracked.at(id);
        if (request.over) return;
        request.over = true;
        handle(request.gateway, ClientDisconnected{id});
        for (const int attempt : request.out)
            EXPECT_TRUE(cancelled.contains({id, attempt})) << "still works on it";
    }
    // No request is without its final answer later than its deadline (a tick is at most 1 ms late here).
    void checkOverdue() {
        for (; oldest <= lastId && now > tracked.at(oldest).arrivedAt + tracked.at(oldest).asked.deadline + 2;
             ++oldest)
            EXPECT_TRUE(tracked.at(oldest).over) << "request " << oldest << " has no end past its deadline";
    }
    void finish(const Pending& next) {
        Tracked& request = tracked.at(next.id);
        if (!request.out.contains(next.attempt)) return;
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
        request.out.erase(next.attempt);
        const bool never = next.outcome == Outcome::rejected || next.outcome == Outcome::misdirected ||
                           next.outcome == Outcome::notConnected || next.outcome == Outcome::noCapacity;
        if (!never) ++request.possiblyRun;
        const bool complete = next.outcome == Outcome::served || next.outcome == Outcome::hostError;
        handle(next.gateway, AttemptEnded{next.id, next.attempt, next.outcome, "", 0});
        if (complete && request.relayed == next.attempt) request.over = true;
    }
    void change() {
        const double what = random();
        Host& host = hosts[random.below(hosts.size())];
        if (what < 0.25) {
            host.state = host.state == HostState::serving ? HostState::draining : HostState::serving;
        } else if (what < 0.4) {
            hosts.erase(hosts.begin() + (&host - hosts.data()));
            addHost();
            warmingUpUntil[hosts.back().instanceId] = now + kWarmupS * 1000;
        } else if (what < 0.55) {
            host.warmupLeft = 2000;
            warmingUpUntil[host.instanceId] = now + host.warmupLeft;
        } else {
            evacuated.clear();
            if (what < 0.8) evacuated.insert(host.zone);
            toAll(EvacuatedZones{{evacuated.begin(), evacuated.end()}});
        }
        toAll(HostList{hosts});
        for (Host& each : hosts) each.warmupLeft = 0;
    }
    void run(Millis length) {
        const Millis end = now + length;
        Millis nextArrival = now, nextChange = now + 3000;
        while (now < end + 5000) {
            if (now < end && now >= nextArrival) arrive(), nextArrival = now + 20 * random();
            while (!disconnects.empty() && disconnects.begin()->first <= now) {
                const RequestId id = disconnects.begin()->second;
                disconnects.erase(disconnects.begin());
                disconnect(id);
            }
            if (now >= nextChange) change(), nextChange = now + 2000 * random();
            while (!pending.empty() && pending.top().at <= now) {
                const Pending next = pending.top();
                pending.pop();
                finish(next);
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
            checkOverdue();
            now += 1;
        }
    }
    void checkEnds() {
        for (const auto& [id, request] : tracked)
            EXPECT_TRUE(request.over) << "request " << id << " has no end";
        for (const Gateway& gateway : gateways) {
            EXPECT_EQ(gateway.dispatcher->requestCount(), 0u);
            EXPECT_EQ(gateway.dispatcher->attemptsInFlight(), 0u);
        }
    }
    static double within(const std::vector<Millis>& times, Millis from, Millis to) {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) -
                                   std::lower_bound(times.begin(), times.end(), from));
    }
    void checkBudget() {
        std::vector<Millis> further;
        for (const auto& [id, times] : arrived) further.insert(further.end(), times.begin() + 1, times.end());
        std::sort(further.begin(), further.end());
        for (const Millis from : further) {
            const double most =
                std::max({within(requests, from, from + kWindow), within(requests, from - kWindow, from),
                          within(requests, from - kWindow / 2, from + kWindow / 2)});
            ASSERT_LE(within(further, from, from + kWindow), ratio * most + slack);
        }
    }
    void checkSlowStart() {
        for (const auto& [host, sends] : warmupSends)
            for (const Millis from : sends)
                ASSERT_LE(within(sends, from, from + 1000), kWarmupPerS * kOvershoot + kWarmupSlack) << host;
    }

    SplitMix random;
    double ratio, slack;  // of the retry budget
    Millis now = 1000000;
    std::vector<Gateway> gateways;
    std::vector<Host> hosts;
    std::set<std::string> evacuated;
    std::map<RequestId, Tracked> tracked;
    std::map<RequestId, std::vector<Millis>> arrived;
    std::set<std::pair<RequestId, int>> cancelled;
    std::vector<Millis> requests;
    std::map<std::string, Millis> warmingUpUntil;
    std::map<std::string, std::vector<Millis>> warmupSends;
    std::priority_queue<Pending> pending;
    std::queue<std::pair<Millis, std::pair<std::size_t, std::string>>> healthChecks;
    std::set<std::pair<Millis, RequestId>> disconnects;
    RequestId lastId = 0, oldest = 1;
    int lastHost = 0;
};

// In every scenario: no send to a host that is removed, draining, evacuated or outside the allowed regions; at most one
// send that may have run of a request that is not idempotent; no rejection of one that may have run; one end for each
// request, no later than its deadline; no more hosts than its route allows, each handed no more time than is left; nothing
// more once its client has disconnected; the retry budget and the slow start's bound hold over all gateways.
TEST(RandomScenarios, HoldAllInvariants) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Scenario scenario(seed);
        scenario.run(20000);
        scenario.checkEnds();
        scenario.checkBudget();
        scenario.checkSlowStart();
        EXPECT_GT(scenario.arrived.size(), 1000u);
        if (testing::Test::HasFailure()) break;
    }
}

}  // namespace
}  // namespace beechpoint::dispatch
