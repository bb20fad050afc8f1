#include "storage/record.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include "storage/record_bytes.hpp"

namespace beechpoint::storage {

namespace {

constexpr std::size_t kMaxPlainKeyBytes = 400;

std::uint64_t checksumOf(std::string_view sealed) { return XXH3_64bits(sealed.data(), sealed.size()); }

}  // namespace

std::string recordKey(std::string_view name) {
    if (name.size() <= kMaxPlainKeyBytes) return std::string(name);
    const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
    return fmt::format("{}#{:016x}{:016x}", name.substr(0, kMaxPlainKeyBytes), hash.high64, hash.low64);
}

std::string sealRecord(std::string_view name, std::string_view bytes) {
    ByteWriter nameWriter;
    nameWriter.text(name);
    std::string covered = nameWriter.release();
    covered += bytes;
    ByteWriter checksum;
    checksum.number(checksumOf(covered));
    return checksum.release() + covered;
}

std::optional<Record> openRecord(std::string_view key, std::string_view value) {
    ByteReader reader(value);
    Record record;
    record.checksum = reader.number<std::uint64_t>();
    if (!reader.good() || checksumOf(reader.rest()) != record.checksum) return std::nullopt;
    record.name = reader.text();
    record.bytes = reader.rest();
    if (!reader.good() || recordKey(record.name) != key) return std::nullopt;
    return record;
}

void Summary::add(const Record& record) {
    ++records;
    checksums ^= record.checksum;
}

void Summary::remove(const Record& record) {
    --records;
    checksums ^= record.checksum;
}

std::string encode(std::uint64_t number) {
    ByteWriter writer;
    writer.number(number);
    return writer.release();
}

std::string encode(const Position& position) {
    ByteWriter writer;
    writer.position(position);
    return writer.release();
}

std::string encode(const Batch& batch) {
    ByteWriter writer;
    writer.position(batch.position);
    for (const Change& change : batch.changes) {
        writer.text(change.key);
        writer.number(static_cast<std::uint8_t>(change.value.has_value()));
        writer.text(change.value ? std::string_view(*change.value) : std::string_view());
    }
    return writer.release();
}

std::string encode(const Summary& summary) {
    ByteWriter writer;
    writer.number(summary.records);
    writer.number(summary.checksums);
    writer.number(summary.transaction);
    return writer.release();
}

std::optional<std::uint64_t> decodeNumber(std::string_view bytes) {
    ByteReader reader(bytes);
    const auto number = reader.number<std::uint64_t>();
    return reader.done() ? std::optional(number) : std::nullopt;
}

std::optional<Position> decodePosition(std::string_view bytes) {
    ByteReader reader(bytes);
    const Position position = reader.position();
    return reader.done() ? std::optional(position) : std::nullopt;
}

std::optional<Batch> decodeBatch(std::string_view bytes) {
    ByteReader reader(bytes);
    Batch batch;
    batch.position = reader.position();
    while (reader.good() && !reader.done()) {
        Change change;
        change.key = reader.text();
        const bool present = reader.number<std::uint8_t>() != 0;
        const std::string_view value = reader.text();
        if (present) change.value = std::string(value);
        batch.changes.push_back(std::move(change));
    }
    return reader.done() ? std::optional(std::move(batch)) : std::nullopt;
}

std::optional<Summary> decodeSummary(std::string_view bytes) {
    ByteReader reader(bytes);
    Summary summary;
    summary.records = reader.number<std::uint64_t>();
    summary.checksums = reader.number<std::uint64_t>();
    summary.transaction = reader.number<std::uint64_t>();
    return reader.done() ? std::optional(summary) : std::nullopt;
}

}  // namespace beechpoint::storage
