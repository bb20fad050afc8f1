/// The durable state of a control member, on LMDB: the incarnation of its disk, the last view, the last vote, the replicated
/// table with its position, and the batch that is stored but not yet committed (pending).
///
/// Not here: what the records mean and when they are written (replica/, control/replica_driver), and the Raft log of the
/// gatherers (durable_files/, raft/).
///
/// Ownership and threads: a Store owns its environment and is the only user of its directory. One thread uses it at a time;
/// StoreThread gives it one of its own.
///
/// What is on disk after a crash
/// -----------------------------
/// write() carries out one Update as one LMDB transaction, in this order:
///
///   1. the records of the update, and the summary record over all records, go to pages that the newest committed state does
///      not use (copy on write), and LMDB syncs them;
///   2. LMDB writes the meta page that names these pages as the newest state, without a sync of its own (MDB_NOMETASYNC);
///   3. with Update::forceSync, a forced sync of the whole file (mdb_env_sync) makes the meta page durable; write() returns.
///
///   crash in or before 1           the state before the update; its pages are named by no meta page
///   crash in or after 2, before 3  the state before or after the update: the meta page may or may not have reached the disk.
///                                  write() has not returned, so nobody relies on either
///   crash after 3                  the state after the update
///   after forceSync = false        as between 2 and 3, until a later sync. Allowed only for what can be repeated (see Update)
///
/// So between two updates the file holds one of them completely. There is no state between two records of one update: they
/// become visible together, by the meta page.
///
/// Why the sync that LMDB does itself is not relied upon: with its default flags LMDB makes the meta page durable by writing it
/// through a second descriptor, opened with O_DSYNC. Here that page goes through the ordinary descriptor, and one forced
/// sync covers the file, so that durability rests on one mechanism and can be left out where it is not needed. A process that
/// was killed may leave pages in the system's cache only: therefore open() syncs too, before anything is answered from the file.
///
/// What a damaged file means. LMDB has no checksums, and it trusts the numbers in its pages. Three checks are made at open():
///
///   page structure (page_check.hpp), before LMDB maps the file    pages torn, truncated, used twice or out of order
///   checksum of each record over its name and bytes (record.hpp)  a record that is torn, altered or under another key
///   summary record: count, checksums and transaction of all       a record that is missing, or of another transaction
///
/// A crash alone leaves no torn record; one means that the disk or another program altered the file. It is not
/// repaired, and nothing of the store is used: the file is moved aside to kAsideName (removed above kMaxAsideBytes), the node
/// starts with an empty store, and Contents says lost and fresh. A member that lost its disk is a new one to the others: it
/// must not vote without the memory of its earlier votes.
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

/// Largest size of the file unless the caller gives another.
inline constexpr std::size_t kDefaultMapBytes = 64u << 20;
/// Name, within the store's directory, of the last store that failed its checks.
inline constexpr const char* kAsideName = "lost.mdb";
/// A larger lost store is removed at once, so that the new one has space on the disk.
inline constexpr std::uintmax_t kMaxAsideBytes = 4u << 20;

/// All that a store held when it was opened.
struct Contents {
    bool fresh = false;      ///< there was nothing before (also true when lost)
    bool lost = false;       ///< there was a store, and it failed its checks
    std::string lossReason;  ///< the check that failed; for the log

    std::optional<std::uint64_t> incarnation;  ///< of the disk
    std::optional<std::string> view;           ///< as the caller encoded it
    std::optional<std::string> vote;           ///< as the caller encoded it
    std::optional<std::uint64_t> syncedEpoch;
    Position position;
    Table table;
    std::optional<Batch> pending;
};

/// The complete table at a position; replaces what was there.
struct Snapshot {
    Position position;
    Table table;
};

/// One transaction. What is absent stays as it is. Order: snapshot, then fold, then the rest.
struct Update {
    std::optional<std::uint64_t> incarnation;
    std::optional<std::string> view;
    std::optional<std::string> vote;
    std::optional<std::uint64_t> syncedEpoch;
    std::optional<Snapshot> snapshot;
    std::optional<Batch> fold;  ///< changes to apply to the table, and the position that it then has
    bool clearPending = false;  ///< done before `pending` is set
    std::optional<Batch> pending;
    /// Off only for a mere fold of a batch that is durable as pending elsewhere: after a loss of power the transaction
    /// may be undone as a whole, but it never leaves a torn store. Saves one of two syncs.
    bool forceSync = true;
};

struct Opened;
class StoreState;

class Store {
public:
    /// Creates the directory and the file where they are missing, and makes their names durable.
    ///
    /// `mapBytes` is the largest size of the file. Its last part (an eighth, at most 1 MB) is open to small updates only, so that
    /// votes and removals still succeed when the table is full.
    ///
    /// Errors are of kind `storage`: the disk refuses. A store that fails its checks is no error but `Contents::lost`.
    [[nodiscard]] static Result<Opened> open(const std::filesystem::path& directory,
                                             std::size_t mapBytes = kDefaultMapBytes);

    Store(Store&&) noexcept;
    Store& operator=(Store&&) noexcept;
    ~Store();

    /// Carries the update out completely or not at all. After an error of kind `storage` the store is as it was before, except
    /// that a failed sync leaves it unknown whether the transaction is durable; the same update may be written again, since
    /// an update is idempotent. Blocks until the disk has synced.
    [[nodiscard]] Result<void> write(const Update& update);

private:
    explicit Store(std::unique_ptr<StoreState> state);
    std::unique_ptr<StoreState> state_;
};

/// A store and what it held.
struct Opened {
    Store store;
    Contents contents;
};

}  // namespace beechpoint::storage
