#include "scale/driver.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "scale/hollow_gateway.hpp"
#include "scale/operator_client.hpp"

namespace beechpoint::scale {
namespace {

constexpr Millis kFoundingMost = 20'000;
constexpr Millis kFillMost = 30'000;
constexpr Millis kSettle = 4000;       // until every lease is known everywhere
constexpr Millis kInForceMost = 8000;  // after the last acknowledgement
constexpr Millis kAcknowledgeMost = 8000;
constexpr Millis kStep = 20;

Error late(const char* what) {
    return {ErrorKind::timedOut, "scale", fmt::format("{} did not come about in time", what),
            "run it alone on the machine, or with fewer gateways"};
}

// Calls of the operator on a thread of their own; the loop goes on meanwhile.
class OperatorThread {
public:
    explicit OperatorThread(std::function<void()> calls)
        : thread_([this, calls = std::move(calls)] {
              calls();
              processor_ = threadTime();
              done_ = true;
          }) {}
    bool done() const { return done_; }
    Millis processor() const { return processor_; }

private:
    std::atomic<bool> done_{false};
    std::atomic<Millis> processor_{0};
    std::jthread thread_;
};

// 0 where it fell: counts of connections that were closed in between are lost.
std::uint64_t grown(std::uint64_t before, std::uint64_t after) { return after > before ? after - before : 0; }

class Run {
public:
    Run(Cluster& cluster, const Plan& plan, const Clock& clock, Logger& logger)
        : cluster_(cluster), plan_(plan), clock_(clock), logger_(logger), progress_(plan.gateways) {
        for (std::size_t member = 0; member < kMembers; member++)
            operatorAddresses_.push_back(memberAddress(member, cluster.ports().control));
    }

    Result<Outcome> run() {
        if (!found()) return late("a view of all members");
        if (!fill()) return late("table and host list at every gateway");
        outcome_.idle = during([this] { runFor(plan_.idle); });
        outcome_.changing = during([this] { changeConfiguration(); });
        outcome_.hostChanging = during([this] { changeHosts(); });
        measureMemory();
        loseMember();
        return std::move(outcome_);
    }

private:
    struct Reading {
        Millis at = 0;
        std::array<Millis, kMembers> members{};
        Millis own = 0, operators = 0;
        Traffic traffic;
        std::uint64_t replies = 0, peerBytes = 0, platformBytes = 0;
    };

    // --- the loop

    bool runUntil(const std::function<bool()>& condition, Millis most) {
        const Millis end = clock_.now() + most;
        while (!condition()) {
            if (clock_.now() >= end) return false;
            if (io_.stopped()) io_.restart();
            io_.run_for(std::chrono::milliseconds(static_cast<int>(kStep)));
        }
        return true;
    }
    void runFor(Millis length) {
        runUntil([] { return false; }, length);
    }
    void sleepUntil(Millis moment) const {
        const Millis left = moment - clock_.now();
        if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(left));
    }

    // --- what is used

    Reading read() {
        Reading reading;
        reading.at = clock_.now();
        for (std::size_t member = 0; member < kMembers; member++) {
            reading.members[member] = processorTime(cluster_.children()[member].pid);
            reading.peerBytes += cluster_.shared().members[member].peerBytes;
            reading.platformBytes += cluster_.shared().members[member].platformBytes;
        }
        reading.own = processorTime(getpid());
        reading.operators = operatorsProcessor_;
        reading.traffic = trafficTo(cluster_.ports().internal);
        reading.replies = progress_.replies();
        return reading;
    }

    Use during(const std::function<void()>& stretch) {
        const Reading before = read();
        stretch();
        const Reading after = read();
        Use use;
        use.length = after.at - before.at;
        for (std::size_t member = 0; member < kMembers; member++)
            use.memberProcessor[member] = after.members[member] - before.members[member];
        use.gatewaysProcessor = after.own - before.own - (after.operators - before.operators);
        use.gatewayBytes = grown(before.traffic.bytes(), after.traffic.bytes());
        use.gatewaySegments = grown(before.traffic.segments, after.traffic.segments);
        use.replies = after.replies - before.replies;
        use.peerBytes = grown(before.peerBytes, after.peerBytes);
        use.platformBytes = grown(before.platformBytes, after.platformBytes);
        return use;
    }

    void measureMemory() {
        for (std::size_t member = 0; member < kMembers; member++)
            outcome_.memberMemory[member] = residentBytes(cluster_.children()[member].pid);
        const std::uint64_t own = residentBytes(getpid());
        outcome_.gatewaysMemory = own > memoryBefore_ ? own - memoryBefore_ : 0;
    }

    // --- stretches

    bool found() {
        const Millis began = clock_.now();
        const auto whole = [this] {
            const auto& members = cluster_.shared().members;
            return std::all_of(std::begin(members), std::end(members),
                               [](const auto& member) { return member.inView == 1; });
        };
        const bool founded = runUntil(whole, kFoundingMost);
        outcome_.founded = clock_.now() - began;
        return founded;
    }

