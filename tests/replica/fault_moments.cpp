#include "fault_moments.hpp"

#include <memory>
#include <utility>
#include <variant>

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kMomentWithin = 1'500;

// ---- Moments

// Kinds of messages whose sending is the moment of a fault.
enum class OnItsWay { opening, batch, commit, prepare, promise, accept, accepted, decided, state, report };
constexpr std::size_t kOnItsWayKinds = 10;

bool isKind(const Body& body, OnItsWay kind) {
    const auto* propose = std::get_if<Propose>(&body);
    switch (kind) {
        case OnItsWay::opening:
            return propose && propose->opening;
        case OnItsWay::batch:
            return propose && !propose->opening;
        case OnItsWay::commit:
            return std::holds_alternative<Commit>(body);
        case OnItsWay::prepare:
            return std::holds_alternative<Prepare>(body);
        case OnItsWay::promise:
            return std::holds_alternative<Promise>(body);
        case OnItsWay::accept:
            return std::holds_alternative<Accept>(body);
        case OnItsWay::accepted:
            return std::holds_alternative<Accepted>(body);
        case OnItsWay::decided:
            return std::holds_alternative<Decided>(body);
        case OnItsWay::state:
            return std::holds_alternative<SyncReply>(body);
        case OnItsWay::report:
            return std::holds_alternative<HeartbeatReply>(body);
    }
    return false;
}

// A message may be lost with its sender's link to the next member shortly before the sender fails.
void strikeSender(Cluster& cluster, std::size_t sender, const InjectFault& inject) {
    if (cluster.random()() < 0.3) partitionLink(cluster, sender);
    const Millis when = cluster.now() + cluster.draw(0, 60);
    cluster.at(when, [&cluster, sender, inject] { inject(cluster, sender); });
}

}  // namespace

void injectFaultAtMoment(Cluster& cluster, const InjectFault& inject) {
    const auto done = std::make_shared<bool>(false);
    const double moment = cluster.random()();
    const std::size_t node = cluster.drawNode();
    const auto fault = [&cluster, node, done, inject] {
        if (!std::exchange(*done, true)) inject(cluster, node);
    };
    if (moment < 0.2) {
        cluster.onNextWrite(fault);
    } else if (moment < 0.3) {
        cluster.onNextView(fault);
    } else if (moment < 0.8) {
        const auto kind = static_cast<OnItsWay>(cluster.random().below(kOnItsWayKinds));
        cluster.onSend([&cluster, kind, done, inject](std::size_t from, const Body& body) {
            if (*done || !isKind(body, kind) || cluster.random()() > 0.4) return;
            *done = true;
            strikeSender(cluster, from, inject);
        });
    } else {
        cluster.runFor(cluster.draw(0, kMomentWithin));
    }
    cluster.runUntil(kMomentWithin, [&] { return *done; });
    cluster.onNextWrite(nullptr);
    cluster.onNextView(nullptr);
    cluster.onSend(nullptr);
    fault();
    cluster.runFor(cluster.draw(0, 100));
}

void partitionLink(Cluster& cluster, std::size_t node) {
    const std::size_t other = cluster.drawNode();
    if (other == node) return;
    cluster.partition(node, other, true);
    if (cluster.random()() < 0.6) cluster.partition(other, node, true);
}

void partitionFromAll(Cluster& cluster, std::size_t node, bool in, bool out) {
    for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
        if (peer == node) continue;
        if (out) cluster.partition(node, peer, true);
        if (in) cluster.partition(peer, node, true);
    }
}

}  // namespace beechpoint::replica::simulation
