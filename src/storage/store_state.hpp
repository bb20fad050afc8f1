/// The inner part of Store: the environment, its directory, and how large its map may be.
///
///   state              | event                                   | next
///   open               | commit succeeds, or the map is full     | open
///   open               | a commit or sync fails otherwise        | closed: what LMDB holds in memory may differ from the file
///   open               | MDB_PANIC: an earlier commit had failed | reopened, and the commit is tried once more
///   closed             | write()                                 | reopened with all checks, then as open
///   closed             | reopening fails                         | closed; the write fails
#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

#include "core/result.hpp"
#include "storage/environment.hpp"
#include "storage/store.hpp"

namespace beechpoint::storage {

class StoreState {
public:
    /// `directory` is absolute and exists.
    StoreState(std::filesystem::path directory, std::size_t mapBytes);

    /// What opening found: either all checks passed, or the first that failed.
    struct Loaded {
        std::optional<std::string> fault;
        Contents contents;  ///< empty with a fault
    };
    /// Opens the environment and loads it with all checks; with a fault it is closed again. An error: the disk refuses.
    [[nodiscard]] Result<Loaded> load();

    /// As Store::write().
    [[nodiscard]] Result<void> write(const Update& update);

    /// Whether the store has records. Once it has, a file that is found empty when it is reopened is an error: it was removed
    /// under the running process.
    void setWritten(bool written) { written_ = written; }

private:
    Result<bool> fileHasBytes(const std::filesystem::path& file) const;
    int openAndLoad(Loaded& loaded);
    Result<void> makeDurable(const std::filesystem::path& file, bool isNew);
    Result<void> reopen();
    int commit(const Update& update);

    std::filesystem::path directory_;
    std::size_t fullMapBytes_;
    std::size_t mapBytes_;  // grows to fullMapBytes_ when small updates need it
    bool written_ = false;
    Environment environment_;
};

}  // namespace beechpoint::storage
