/// The directory that is sent to one gateway, from which it answers GET /resolve: a bounded sample, since it is sent repeatedly to each of N
/// gateways. It contains only gateways that may be returned to clients. Some are sampled from each zone, more from nearby ones:
///
///   zone                       | at most
///   the recipient's            | kFromOwnZone, as many as one answer of GET /resolve names
///   another one of its region  | kFromOwnRegion
///   any other                  | kFromElsewhere, at least kEnoughNear: a client from there is sent no farther than with the full directory
///
/// Every zone with a usable gateway is included. Within a zone, gateways are sampled by rendezvous hashing of the recipient's zone and group,
/// so that the clients of different gateways spread over all of them. Without I/O. Owned by PollResponder.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "directory/directory.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kFromOwnZone = directory::kMaxResolved;
inline constexpr std::size_t kFromOwnRegion = 16;
inline constexpr std::size_t kFromElsewhere = 4;
inline constexpr std::size_t kSampleGroups = 4;  ///< samples for the gateways of one zone
inline constexpr std::size_t kMaxSampledGateways = 512;
static_assert(kFromElsewhere >= directory::kEnoughNear);

/// Returns one sample, sorted by name.
/// @param live gateways with a lease
/// @param zone,region of the recipient
/// @param group of the recipient, below kSampleGroups
[[nodiscard]] std::vector<leases::Gateway> directorySample(const std::vector<leases::Gateway>& live,
                                                           const std::string& zone, const std::string& region,
                                                           std::size_t group);

/// The samples for all recipients from one set of live gateways, each computed and packed on first use.
class DirectorySamples {
public:
    struct Sample {
        std::uint64_t digest = 0;  ///< of what clients see of it; never 0
        std::vector<leases::Gateway> gateways;
        std::string packed;  ///< codec.hpp, packDirectory()
    };

    /// Sets the gateways that have a lease. Samples are kept if nothing but the gateways' load changed.
    void update(std::vector<leases::Gateway> live);
    /// Valid until the next update().
    [[nodiscard]] const Sample& sampleFor(const leases::Gateway& recipient);

private:
    struct Key {
        std::string zone;
        std::string region;
        std::size_t group = 0;
        auto operator<=>(const Key&) const = default;
    };

    std::vector<leases::Gateway> live_;
    std::uint64_t digest_ = 0;       // of live_
    std::map<Key, Sample> samples_;  // at most one for each live gateway
};

}  // namespace beechpoint::control
