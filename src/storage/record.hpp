// Form of the store's records: name and bytes under one checksum, so that a record that is torn, altered or found under
// another name shows. Integers are in the machine's byte order, as LMDB's own file is.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/replicated_table.hpp"

namespace beechpoint::storage {

struct Record {
    std::string_view name;
    std::string_view bytes;
    std::uint64_t checksum = 0;
};

// The key under which LMDB keeps the record; long names are cut and told apart by their hash (LMDB's limit is 511).
std::string recordKey(std::string_view name);
std::string sealRecord(std::string_view name, std::string_view bytes);
// Nothing when the value was not sealed for this key or has changed since. Views into `value`.
std::optional<Record> openRecord(std::string_view key, std::string_view value);

// What all other records add up to: it shows one that is missing, or that is of another transaction.
struct Summary {
    std::uint64_t records = 0;
    std::uint64_t checksums = 0;    // exclusive or of the records' checksums
    std::uint64_t transaction = 0;  // LMDB's number of the transaction that wrote it

    void add(const Record& record);
    void remove(const Record& record);
};

std::string encode(std::uint64_t number);
std::string encode(const Position& position);
std::string encode(const Batch& batch);
std::string encode(const Summary& summary);
std::optional<std::uint64_t> decodeNumber(std::string_view bytes);
std::optional<Position> decodePosition(std::string_view bytes);
std::optional<Batch> decodeBatch(std::string_view bytes);
std::optional<Summary> decodeSummary(std::string_view bytes);

}  // namespace beechpoint::storage
