#include "dispatch/selection.hpp"

#include <algorithm>

#include "dispatch/prefix_affinity.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr std::size_t kRegionalHosts = 3;  // fewer hosts of a region can't hold all its prefixes
constexpr double kBytesPerToken = 3;       // of a prompt, roughly
constexpr double kPerThousand = 1e-3;
constexpr double kPerMillion = 1e-6;

bool regionAllowed(const Request& request, const std::string& region) {
    const auto& regions = request.arrival.allowedRegions;
    if (!regions) return true;
    return !region.empty() && std::find(regions->begin(), regions->end(), region) != regions->end();
}

}  // namespace

std::vector<int> Selection::allowed(const Request& request) const {
    std::vector<int> result;
    for (const int i : hosts_.ofService(request.service)) {
        const HostSlot& slot = hosts_.at(i);
        if (hosts_.serving(slot) && regionAllowed(request, slot.host.region)) result.push_back(i);
    }
    return result;
}

double Selection::crossingScore(double price, Millis delay, double bytes, const Request& request) const {
    return policy::kDropAbove * price * bytes * kPerMillion +
           delay / (policy::kGainShare * std::max(1.0, request.arrival.latencyTarget));
}

double Selection::crossingScore(const Request& request, const Host& host) const {
    if (!settings_.mechanisms.isEnabled(Mechanism::transferCost)) return 0;
    if (host.region != settings_.region)
        return crossingScore(settings_.prices.crossRegion, settings_.crossRegionDelay, request.bytes,
                             request);
    if (host.zone == settings_.zone) return 0;
    return crossingScore(settings_.prices.crossZone, 0, request.bytes, request);
}

double Selection::prefillScore(const Request& request, double miss) const {
    return policy::kDropAbove * settings_.prices.sharedRead * miss * request.shared.tokens * kPerThousand;
}

// Whether each region has its own affinity hosts for the prefix: where a crossing costs more than another prefill.
// Only what all requests of the prefix have in common counts, so that all gateways of the region come to the same result.
bool Selection::regional(const Request& request, const std::vector<int>& hosts) const {
    const double bytes = kBytesPerToken * request.shared.tokens;
    const double crossing =
        crossingScore(settings_.prices.crossRegion, settings_.crossRegionDelay, bytes, request);
    if (crossing <= prefillScore(request, 1)) return false;
    const auto own = std::count_if(hosts.begin(), hosts.end(),
                                   [&](int i) { return hosts_.at(i).host.region == settings_.region; });
    return static_cast<std::size_t>(own) >= kRegionalHosts;
}

std::vector<Selection::Option> Selection::withAffinity(const Request& request,
                                                       const std::vector<int>& hosts) const {
    const bool ownRegion = regional(request, hosts);
    std::vector<Option> result;
    std::vector<std::size_t> candidates;  // indexes in result, of those that may be the prefix's home
    std::vector<const std::string*> names;
    double waiting = 0;
    for (const int i : hosts) {
        const HostSlot& slot = hosts_.at(i);
        result.push_back({i, 1});
        waiting += slot.waiting + slot.othersWaiting;
        if (ownRegion && slot.host.region != settings_.region) continue;
        candidates.push_back(result.size() - 1);
        names.push_back(&slot.host.instanceId);
    }
    const double mean = waiting / static_cast<double>(std::max<std::size_t>(1, hosts.size()));
    const std::vector<int> ranks = rendezvousRanks(request.shared.key, names);
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        Option& option = result[candidates[n]];
        const HostSlot& slot = hosts_.at(option.host);
        const bool bounded = settings_.mechanisms.isEnabled(Mechanism::boundedAffinity);
        if (!bounded || !overloadedHome(slot.waiting + slot.othersWaiting, mean))
            option.miss = expectedMiss(ranks[n]);
    }
    return result;
}

std::vector<Selection::Option> Selection::options(const Request& request, const ServiceState& service) const {
    const std::vector<int> hosts = allowed(request);
    const bool homes = settings_.mechanisms.isEnabled(Mechanism::prefixAffinity);
    if (homes && service.load.engine && request.shared.tokens > 0) return withAffinity(request, hosts);
    std::vector<Option> result;
    result.reserve(hosts.size());
    for (const int i : hosts) result.push_back({i, 0});
    return result;
}

bool Selection::takesNow(HostSlot& slot, const Request& request, const ServiceState& service,
                         Millis now) const {
    const bool full = now < slot.fullUntil && settings_.mechanisms.isEnabled(Mechanism::fullPause);
    if (full || request.inFlightAt(slot.host.instanceId)) return false;
    if (!service.warmupBounded() || !slot.warmingUp(now, service.warmup())) return true;
    return slot.sends.allows(now, service.slowStartShare);
}

// The score of the retry design, section 4, like coordinator/ranking.hpp's for a part's replicas: keep the two alike.
std::vector<policy::Scored> Selection::ranked(const Request& request, const RouteRecord& route,
                                              ServiceState& service, Millis now) const {
    std::vector<policy::Scored> all;
    std::vector<policy::Scored> connected;
    const double own = request.promptTokens - request.shared.tokens;
    for (const Option& option : options(request, service)) {
        HostSlot& slot = hosts_.at(option.host);
        if (slot.unreachable || !takesNow(slot, request, service, now)) continue;
        policy::Scored scored{option.host, 0, 0, 0};
        const double tokens = own + option.miss * request.shared.tokens;
        scored.t = Predictor::timeS(slot, route, service.load, tokens, now);
        scored.f = Predictor::failureRate(slot, route.id, now);
        scored.s = scored.t / route.gainTargetS() + policy::kDropAbove * scored.f;
        scored.s += prefillScore(request, option.miss) + crossingScore(request, slot.host);
        all.push_back(scored);
        if (!slot.partitioned) connected.push_back(scored);
    }
    return policy::ranking(connected.empty() ? all : connected);
}

double Selection::tokensToPrefill(const Request& request, const ServiceState& service, int host) const {
    const double own = request.promptTokens - request.shared.tokens;
    for (const Option& option : options(request, service))
        if (option.host == host) return own + option.miss * request.shared.tokens;
    return own;
}

}  // namespace beechpoint::dispatch
