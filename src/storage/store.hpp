// The durable part of a control process, on LMDB: who the node is, the last view, the last vote, the replicated table
// with its position, and the batch that is stored but not yet committed. One thread uses a store at a time.
//
// Each write is one transaction, durable when write() returns (unless forceSync is off). Each record carries a checksum,
// and one summary record covers all others; the file's page structure is checked before LMDB reads it. A store that
// fails a check is moved aside and counts as lost: the node starts with an empty one, never with half of the old one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::storage {

inline constexpr std::size_t kDefaultMapBytes = 64u << 20;
// The name, within the store's directory, of the last store that failed its checks. Larger ones are removed at once, so
// that the new store has room.
inline constexpr const char* kAsideName = "lost.mdb";
inline constexpr std::uintmax_t kMaxAsideBytes = 4u << 20;

// All that a store held when it was opened.
struct Contents {
    bool fresh = false;  // there was nothing before (also true when lost)
    bool lost = false;   // there was a store, and it failed its checks
    std::string lossReason;

    std::optional<std::uint64_t> incarnation;  // the node record
    std::optional<std::string> view;
    std::optional<std::string> vote;
    std::optional<std::uint64_t> syncedEpoch;
    Position position;
    Table table;
    std::optional<Batch> pending;
};

// The whole table at a position, in place of what was there.
struct Snapshot {
    Position position;
    Table table;
};

// One transaction. What is absent stays as it is. Order: snapshot, then fold, then the rest.
struct Update {
    std::optional<std::uint64_t> incarnation;
    std::optional<std::string> view;
    std::optional<std::string> vote;
    std::optional<std::uint64_t> syncedEpoch;
    std::optional<Snapshot> snapshot;
    std::optional<Batch> fold;  // changes to apply to the table, and the position that it then has
    bool clearPending = false;  // done before `pending` is set
    std::optional<Batch> pending;
    // Off only for a pure fold of a batch that is durable as pending elsewhere: after a loss of power the transaction
    // may be undone as a whole, but it never leaves a torn store. Saves one of two syncs.
    bool forceSync = true;
};

struct Opened;

class Store {
public:
    // Creates the directory and the file where they are missing, and makes their names durable. `mapBytes` bounds the
    // file; its last part (an eighth, at most 1 MB) is open to small updates only, so that votes and removals still fit
    // when the table is full. Errors are of kind `storage`: the disk refuses; a store that fails its checks
    // is no error but `Contents::lost`.
    static Result<Opened> open(const std::filesystem::path& directory,
                               std::size_t mapBytes = kDefaultMapBytes);

    Store(Store&&) noexcept;
    Store& operator=(Store&&) noexcept;
    ~Store();

    // All or nothing. After an error of kind `storage` the store is as it was before, except that a failed sync leaves it
    // unknown whether the transaction is durable; the same update may be written again (it is idempotent).
    Result<void> write(const Update& update);

private:
    struct State;
    explicit Store(std::unique_ptr<State> state);
    std::unique_ptr<State> state_;
};

struct Opened {
    Store store;
    Contents contents;
};

}  // namespace beechpoint::storage
