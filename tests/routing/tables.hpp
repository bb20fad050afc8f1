// Replicated tables for routing tests, built by the operator's calls.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/editing.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::routing::tables {

inline std::string route(std::string_view name, std::string_view host, std::string_view prefix,
                         std::string_view service = "s") {
    return fmt::format(
        R"({{"name":"{}","hostname":"{}","path_prefix":"{}","timeout_ms":1000,"backend":"{}"}})", name, host,
        prefix, service);
}

inline std::string configurationText(unsigned revision, std::string_view routes, std::string_view services) {
    return fmt::format(R"({{"revision":{},"routes":[{}],"services":[{}]}})", revision, routes, services);
}

inline const std::string kServices = R"({"name":"s","max_connections":10},{"name":"t"})";

// The changes of an accepted call.
inline std::vector<Change> changesOf(const Result<configuration::Decision>& decision) {
    EXPECT_TRUE(decision) << (decision ? "" : decision.error().text());
    if (!decision) return {};
    const auto* accepted = std::get_if<configuration::Accepted>(&decision.value());
    EXPECT_NE(accepted, nullptr);
    return accepted ? accepted->changes : std::vector<Change>{};
}

// Applies a configuration with these routes to the table and returns its changes.
inline std::vector<Change> putRoutes(Table& table, std::string_view routes) {
    const std::uint64_t current = configuration::currentRevision(table);
    const std::vector<Change> changes = changesOf(configuration::putConfiguration(
        table, std::to_string(current),
        configurationText(static_cast<unsigned>(current) + 1, routes, kServices)));
    beechpoint::apply(changes, table);
    return changes;
}

inline std::vector<Change> fullTable(const Table& table) {
    std::vector<Change> changes;
    for (const auto& [key, value] : table) changes.push_back({key, value});
    return changes;
}

}  // namespace beechpoint::routing::tables
