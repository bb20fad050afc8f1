/// What the runs compare of a table, in whichever form it is: revision, document, evacuated zones.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/replicated_table.hpp"
#include "routing/routing_table.hpp"
#include "store_specification.hpp"

namespace beechpoint::simulation {

inline constexpr std::size_t kZones = 4;  // whose evacuation is begun and cancelled

struct ObservedState {
    std::uint64_t revision = 0;
    Document document{};
    std::uint32_t evacuated = 0;
    bool operator==(const ObservedState&) const = default;
};

std::string itemName(std::size_t item);
std::string zoneName(std::size_t zone);
// A route whose time limit is the value.
std::string itemJson(std::size_t item, std::uint32_t value);
std::string putBody(std::uint64_t revision, const Document& document);
std::string patchBody(std::uint64_t revision, std::size_t item, std::uint32_t value);

ObservedState observedState(const Table& table);
ObservedState observedState(const routing::RoutingTable& table);
// Of an answer to GET; without zones.
ObservedState observedState(std::string_view renderedConfiguration);
std::string text(const ObservedState& state);

}  // namespace beechpoint::simulation
