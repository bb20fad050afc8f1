#include "configuration/cluster_identity.hpp"

#include <fmt/format.h>

#include <charconv>
#include <string>

namespace beechpoint::configuration {
namespace {

constexpr int kHexadecimal = 16;

}  // namespace

std::uint64_t parseClusterId(std::string_view digits) {
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), id, kHexadecimal);
    return error == std::errc{} && end == digits.data() + digits.size() ? id : 0;
}

std::uint64_t clusterId(const Table& table) {
    const auto found = table.find(std::string{kClusterKey});
    return found == table.end() ? 0 : parseClusterId(found->second);
}

void recordClusterId(const Table& table, std::uint64_t candidate, std::vector<Change>& changes) {
    if (table.contains(std::string{kClusterKey})) return;
    changes.push_back({std::string{kClusterKey}, fmt::format("{:016x}", candidate)});
}

}  // namespace beechpoint::configuration