    bool fill() {
        const std::string first = firstConfiguration(plan_.routes, plan_.services);
        memoryBefore_ = residentBytes(getpid());
        makeGateways();
        std::atomic<Millis> acknowledged{0};
        OperatorThread thread([&] {
            acknowledged = OperatorClient(operatorAddresses_, clock_).put(0, first, kAcknowledgeMost);
        });
        const auto filled = [&] {
            return thread.done() && progress_.revisions().gatewaysAt(1) == plan_.gateways &&
                   progress_.gatewaysWithHosts(plan_.hosts) == plan_.gateways;
        };
        if (!runUntil(filled, kFillMost)) return false;
        outcome_.filled = clock_.now() - acknowledged;
        runFor(kSettle);
        outcome_.counted = progress_.gatewaysThatCount(static_cast<std::uint32_t>(plan_.gateways));
        operatorsProcessor_ = operatorsProcessor_ + thread.processor();
        return true;
    }

    void makeGateways() {
        std::vector<std::string> seeds;
        for (std::size_t member = 0; member < kMembers; member++)
            seeds.push_back(memberAddress(member, cluster_.ports().internal));
        for (std::size_t index = 0; index < plan_.gateways; index++)
            gateways_.push_back(
                std::make_unique<HollowGateway>(io_, clock_, logger_, index, seeds, progress_));
        for (auto& gateway : gateways_) gateway->start();
    }

    // When each change was acknowledged; fewer where one was not.
    std::vector<Millis> sendChanges(std::size_t count, Millis every, std::vector<Millis>& took) {
        OperatorClient client(operatorAddresses_, clock_);
        std::vector<Millis> acknowledged;
        const Millis began = clock_.now();
        for (std::size_t change = 0; change < count; change++) {
            sleepUntil(began + every * static_cast<double>(change));
            const Millis sent = clock_.now();
            const std::size_t route = revision_ * 37 % plan_.routes;
            const Millis at = client.patch(revision_, changeOfOneRoute(revision_ + 1, route, plan_.services),
                                           kAcknowledgeMost);
            if (at == 0) break;
            revision_++;
            took.push_back(at - sent);
            acknowledged.push_back(at);
        }
        return acknowledged;
    }

    // Sends changes and waits until they are in force; nothing where one is not acknowledged.
    std::optional<Delays> change(std::size_t count, Millis every, std::vector<Millis>& took) {
        const std::size_t first = revision_ + 1;
        std::vector<Millis> acknowledged;
        OperatorThread thread([&] { acknowledged = sendChanges(count, every, took); });
        const Millis most = static_cast<double>(count) * (every + kAcknowledgeMost);
        runUntil([&] { return thread.done(); }, most);
        operatorsProcessor_ = operatorsProcessor_ + thread.processor();
        if (acknowledged.size() < count) return std::nullopt;
        runUntil([&] { return progress_.revisions().gatewaysAt(revision_) == plan_.gateways; }, kInForceMost);
        return progress_.revisions().delays(first, acknowledged);
    }

    void changeConfiguration() {
        const auto delays = change(plan_.changes, plan_.changeEvery, outcome_.acknowledgements);
        if (delays) outcome_.changes = *delays;
    }

    void changeHosts() {
        SharedState& shared = cluster_.shared();
        for (std::size_t number = 1; number <= plan_.hostChanges; number++) {
            shared.hostChanges = static_cast<std::uint32_t>(number);
            runFor(plan_.hostChangeEvery);
        }
        runUntil([&] { return progress_.hostChanges().gatewaysAt(plan_.hostChanges) == plan_.gateways; },
                 kInForceMost);
        std::vector<Millis> begun;
        for (std::size_t number = 1; number <= plan_.hostChanges; number++)
            begun.push_back(shared.changedAt[number]);
        outcome_.hostChanges = progress_.hostChanges().delays(1, begun);
    }

    // The member with the most gateways is lost, and the operator sends a change at that moment.
    void loseMember() {
        std::size_t busiest = 0;
        const auto& members = cluster_.shared().members;
        for (std::size_t member = 1; member < kMembers; member++)
            if (members[member].waitingPolls > members[busiest].waitingPolls) busiest = member;
        outcome_.gatewaysOfLost = members[busiest].waitingPolls;
        cluster_.kill(cluster_.children()[busiest].name);
        std::vector<Millis> took;
        outcome_.afterLoss = change(1, 0, took);
        if (!took.empty()) outcome_.afterLossAcknowledged = took.front();
    }

    Cluster& cluster_;
    const Plan& plan_;
    const Clock& clock_;
    Logger& logger_;
    asio::io_context io_{1};
    Progress progress_;
    std::vector<std::unique_ptr<HollowGateway>> gateways_;
    std::vector<std::string> operatorAddresses_;
    std::size_t revision_ = 1;  // of the last change acknowledged
    Millis operatorsProcessor_ = 0;
    std::uint64_t memoryBefore_ = 0;
    Outcome outcome_;
};

}  // namespace

Result<Outcome> runScale(Cluster& cluster, const Plan& plan, const Clock& clock, Logger& logger) {
    return Run(cluster, plan, clock, logger).run();
}

}  // namespace beechpoint::scale
