#include "dispatch/selection.hpp"

#include <algorithm>

#include "dispatch/prefix_affinity.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr std::size_t kMinRegionalHosts = 3;  // fewer hosts cannot cache all prefixes of a region
constexpr double kBytesPerToken = 3;          // approximate size of prompt text
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

double Selection::transferPenalty(double price, Millis delay, double bytes, const Request& request) const {
    return policy::kDropAbove * price * bytes * kPerMillion +
           delay / (policy::kGainShare * std::max(1.0, request.arrival.latencyTarget));
}

double Selection::transferPenalty(const Request& request, const Host& host) const {
    if (!settings_.mechanisms.isEnabled(Mechanism::transferCost)) return 0;
    if (host.region != settings_.region)
        return transferPenalty(settings_.prices.crossRegion, settings_.crossRegionDelay, request.bytes,
                               request);
    if (host.zone == settings_.zone) return 0;
    return transferPenalty(settings_.prices.crossZone, 0, request.bytes, request);
}

double Selection::prefillPenalty(const Request& request, double missRatio) const {
    return policy::kDropAbove * settings_.prices.sharedRead * missRatio * request.shared.tokens *
           kPerThousand;
}

// Whether each region has its own home for the prefix: if a transfer between regions costs more than another
// prefill. Uses only properties that all requests with the prefix share, so that all gateways of a region get
// the same result.
bool Selection::usesRegionalAffinity(const Request& request, const std::vector<int>& hosts) const {
    const double bytes = kBytesPerToken * request.shared.tokens;
    const double transfer =
        transferPenalty(settings_.prices.crossRegion, settings_.crossRegionDelay, bytes, request);
    if (transfer <= prefillPenalty(request, 1)) return false;
    const auto own = std::count_if(hosts.begin(), hosts.end(),
                                   [&](int i) { return hosts_.at(i).host.region == settings_.region; });
    return static_cast<std::size_t>(own) >= kMinRegionalHosts;
}

std::vector<Selection::Candidate> Selection::withAffinity(const Request& request,
                                                          const std::vector<int>& hosts) const {
    const bool ownRegion = usesRegionalAffinity(request, hosts);
    std::vector<Candidate> result;
    std::vector<std::size_t> homeCandidates;  // indexes in result
    std::vector<const std::string*> names;
    double waiting = 0;
    for (const int i : hosts) {
        const HostSlot& slot = hosts_.at(i);
        result.push_back({i, 1});
        waiting += slot.waiting + slot.peerWaiting;
        if (ownRegion && slot.host.region != settings_.region) continue;
        homeCandidates.push_back(result.size() - 1);
        names.push_back(&slot.host.instanceId);
    }
    const double mean = waiting / static_cast<double>(std::max<std::size_t>(1, hosts.size()));
    const std::vector<int> ranks = rendezvousRanks(request.shared.key, names);
    for (std::size_t n = 0; n < homeCandidates.size(); ++n) {
        Candidate& candidate = result[homeCandidates[n]];
        const HostSlot& slot = hosts_.at(candidate.host);
        const bool bounded = settings_.mechanisms.isEnabled(Mechanism::boundedAffinity);
        if (!bounded || !isHomeOverloaded(slot.waiting + slot.peerWaiting, mean))
            candidate.missRatio = expectedMissRatio(ranks[n]);
    }
    return result;
}

std::vector<Selection::Candidate> Selection::candidates(const Request& request,
                                                        const ServiceState& service) const {
    const std::vector<int> hosts = allowed(request);
    const bool affinity = settings_.mechanisms.isEnabled(Mechanism::prefixAffinity);
    if (affinity && service.load.engine && request.shared.tokens > 0) return withAffinity(request, hosts);
    std::vector<Candidate> result;
    result.reserve(hosts.size());
    for (const int i : hosts) result.push_back({i, 0});
    return result;
}

bool Selection::canTake(HostSlot& slot, const Request& request, const ServiceState& service,
                        Millis now) const {
    const bool full = now < slot.fullUntil && settings_.mechanisms.isEnabled(Mechanism::fullPause);
    if (full || request.inFlightAt(slot.host.instanceId)) return false;
    if (!service.warmupBounded() || !slot.warmingUp(now, service.warmup())) return true;
    return slot.slowStartLog.allows(now, service.slowStartShare);
}

// The score of the retry design, section 4. Keep it consistent with coordinator/ranking.hpp, which ranks
// replicas.
std::vector<policy::Scored> Selection::ranked(const Request& request, const RouteRecord& route,
                                              ServiceState& service, Millis now) const {
    std::vector<policy::Scored> all;
    std::vector<policy::Scored> connected;
    const double own = request.promptTokens - request.shared.tokens;
    for (const Candidate& candidate : candidates(request, service)) {
        HostSlot& slot = hosts_.at(candidate.host);
        if (slot.unreachable || !canTake(slot, request, service, now)) continue;
        policy::Scored scored{candidate.host, 0, 0, 0};
        const double tokens = own + candidate.missRatio * request.shared.tokens;
        scored.t = Predictor::timeS(slot, route, service.load, tokens, now);
        scored.f = Predictor::failureRate(slot, route.id, now);
        scored.s = scored.t / route.gainTargetS() + policy::kDropAbove * scored.f;
        scored.s += prefillPenalty(request, candidate.missRatio) + transferPenalty(request, slot.host);
        all.push_back(scored);
        if (!slot.partitioned) connected.push_back(scored);
    }
    return policy::ranking(connected.empty() ? all : connected);
}

double Selection::tokensToPrefill(const Request& request, const ServiceState& service, int host) const {
    const double own = request.promptTokens - request.shared.tokens;
    for (const Candidate& candidate : candidates(request, service))
        if (candidate.host == host) return own + candidate.missRatio * request.shared.tokens;
    return own;
}

}  // namespace beechpoint::dispatch
