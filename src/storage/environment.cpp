#include "storage/environment.hpp"

#include <fmt/format.h>

#include <set>

namespace beechpoint::storage {

namespace {

constexpr std::string_view kSummary = "summary";
constexpr std::string_view kNode = "node";
constexpr std::string_view kView = "view";
constexpr std::string_view kVote = "vote";
constexpr std::string_view kSynced = "synced";
constexpr std::string_view kPosition = "position";
constexpr std::string_view kPending = "pending";
constexpr std::string_view kTablePrefix = "table/";
constexpr mdb_mode_t kFileMode = 0644;

// No shared lock file: this process is the only user of its directory. The last page of a commit is written through the
// ordinary descriptor, and sync() covers it; LMDB's second one, opened O_DSYNC, is not relied upon. The order of a commit
// stays: its other pages are synced before that page is written, so a loss of power undoes it as a whole.
constexpr unsigned kFlags = MDB_NOLOCK | MDB_NOTLS | MDB_NOMETASYNC | MDB_NORDAHEAD;

std::string_view view(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

MDB_val val(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }

std::string tableName(const std::string& key) { return std::string(kTablePrefix) + key; }

template <class T, class Value>
bool keep(std::optional<T>& target, Value decoded) {
    target = std::move(decoded);
    return target.has_value();
}

// Puts one record where it belongs; false when its bytes are not of its kind.
bool place(const Record& record, Contents& contents) {
    if (record.name.starts_with(kTablePrefix)) {
        contents.table.emplace(record.name.substr(kTablePrefix.size()), record.bytes);
        return true;
    }
    if (record.name == kNode) return keep(contents.incarnation, decodeNumber(record.bytes));
    if (record.name == kView) return keep(contents.view, std::optional<std::string>(record.bytes));
    if (record.name == kVote) return keep(contents.vote, std::optional<std::string>(record.bytes));
    if (record.name == kSynced) return keep(contents.syncedEpoch, decodeNumber(record.bytes));
    if (record.name == kPending) return keep(contents.pending, decodeBatch(record.bytes));
    if (record.name != kPosition) return false;
    const std::optional<Position> position = decodePosition(record.bytes);
    if (position) contents.position = *position;
    return position.has_value();
}

}  // namespace

// --- Environment::Transaction

// Writes records and keeps the summary in step; ends without effect unless committed. After the first error the rest is
// skipped and commit() returns it.
class Environment::Transaction {
public:
    explicit Transaction(Environment& environment)
        : environment_(environment), summary_(environment.summary_) {
        error_ = mdb_txn_begin(environment.environment_, nullptr, 0, &transaction_);
    }
    ~Transaction() {
        if (transaction_) mdb_txn_abort(transaction_);
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;

    void put(std::string_view name, std::string_view bytes) {
        const std::string key = recordKey(name);
        const std::string sealed = sealRecord(name, bytes);
        takeOut(key);
        write(key, sealed);
        if (error_ == 0) summary_.add(*openRecord(key, sealed));
    }

    void remove(std::string_view name) {
        const std::string key = recordKey(name);
        if (!takeOut(key)) return;
        MDB_val disk = val(key);
        error_ = mdb_del(transaction_, environment_.records_, &disk, nullptr);
    }

    void apply(const std::vector<Change>& changes) {
        for (const Change& change : changes) {
            if (change.value)
                put(tableName(change.key), *change.value);
            else
                remove(tableName(change.key));
        }
    }

    // Removes the records of the table that `table` does not have, then writes all of it.
    void replaceTable(const Table& table) {
        for (const std::string& name : tableNames())
            if (!table.contains(name.substr(kTablePrefix.size()))) remove(name);
        for (const auto& [key, value] : table) put(tableName(key), value);
    }

    int commit() {
        summary_.transaction = error_ == 0 ? mdb_txn_id(transaction_) : 0;
        write(std::string(kSummary), sealRecord(kSummary, encode(summary_)));
        if (error_ != 0) return error_;
        error_ = mdb_txn_commit(transaction_);
        transaction_ = nullptr;  // ended either way
        if (error_ == 0) environment_.summary_ = summary_;
        return error_;
    }

private:
    void write(const std::string& key, const std::string& sealed) {
        if (error_ != 0) return;
        MDB_val disk = val(key);
        MDB_val value = val(sealed);
        error_ = mdb_put(transaction_, environment_.records_, &disk, &value, 0);
    }

    // Takes the present record under this key, if any, out of the summary.
    bool takeOut(const std::string& key) {
        if (error_ != 0) return false;
        MDB_val disk = val(key);
        MDB_val value{};
        const int found = mdb_get(transaction_, environment_.records_, &disk, &value);
        if (found == MDB_NOTFOUND) return false;
        const std::optional<Record> record = found == 0 ? openRecord(key, view(value)) : std::nullopt;
        if (!record) error_ = found != 0 ? found : MDB_CORRUPTED;
        if (record) summary_.remove(*record);
        return record.has_value();
    }

    std::set<std::string> tableNames() {
        std::set<std::string> names;
        MDB_cursor* cursor = nullptr;
        if (error_ == 0) error_ = mdb_cursor_open(transaction_, environment_.records_, &cursor);
        if (error_ != 0) return names;
        MDB_val key = val(kTablePrefix);
        MDB_val value{};
        int found = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
        while (found == 0 && view(key).starts_with(kTablePrefix)) {
            const std::optional<Record> record = openRecord(view(key), view(value));
            if (!record) break;
            names.emplace(record->name);
            found = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
        }
        mdb_cursor_close(cursor);
        const bool ended = found == MDB_NOTFOUND || (found == 0 && !view(key).starts_with(kTablePrefix));
        if (!ended) error_ = found != 0 ? found : MDB_CORRUPTED;
        return names;
    }

    Environment& environment_;
    Summary summary_;
    MDB_txn* transaction_ = nullptr;
    int error_ = 0;
};

// --- Environment

int Environment::open(const std::filesystem::path& directory, std::size_t mapBytes) {
    int error = mdb_env_create(&environment_);
    if (error != 0) {
        environment_ = nullptr;
        return error;
    }
    error = mdb_env_set_mapsize(environment_, mapBytes);
    if (error == 0) error = mdb_env_open(environment_, directory.c_str(), kFlags, kFileMode);
    MDB_txn* transaction = nullptr;
    if (error == 0) error = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction);
    if (error == 0) {
        error = mdb_dbi_open(transaction, nullptr, 0, &records_);
        mdb_txn_abort(transaction);
    }
    if (error != 0) close();
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
    const std::uint64_t newest = mdb_txn_id(transaction);
    MDB_cursor* cursor = nullptr;
    int error = mdb_cursor_open(transaction, records_, &cursor);
    std::optional<std::string> fault;
    std::optional<Summary> stored;
    Summary counted;
    MDB_val key{};
    MDB_val value{};
    while (error == 0 && !fault) {
        error = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
        if (error != 0) break;
        const std::optional<Record> record = openRecord(view(key), view(value));
        if (record && record->name == kSummary) {
            stored = decodeSummary(record->bytes);
            continue;
        }
        if (!record || !place(*record, contents)) {
            fault = fmt::format("the record '{}' does not match its checksum", view(key));
            break;
        }
        counted.add(*record);
    }
    if (cursor) mdb_cursor_close(cursor);
    mdb_txn_abort(transaction);
    if (fault) return {0, fault};
    if (error != MDB_NOTFOUND) return {error, {}};
    contents.fresh = !stored && counted.records == 0 && newest == 0;
    if (contents.fresh) return {};
    if (!stored) return {0, "the summary of the records is missing"};
    if (stored->records != counted.records || stored->checksums != counted.checksums)
        return {0, "the records are not those that the summary tells of"};
    if (stored->transaction != newest) return {0, "the summary is of another transaction than the newest"};
    summary_ = *stored;
    return {};
}

int Environment::commit(const Update& update) {
    Transaction transaction(*this);
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
    return transaction.commit();
}

}  // namespace beechpoint::storage
