/// Form of the store's records: name and bytes under one checksum, so that a record that is torn, altered or found under
/// another name is noticed. Integers are in the machine's byte order, as LMDB's own file is.
///
///   value of a record   checksum (8 bytes, XXH3-64 of all that follows), length of the name (4), name, bytes
///   key of a record     its name; a long one is truncated and made unique by its hash
///
/// Pure functions; nothing here reads or writes a file. The form is on disk (tests/golden/control holds bytes of it).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/replicated_table.hpp"

namespace beechpoint::storage {

/// A record that matches its checksum.
struct Record {
    std::string_view name;
    std::string_view bytes;
    std::uint64_t checksum = 0;
};

/// The key under which LMDB keeps the record of that name. LMDB's limit of a key is 511 bytes.
[[nodiscard]] std::string recordKey(std::string_view name);
/// The value of a record: its name and bytes under their checksum.
[[nodiscard]] std::string sealRecord(std::string_view name, std::string_view bytes);
/// Nothing when the value was not sealed for this key or has changed since. Views into `value`.
[[nodiscard]] std::optional<Record> openRecord(std::string_view key, std::string_view value);

/// What all other records add up to: a record that is missing, or that is of another transaction, shows against it.
struct Summary {
    std::uint64_t records = 0;
    std::uint64_t checksums = 0;    ///< exclusive or of the records' checksums
    std::uint64_t transaction = 0;  ///< LMDB's number of the transaction that wrote it

    void add(const Record& record);
    void remove(const Record& record);
};

/// The bytes of a record of each kind, and back. Nothing for bytes that are not exactly one value of the kind.
[[nodiscard]] std::string encode(std::uint64_t number);
[[nodiscard]] std::string encode(const Position& position);
[[nodiscard]] std::string encode(const Batch& batch);
[[nodiscard]] std::string encode(const Summary& summary);
[[nodiscard]] std::optional<std::uint64_t> decodeNumber(std::string_view bytes);
[[nodiscard]] std::optional<Position> decodePosition(std::string_view bytes);
[[nodiscard]] std::optional<Batch> decodeBatch(std::string_view bytes);
[[nodiscard]] std::optional<Summary> decodeSummary(std::string_view bytes);

}  // namespace beechpoint::storage
