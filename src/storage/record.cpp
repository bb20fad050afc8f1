#include "storage/record.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstring>
#include <type_traits>

namespace beechpoint::storage {

namespace {

constexpr std::size_t kLongestPlainKey = 400;

class Writer {
public:
    template <class Integer>
    void number(Integer value) {
        static_assert(std::is_integral_v<Integer>);
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    }
    void text(std::string_view text) {
        number(static_cast<std::uint32_t>(text.size()));
        bytes_.append(text);
    }
    void position(const Position& position) {
        number(position.epoch);
        number(position.sequence);
    }
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

// Reads what Writer wrote; after the first field that is cut off all are empty and done() is false.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}

    template <class Integer>
    Integer number() {
        Integer value = 0;
        const std::string_view bytes = take(sizeof value);
        if (!bytes.empty()) std::memcpy(&value, bytes.data(), sizeof value);
        return value;
    }
    std::string_view text() { return take(number<std::uint32_t>()); }
    Position position() {
        Position position;
        position.epoch = number<std::uint64_t>();
        position.sequence = number<std::uint64_t>();
        return position;
    }
    std::string_view rest() const { return rest_; }
    bool good() const { return good_; }
    bool done() const { return good_ && rest_.empty(); }

private:
    std::string_view take(std::size_t size) {
        if (size > rest_.size()) good_ = false;
        if (!good_) return {};
        const std::string_view taken = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return taken;
    }

    std::string_view rest_;
    bool good_ = true;
};

std::uint64_t checksumOf(std::string_view sealed) { return XXH3_64bits(sealed.data(), sealed.size()); }

}  // namespace

std::string recordKey(std::string_view name) {
    if (name.size() <= kLongestPlainKey) return std::string(name);
    const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
    return fmt::format("{}#{:016x}{:016x}", name.substr(0, kLongestPlainKey), hash.high64, hash.low64);
}

std::string sealRecord(std::string_view name, std::string_view bytes) {
    Writer inner;
    inner.text(name);
    std::string covered = inner.take();
    covered += bytes;
    Writer outer;
    outer.number(checksumOf(covered));
    return outer.take() + covered;
}

std::optional<Record> openRecord(std::string_view key, std::string_view value) {
    Reader reader(value);
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
    Writer writer;
    writer.number(number);
    return writer.take();
}

std::string encode(const Position& position) {
    Writer writer;
    writer.position(position);
    return writer.take();
}

std::string encode(const Batch& batch) {
    Writer writer;
    writer.position(batch.position);
    for (const Change& change : batch.changes) {
        writer.text(change.key);
        writer.number(static_cast<std::uint8_t>(change.value.has_value()));
        writer.text(change.value ? std::string_view(*change.value) : std::string_view());
    }
    return writer.take();
}

std::string encode(const Summary& summary) {
    Writer writer;
    writer.number(summary.records);
    writer.number(summary.checksums);
    writer.number(summary.transaction);
    return writer.take();
}

std::optional<std::uint64_t> decodeNumber(std::string_view bytes) {
    Reader reader(bytes);
    const auto number = reader.number<std::uint64_t>();
    return reader.done() ? std::optional(number) : std::nullopt;
}

std::optional<Position> decodePosition(std::string_view bytes) {
    Reader reader(bytes);
    const Position position = reader.position();
    return reader.done() ? std::optional(position) : std::nullopt;
}

std::optional<Batch> decodeBatch(std::string_view bytes) {
    Reader reader(bytes);
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
    Reader reader(bytes);
    Summary summary;
    summary.records = reader.number<std::uint64_t>();
    summary.checksums = reader.number<std::uint64_t>();
    summary.transaction = reader.number<std::uint64_t>();
    return reader.done() ? std::optional(summary) : std::nullopt;
}

}  // namespace beechpoint::storage
