#include "control/table_packing.hpp"

#include <zstd.h>

#include "rpc/codec.hpp"

namespace beechpoint::control {

namespace {

// The first byte of a packed update.
constexpr char kPlain = 0;
constexpr char kCompressed = 1;
constexpr std::size_t kWorthCompressing = 512;  // bytes; less saves no packet
constexpr int kFastestLevel = 1;

Error malformed(std::string why) {
    return {ErrorKind::invalid, "table", std::move(why), "check that both processes are of one version"};
}

}  // namespace

std::string packTable(const TableUpdate& update) {
    const std::string plain = rpc::pack(update);
    if (plain.size() < kWorthCompressing) return kPlain + plain;
    std::string packed(1 + ZSTD_compressBound(plain.size()), kCompressed);
    const std::size_t size =
        ZSTD_compress(packed.data() + 1, packed.size() - 1, plain.data(), plain.size(), kFastestLevel);
    if (ZSTD_isError(size)) return kPlain + plain;
    packed.resize(1 + size);
    return packed;
}

Result<TableUpdate> unpackTable(std::string_view bytes) {
    if (bytes.empty()) return malformed("the update is empty");
    const std::string_view body = bytes.substr(1);
    if (bytes.front() == kPlain) return rpc::unpack<TableUpdate>(body);
    if (bytes.front() != kCompressed) return malformed("the update is of no known form");
    const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
    if (size > kMostUnpackedBytes) return malformed("the update states no size, or too large a one");
    std::string plain(static_cast<std::size_t>(size), '\0');
    const std::size_t got = ZSTD_decompress(plain.data(), plain.size(), body.data(), body.size());
    if (ZSTD_isError(got) || got != plain.size()) return malformed("the update can't be decompressed");
    return rpc::unpack<TableUpdate>(plain);
}

}  // namespace beechpoint::control
