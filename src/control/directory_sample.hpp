// What one gateway is told of the others, so that it can answer clients that ask for gateways: a bounded sample, since each of N gateways is told
// it again and again. Only gateways that clients may be sent to are in it. From each zone there are some, more from near ones:
//
//   the reader's zone      up to kFromOwnZone, as many as one answer names
//   its region             up to kFromOwnRegion of each zone
//   elsewhere              up to kFromElsewhere of each zone, above kEnoughNear: a client from there is not sent farther than with all
//
// A zone that has a usable gateway is never left out by the sampling. Which of them is drawn by rendezvous of the reader's zone and group, so that
// the clients of different gateways spread over all. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "control/directory.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kFromOwnZone = kMaxResolved;
inline constexpr std::size_t kFromOwnRegion = 16;
inline constexpr std::size_t kFromElsewhere = 4;
inline constexpr std::size_t kSampleGroups = 4;  // gateways of one zone with a sample of their own
inline constexpr std::size_t kMaxSampledGateways = 512;
static_assert(kFromElsewhere >= kEnoughNear);

std::vector<leases::Gateway> directorySample(const std::vector<leases::Gateway>& live,
                                             const std::string& zone, const std::string& region,
                                             std::size_t group);

// Samples for all readers from one set of live gateways, each made and packed at its first use.
class DirectorySamples {
public:
    struct Sample {
        std::uint64_t digest = 0;  // of what clients see of it; never 0
        std::vector<leases::Gateway> gateways;
        std::string packed;  // codec.hpp, packDirectory
    };

    void take(std::vector<leases::Gateway> live);
    const Sample& sampleFor(const leases::Gateway& reader);

private:
    using Key = std::tuple<std::string, std::string, std::size_t>;  // zone, region, group

    std::vector<leases::Gateway> live_;
    std::uint64_t digest_ = 0;
    std::map<Key, Sample> samples_;  // at most one a live gateway
};

}  // namespace beechpoint::control
