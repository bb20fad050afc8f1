/// Prefix affinity: the host that is expected to have a prompt's shared parts in its prefix cache is the
/// prefix's home. For each prefix the hosts are ordered by rendezvous hashing of (prefix, instance). All
/// gateways compute the same order without communication, and adding or removing a host moves only the
/// prefixes that it holds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// All parts of a prompt but the last, which belongs to the request or its session.
struct SharedPrefix {
    std::uint64_t key = 0;     ///< hash of the parts' ids
    std::uint32_t tokens = 0;  ///< 0: no shared parts
};

[[nodiscard]] SharedPrefix sharedPrefix(const std::vector<PromptPart>& prompt);

/// Weight of an instance for a key in rendezvous (highest random weight) hashing.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& instance);

/// Rank of each instance for the prefix, in the order of `instances`; 0 is the home.
[[nodiscard]] std::vector<int> rendezvousRanks(std::uint64_t key,
                                               const std::vector<const std::string*>& instances);

/// Fraction of the prefix that a host of this rank is expected to prefill. Requests spill to ranks 1 and 2
/// first, so these sometimes have it cached.
[[nodiscard]] double expectedMissRatio(int rank);

/// Whether so many attempts wait at a home that its cache no longer counts in its favour (bounded load).
[[nodiscard]] bool isHomeOverloaded(int waiting, double meanWaiting);

}  // namespace beechpoint::dispatch
