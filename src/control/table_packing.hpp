// A table update as bytes: msgpack, compressed where that pays. Routes repeat each other's words, so that a whole table shrinks to a
// tenth, and links of control members are narrow when every gateway asks at once.
#pragma once

#include <string>
#include <string_view>

#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kMaxUnpackedBytes = 64u << 20;

// Any state on the wire: compressed where that pays.
std::string packBytes(const std::string& plain);
// Error (invalid): no packed bytes, or that unpack to more than kMaxUnpackedBytes.
Result<std::string> unpackBytes(std::string_view bytes);

std::string packTable(const TableUpdate& update);
// Error (invalid): bytes that are no packed update, or that unpack to more than kMaxUnpackedBytes.
Result<TableUpdate> unpackTable(std::string_view bytes);

}  // namespace beechpoint::control
