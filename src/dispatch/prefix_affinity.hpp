// Which model host is expected to hold the shared parts of a prompt. All gateways agree on it without a word: the
// hosts are ordered for each prefix by rendezvous hashing of (prefix, instance), so a host that comes or goes moves only
// the prefixes that it holds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

// The parts of a prompt before its last one, which is the request's own or its session's.
struct SharedPrefix {
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;  // 0: nothing is shared
};

SharedPrefix sharedPrefix(const std::vector<PromptPart>& prompt);

std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& instance);

// The place of each instance in the prefix's order, in the order given: 0 is its home.
std::vector<int> rendezvousRanks(std::uint64_t key, const std::vector<const std::string*>& instances);

// The share of the prefix that a host of this rank is expected to have to read. Spilled requests go to the second and
// third in order first, so these hold it now and then.
double expectedMiss(int rank);

// Bounded load: whether a home has so much waiting that it takes no more for the sake of what it holds.
bool overloadedHome(int waiting, double meanWaiting);

}  // namespace beechpoint::dispatch
