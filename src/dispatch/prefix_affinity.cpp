#include "dispatch/prefix_affinity.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <string_view>

namespace beechpoint::dispatch {

namespace {

// Multiple of the mean load (Mirrokni et al., "Consistent Hashing with Bounded Loads").
constexpr double kBoundedLoadFactor = 1.25;
constexpr double kBoundedLoadSlack = 3;  // added, since small counts vary at random

constexpr std::uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;

std::uint64_t fnv1a(std::uint64_t hash, std::string_view text) {
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
    return (hash ^ 0xFF) * kFnvPrime;  // terminator: "ab","c" differs from "a","bc"
}

// The SplitMix64 finalizer: with FNV-1a alone, similar names have similar high bits.
std::uint64_t mix(std::uint64_t hash) {
    hash = (hash ^ (hash >> 30)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31);
}

}  // namespace

SharedPrefix sharedPrefix(const std::vector<PromptPart>& prompt) {
    SharedPrefix shared{kFnvOffset, 0};
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        shared.key = fnv1a(shared.key, prompt[i].id);
        shared.tokens += prompt[i].tokens;
    }
    return shared;
}

std::uint32_t hostKey(const std::string& instanceId) {
    return static_cast<std::uint32_t>(mix(fnv1a(kFnvOffset, instanceId)));
}

std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& instance) {
    return mix(mix(key) ^ fnv1a(kFnvOffset, instance));
}

std::vector<int> rendezvousRanks(std::uint64_t key, const std::vector<const std::string*>& instances) {
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < instances.size(); ++i)
        order.emplace_back(rendezvousWeight(key, *instances[i]), i);
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *instances[a.second] < *instances[b.second];
    });
    std::vector<int> ranks(instances.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank)
        ranks[order[rank].second] = static_cast<int>(rank);
    return ranks;
}

double expectedMissRatio(int rank) {
    constexpr std::array<double, 3> kMissRatios = {0, 0.6, 0.8};
    const auto index = static_cast<std::size_t>(rank);
    return index < kMissRatios.size() ? kMissRatios[index] : 1;
}

bool isHomeOverloaded(int waiting, double meanWaiting) {
    return waiting > kBoundedLoadFactor * meanWaiting + kBoundedLoadSlack;
}

}  // namespace beechpoint::dispatch
