#include "control_messages/table_packing.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <utility>

#include "control_messages/field_codec.hpp"

namespace beechpoint::control {

namespace {

// The first byte of a packed value.
constexpr char kPlain = 0;
constexpr char kCompressed = 1;
constexpr std::size_t kMinCompressed = 512;  // bytes; compressing less saves no packet
constexpr int kFastestLevel = 1;

Error malformedState(std::string why) { return malformed("packed state", std::move(why)); }

}  // namespace

std::string packBytes(const std::string& plain) {
    if (plain.size() < kMinCompressed) return kPlain + plain;
    std::string packed(1 + ZSTD_compressBound(plain.size()), kCompressed);
    const std::size_t size =
        ZSTD_compress(packed.data() + 1, packed.size() - 1, plain.data(), plain.size(), kFastestLevel);
    if (ZSTD_isError(size)) return kPlain + plain;
    packed.resize(1 + size);
    return packed;
}

Result<std::string> unpackBytes(std::string_view bytes) {
    if (bytes.empty()) return malformedState("it is empty");
    const std::string_view body = bytes.substr(1);
    if (bytes.front() == kPlain) return std::string(body);
    if (bytes.front() != kCompressed) return malformedState("it is of no known form");
    const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
    if (size > kMaxUnpackedBytes) return malformedState("it states no size, or too large a one");
    std::string plain(static_cast<std::size_t>(size), '\0');
    const std::size_t written = ZSTD_decompress(plain.data(), plain.size(), body.data(), body.size());
    if (ZSTD_isError(written) || written != plain.size()) return malformedState("it can't be decompressed");
    return plain;
}

std::uint64_t packedDigest(std::string_view bytes) {
    const std::uint64_t digest = XXH3_64bits(bytes.data(), bytes.size());
    return digest == 0 ? 1 : digest;  // 0 stands for none
}

std::string packTable(const TableUpdate& update) { return packBytes(rpc::pack(update)); }

Result<TableUpdate> unpackTable(std::string_view bytes) {
    const auto plain = unpackBytes(bytes);
    if (!plain) return plain.error();
    return rpc::unpack<TableUpdate>(plain.value());
}

}  // namespace beechpoint::control
