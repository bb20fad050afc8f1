// One LMDB environment of the store: opening and loading with all checks, and single transactions. Returns LMDB's error
// codes; Store turns them into errors and decides what to do about them.
#pragma once

#include <lmdb.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "storage/record.hpp"
#include "storage/store.hpp"

namespace beechpoint::storage {

inline constexpr const char* kDataFile = "data.mdb";

class Environment {
public:
    Environment() = default;
    ~Environment() { close(); }
    Environment(const Environment&) = delete;
    Environment& operator=(const Environment&) = delete;

    int open(const std::filesystem::path& directory, std::size_t mapBytes);
    void close();
    bool isOpen() const { return environment_ != nullptr; }
    // Between transactions.
    int resizeMap(std::size_t mapBytes) { return mdb_env_set_mapsize(environment_, mapBytes); }

    // Reads all records into `contents`; a fault is text. Without a fault later transactions may follow.
    struct Loaded {
        int error = 0;
        std::optional<std::string> fault;
    };
    Loaded load(Contents& contents);

    // One transaction; not synced. After an error nothing of it is there.
    int commit(const Update& update);
    int sync() { return mdb_env_sync(environment_, 1); }

private:
    class Transaction;

    MDB_env* environment_ = nullptr;
    MDB_dbi records_ = 0;
    Summary summary_;
};

}  // namespace beechpoint::storage
