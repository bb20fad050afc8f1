/// Which model host is expected to have the shared parts of a prompt in its prefix cache: the prefix's home. All gateways
/// agree on it without communication: the
/// hosts are ordered for each prefix by rendezvous hashing of (prefix, instance), so a host that comes or goes moves
/// only the prefixes that it holds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// The parts of a prompt before its last one, which is the request's own or its session's.
struct SharedPrefix {
    std::uint64_t key = 0;     ///< hash of the parts' ids
    std::uint32_t tokens = 0;  ///< 0: nothing is shared
};

[[nodiscard]] SharedPrefix sharedPrefix(const std::vector<PromptPart>& prompt);

/// Highest random weight: the host with the highest one comes first.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& instance);

/// The rank of each instance in the prefix's order, in the order given: 0 is its home.
[[nodiscard]] std::vector<int> rendezvousRanks(std::uint64_t key,
                                               const std::vector<const std::string*>& instances);

/// The part of the prefix that a host of this rank is expected to have to prefill. Spilled requests go to the second and
/// third in order first, so these hold it now and then.
[[nodiscard]] double expectedMiss(int rank);

/// Bounded load: whether a home has so much waiting that it takes no more for the sake of its cache.
[[nodiscard]] bool overloadedHome(int waiting, double meanWaiting);

}  // namespace beechpoint::dispatch
