/// The packed fields of messages.hpp as bytes: one byte for the form (0 plain, 1 zstd), then the MessagePack bytes, compressed above a few hundred.
/// A full table compresses to about a tenth, since routes repeat the same words; the bandwidth of control members is scarce when all gateways
/// poll at once. Functions only; may be called from any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

/// Bytes. Bounds the memory that a received message can make its receiver allocate.
inline constexpr std::size_t kMaxUnpackedBytes = 64u << 20;

/// Any MessagePack bytes.
[[nodiscard]] std::string packBytes(const std::string& plain);
/// Error (invalid): no packed bytes, or some that unpack to more than kMaxUnpackedBytes.
[[nodiscard]] Result<std::string> unpackBytes(std::string_view bytes);

[[nodiscard]] std::string packTable(const TableUpdate& update);
/// XXH3-64 of packed bytes, by which the chunks of a transfer are known to belong together; never 0.
[[nodiscard]] std::uint64_t packedDigest(std::string_view bytes);
/// Error (invalid): bytes that are no packed update, or some that unpack to more than kMaxUnpackedBytes.
[[nodiscard]] Result<TableUpdate> unpackTable(std::string_view bytes);

}  // namespace beechpoint::control
