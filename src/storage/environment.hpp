/// One LMDB environment of the store: opening and loading with the checks on records, and single transactions. Returns LMDB's
/// error codes; StoreState turns them into errors and decides what to do about them.
///
/// Owns the environment's handle. One thread uses it at a time.
#pragma once

#include <lmdb.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "storage/record.hpp"
#include "storage/store.hpp"

namespace beechpoint::storage {

/// LMDB's name for the file within its directory.
inline constexpr const char* kDataFile = "data.mdb";

class Environment {
public:
    Environment() = default;
    ~Environment() { close(); }
    Environment(const Environment&) = delete;
    Environment& operator=(const Environment&) = delete;

    /// Opens the environment's file, which page_check.hpp has found sound, or makes an empty one. Closed after an error.
    [[nodiscard]] int open(const std::filesystem::path& directory, std::size_t mapBytes);
    void close();
    [[nodiscard]] bool isOpen() const { return environment_ != nullptr; }
    /// To be called between transactions only.
    [[nodiscard]] int resizeMap(std::size_t mapBytes) { return mdb_env_set_mapsize(environment_, mapBytes); }

    /// Outcome of load(): LMDB's error code, or the first check that failed, as text.
    struct Loaded {
        int error = 0;
        std::optional<std::string> fault;
    };
    /// Reads all records into `contents`. Only without an error and a fault may transactions follow.
    [[nodiscard]] Loaded load(Contents& contents);

    /// Carries out one transaction; not synced. After an error nothing of it is there.
    [[nodiscard]] int commit(const Update& update);
    /// Forced sync of the whole file, the meta page included.
    [[nodiscard]] int sync() { return mdb_env_sync(environment_, 1); }

private:
    struct RecordsRead {
        std::optional<std::string> fault;
        std::optional<Summary> stored;  // as the summary record has it
        Summary counted;                // of the records that were read
        std::uint64_t newestTransaction = 0;
    };

    int openRecords();
    int readRecords(MDB_cursor* cursor, Contents& contents, RecordsRead& read);
    std::optional<std::string> checkSummary(const RecordsRead& read, Contents& contents);

    MDB_env* environment_ = nullptr;
    MDB_dbi records_ = 0;
    Summary summary_;  // of the newest transaction
};

}  // namespace beechpoint::storage
