#include "dispatch/service_table.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include "dispatch/dispatcher.hpp"

namespace beechpoint::dispatch {

namespace {

constexpr double kSmoothingMs = 10000;

}  // namespace

ServiceState& ServiceTable::getOrCreate(const std::string& name, Millis now) {
    const auto found = services_.find(name);
    if (found != services_.end()) return found->second;
    const RetryBounds bounds{settings_.retryBudgetRatio, settings_.retryWindow, settings_.retryBudgetSlack};
    ServiceState& state = services_.emplace(name, ServiceState(bounds)).first->second;
    state.service.name = name;
    state.load.hostSpeed = settings_.mechanisms.isEnabled(Mechanism::hostSpeed);
    applyFleet(state, now);
    return state;
}

ServiceState& ServiceTable::use(const std::string& name, Millis now) {
    ServiceState& state = getOrCreate(name, now);
    if (state.slowStartShareProvisional && !previousProcessMayCount(now)) applyFleet(state, now);
    state.usedAt = now;
    return state;
}

// While sends of a previous process may count, the slow-start share is 0.
void ServiceTable::applyFleet(ServiceState& state, Millis now) {
    const double bound = state.service.warmupPerS * settings_.warmupOvershoot + settings_.warmupSlack;
    state.slowStartShareProvisional = previousProcessMayCount(now);
    state.slowStartShare = SlowStartShare(bound, fleet_.liveGateways,
                                          fleet_.known && !state.slowStartShareProvisional, fleet_.rank);
    state.budget.setFleet(fleet_.liveGateways, fleet_.known);
    state.load.gateways = std::max(1, fleet_.liveGateways);
}

void ServiceTable::configure(const ServiceList& list, Millis now) {
    for (auto& [name, state] : services_) state.configured = false;
    for (const Service& each : list.services) {
        ServiceState& state = getOrCreate(each.name, now);
        state.service = each;
        state.configured = true;
        state.load.engine = each.engine;
        applyFleet(state, now);
    }
}

void ServiceTable::setFleet(const Fleet& fleet, Millis now) {
    fleet_ = fleet;
    for (auto& [name, state] : services_) applyFleet(state, now);
}

void ServiceTable::updateMeanWaiting(const HostTable& hosts, Millis passed) {
    if (passed <= 0) return;
    const double decay = std::exp(-passed / kSmoothingMs);
    for (auto& [name, state] : services_) {
        const std::vector<int>& own = hosts.ofService(name);
        double waiting = 0;
        for (const int i : own) waiting += hosts.at(i).waiting;
        const double mean = waiting / static_cast<double>(std::max<std::size_t>(1, own.size()));
        state.load.meanWaitingPerHost = decay * state.load.meanWaitingPerHost + (1 - decay) * mean;
    }
}

void ServiceTable::setPeerLoadKnown(bool known) {
    for (auto& [name, state] : services_) state.load.peerLoadKnown = known;
}

void ServiceTable::prune(Millis oldest) {
    std::erase_if(services_, [&](const auto& entry) {
        const ServiceState& state = entry.second;
        return !state.configured && state.usedAt < oldest;
    });
}

}  // namespace beechpoint::dispatch
