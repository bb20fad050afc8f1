#include "storage/environment.hpp"

#include <fmt/format.h>

#include "storage/lmdb_values.hpp"
#include "storage/record_names.hpp"
#include "storage/transaction.hpp"

namespace beechpoint::storage {

namespace {

constexpr mdb_mode_t kFileMode = 0644;

// MDB_NOLOCK: no shared lock file, since this process is the only user of its directory. MDB_NOMETASYNC: the meta page is
// written last and through the ordinary descriptor, and sync() covers it (why: store.hpp). The order of a commit stays: its
// other pages are synced before the meta page is written, so that a loss of power undoes the commit as a whole.
constexpr unsigned kFlags = MDB_NOLOCK | MDB_NOTLS | MDB_NOMETASYNC | MDB_NORDAHEAD;

template <class T>
bool assignDecoded(std::optional<T>& target, std::optional<T> decoded) {
    target = std::move(decoded);
    return target.has_value();
}

// Puts one record into its member of the contents; false when its bytes are not of its kind.
bool assignRecord(const Record& record, Contents& contents) {
    if (record.name.starts_with(kTablePrefix)) {
        contents.table.emplace(record.name.substr(kTablePrefix.size()), record.bytes);
        return true;
    }
    if (record.name == kNode) return assignDecoded(contents.incarnation, decodeNumber(record.bytes));
    if (record.name == kView) return assignDecoded(contents.view, {std::string(record.bytes)});
    if (record.name == kVote) return assignDecoded(contents.vote, {std::string(record.bytes)});
    if (record.name == kSynced) return assignDecoded(contents.syncedEpoch, decodeNumber(record.bytes));
    if (record.name == kPending) return assignDecoded(contents.pending, decodeBatch(record.bytes));
    if (record.name != kPosition) return false;
    const std::optional<Position> position = decodePosition(record.bytes);
    if (position) contents.position = *position;
    return position.has_value();
}

}  // namespace

int Environment::open(const std::filesystem::path& directory, std::size_t mapBytes) {
    int error = mdb_env_create(&environment_);
    if (error != 0) {
        environment_ = nullptr;
        return error;
    }
    error = mdb_env_set_mapsize(environment_, mapBytes);
    if (error == 0) error = mdb_env_open(environment_, directory.c_str(), kFlags, kFileMode);
    if (error == 0) error = openRecords();
    if (error != 0) close();
    return error;
}

int Environment::openRecords() {
    MDB_txn* transaction = nullptr;
    int error = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction);
    if (error != 0) return error;
    error = mdb_dbi_open(transaction, nullptr, 0, &records_);
    mdb_txn_abort(transaction);
    return error;
}

void Environment::close() {
    if (environment_) mdb_env_close(environment_);
    environment_ = nullptr;
    summary_ = {};
}

Environment::Loaded Environment::load(Contents& contents) {
    MDB_txn* transaction = nullptr;
    if (const int error = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction); error != 0)
        return {error, {}};
    RecordsRead read;
    read.newestTransaction = mdb_txn_id(transaction);
    MDB_cursor* cursor = nullptr;
    int error = mdb_cursor_open(transaction, records_, &cursor);
    if (error == 0) error = readRecords(cursor, contents, read);
    if (cursor) mdb_cursor_close(cursor);
    mdb_txn_abort(transaction);
    if (read.fault) return {0, read.fault};
    if (error != 0) return {error, {}};
    return {0, checkSummary(read, contents)};
}

// To the end of the records, or to the first that does not match its checksum.
int Environment::readRecords(MDB_cursor* cursor, Contents& contents, RecordsRead& read) {
    MDB_val key{};
    MDB_val value{};
    int error = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
    while (error == 0) {
        const std::optional<Record> record = openRecord(fromLmdb(key), fromLmdb(value));
        if (record && record->name == kSummary) {
            read.stored = decodeSummary(record->bytes);
        } else if (record && assignRecord(*record, contents)) {
            read.counted.add(*record);
        } else {
            read.fault = fmt::format("the record '{}' does not match its checksum", fromLmdb(key));
            return 0;
        }
        error = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
    }
    return error == MDB_NOTFOUND ? 0 : error;
}

// The fault, if any. Without one, the summary is the one that the next transaction builds on.
std::optional<std::string> Environment::checkSummary(const RecordsRead& read, Contents& contents) {
    const std::optional<Summary>& stored = read.stored;
    contents.fresh = !stored && read.counted.records == 0 && read.newestTransaction == 0;
    if (contents.fresh) return std::nullopt;
    if (!stored) return "the summary of the records is missing";
    if (stored->records != read.counted.records || stored->checksums != read.counted.checksums)
        return "the records are not those that the summary tells of";
    if (stored->transaction != read.newestTransaction)
        return "the summary is of another transaction than the newest";
    summary_ = *stored;
    return std::nullopt;
}

int Environment::commit(const Update& update) {
    Transaction transaction(environment_, records_, summary_);
    if (update.snapshot) {
        transaction.replaceTable(update.snapshot->table);
        transaction.put(kPosition, encode(update.snapshot->position));
    }
    if (update.fold) {
        transaction.apply(update.fold->changes);
        transaction.put(kPosition, encode(update.fold->position));
    }
    if (update.incarnation) transaction.put(kNode, encode(*update.incarnation));
    if (update.view) transaction.put(kView, *update.view);
    if (update.vote) transaction.put(kVote, *update.vote);
    if (update.syncedEpoch) transaction.put(kSynced, encode(*update.syncedEpoch));
    if (update.clearPending) transaction.remove(kPending);
    if (update.pending) transaction.put(kPending, encode(*update.pending));
    const int error = transaction.commit();
    if (error == 0) summary_ = transaction.summary();
    return error;
}

}  // namespace beechpoint::storage
