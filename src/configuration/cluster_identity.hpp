/// Identity of a cluster of control members in the replicated table: a process that polls, or is polled, at an address that another system
/// has taken over finds out by it. Written with the first change of a table that has none, and never changed. Pure functions of the table.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

inline constexpr std::string_view kClusterKey = "meta/cluster";

/// 0: the table has none, or one that can't be read.
[[nodiscard]] std::uint64_t clusterId(const Table& table);
/// The same of the key's value.
[[nodiscard]] std::uint64_t parseClusterId(std::string_view digits);
/// Adds the change that gives a table without an identity this one.
/// @param candidate not 0; different for each cluster
void recordClusterId(const Table& table, std::uint64_t candidate, std::vector<Change>& changes);

}  // namespace beechpoint::configuration
