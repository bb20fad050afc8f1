#include "control/directory_sample.hpp"

#include <algorithm>
#include <utility>

#include "control/codec.hpp"
#include "core/splitmix.hpp"
#include "leases/role_assignment.hpp"

namespace beechpoint::control {
namespace {

struct Candidate {
    const leases::Gateway* gateway;
    std::uint64_t weight;
};

std::size_t mostFrom(const leases::Gateway& any, const std::string& zone, const std::string& region) {
    if (any.zone == zone) return kFromOwnZone;
    return !region.empty() && any.region == region ? kFromOwnRegion : kFromElsewhere;
}

std::uint64_t digestOf(const std::vector<leases::Gateway>& gateways) {
    std::uint64_t digest = 1;
    for (const leases::Gateway& gateway : gateways)
        digest = SplitMix(digest ^ leases::idOf(gateway)).bits() | 1;
    return digest;
}

bool isUsable(const leases::Gateway& gateway) {
    return gateway.ready && !gateway.draining && !gateway.frontAddress.empty();
}

}  // namespace

std::vector<leases::Gateway> directorySample(const std::vector<leases::Gateway>& live,
                                             const std::string& zone, const std::string& region,
                                             std::size_t group) {
    std::map<std::pair<std::string_view, std::string_view>, std::vector<Candidate>> zones;
    const std::string drawer = zone + '/' + std::to_string(group);
    for (const leases::Gateway& gateway : live)
        if (isUsable(gateway))
            zones[{gateway.region, gateway.zone}].push_back(
                {&gateway, leases::rendezvousWeight(drawer, gateway.name)});
    std::vector<leases::Gateway> sample;
    for (auto& [place, candidates] : zones) {
        const std::size_t most =
            std::min(mostFrom(*candidates.front().gateway, zone, region), candidates.size());
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(most),
                                  std::ranges::greater{}, &Candidate::weight);
        for (std::size_t index = 0; index < most && sample.size() < kMaxSampledGateways; ++index)
            sample.push_back(*candidates[index].gateway);
    }
    std::ranges::sort(sample, {}, &leases::Gateway::name);
    return sample;
}

void DirectorySamples::take(std::vector<leases::Gateway> live) {
    const std::uint64_t digest = digestOf(live);
    if (digest == digest_) return;
    digest_ = digest;
    live_ = std::move(live);
    samples_.clear();
}

const DirectorySamples::Sample& DirectorySamples::sampleFor(const leases::Gateway& reader) {
    const std::size_t group = leases::rendezvousWeight("directory", reader.name) % kSampleGroups;
    const auto [place, isNew] = samples_.try_emplace(Key{reader.zone, reader.region, group});
    Sample& sample = place->second;
    if (!isNew) return sample;
    sample.gateways = directorySample(live_, reader.zone, reader.region, group);
    for (leases::Gateway& gateway : sample.gateways) gateway.load.clear();
    sample.digest = digestOf(sample.gateways);
    sample.packed = packDirectory(sample.gateways);
    return sample;
}

}  // namespace beechpoint::control
