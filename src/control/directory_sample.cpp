#include "control/directory_sample.hpp"

#include <algorithm>
#include <compare>
#include <string_view>
#include <utility>

#include "control_messages/codec.hpp"
#include "core/splitmix.hpp"
#include "leases/role_assignment.hpp"

namespace beechpoint::control {
namespace {

struct Locality {
    std::string_view region;
    std::string_view zone;
    auto operator<=>(const Locality&) const = default;
};

struct Candidate {
    const leases::Gateway* gateway;
    std::uint64_t weight;
};

// `gateway` is any one of the zone.
std::size_t maxFromZoneOf(const leases::Gateway& gateway, const std::string& zone,
                          const std::string& region) {
    if (gateway.zone == zone) return kFromOwnZone;
    return !region.empty() && gateway.region == region ? kFromOwnRegion : kFromElsewhere;
}

std::uint64_t digestOf(const std::vector<leases::Gateway>& gateways) {
    std::uint64_t digest = 1;
    for (const leases::Gateway& gateway : gateways)
        digest = SplitMix(digest ^ leases::registrationId(gateway)).bits() | 1;
    return digest;
}

}  // namespace

std::vector<leases::Gateway> directorySample(const std::vector<leases::Gateway>& live,
                                             const std::string& zone, const std::string& region,
                                             std::size_t group) {
    const std::string key = zone + '/' + std::to_string(group);
    std::map<Locality, std::vector<Candidate>> candidatesByZone;
    for (const leases::Gateway& gateway : live) {
        if (!directory::isUsable(gateway)) continue;
        const std::uint64_t weight = leases::rendezvousWeight(key, gateway.name);
        candidatesByZone[{gateway.region, gateway.zone}].push_back({&gateway, weight});
    }
    std::vector<leases::Gateway> sample;
    for (auto& [locality, candidates] : candidatesByZone) {
        const std::size_t count =
            std::min(maxFromZoneOf(*candidates.front().gateway, zone, region), candidates.size());
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count),
                                  std::ranges::greater{}, &Candidate::weight);
        for (std::size_t index = 0; index < count && sample.size() < kMaxSampledGateways; ++index)
            sample.push_back(*candidates[index].gateway);
    }
    std::ranges::sort(sample, {}, &leases::Gateway::name);
    return sample;
}

void DirectorySamples::update(std::vector<leases::Gateway> live) {
    const std::uint64_t digest = digestOf(live);
    if (digest == digest_) return;
    digest_ = digest;
    live_ = std::move(live);
    samples_.clear();
}

const DirectorySamples::Sample& DirectorySamples::sampleFor(const leases::Gateway& recipient) {
    const std::size_t group = leases::rendezvousWeight("directory", recipient.name) % kSampleGroups;
    const auto [entry, isNew] = samples_.try_emplace(Key{recipient.zone, recipient.region, group});
    Sample& sample = entry->second;
    if (!isNew) return sample;
    sample.gateways = directorySample(live_, recipient.zone, recipient.region, group);
    for (leases::Gateway& gateway : sample.gateways) gateway.load.clear();
    sample.digest = digestOf(sample.gateways);
    sample.packed = packDirectory(sample.gateways);
    return sample;
}

}  // namespace beechpoint::control
