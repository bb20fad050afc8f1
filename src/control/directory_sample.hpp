/// The directory that one gateway is sent, so that it can answer clients that ask for gateways (GET /resolve): a bounded sample, since each of N
/// gateways is sent it again and again. Only gateways that clients may be sent to are in it. Some are drawn from each zone, more from near ones:
///
///   zone                       | at most
///   the recipient's            | kFromOwnZone, as many as one answer of GET /resolve names
///   another one of its region  | kFromOwnRegion
///   any other                  | kFromElsewhere, at least kEnoughNear: a client from there is sent no farther than with the full directory
///
/// No zone with a usable gateway is left out. Which gateways of a zone are drawn is decided by rendezvous of the recipient's zone and group, so
/// that the clients of different gateways spread over all of them. Free of I/O. Owned by PollResponder.
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

/// Draws one sample, sorted by name.
/// @param live gateways with a lease
/// @param zone,region of the recipient
/// @param group of the recipient, below kSampleGroups
[[nodiscard]] std::vector<leases::Gateway> directorySample(const std::vector<leases::Gateway>& live,
                                                           const std::string& zone, const std::string& region,
                                                           std::size_t group);

/// The samples for all recipients from one set of live gateways, each drawn and packed at its first use.
class DirectorySamples {
public:
    struct Sample {
        std::uint64_t digest = 0;  ///< of what clients see of it; never 0
        std::vector<leases::Gateway> gateways;
        std::string packed;  ///< codec.hpp, packDirectory()
    };

    /// The gateways that have a lease now. Samples stay where these are the same but for their load.
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
