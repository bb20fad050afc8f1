#include "storage/transaction.hpp"

#include <optional>

#include "storage/lmdb_values.hpp"
#include "storage/record_names.hpp"

namespace beechpoint::storage {

Transaction::Transaction(MDB_env* environment, MDB_dbi records, const Summary& summary)
    : records_(records), summary_(summary) {
    error_ = mdb_txn_begin(environment, nullptr, 0, &transaction_);
}

Transaction::~Transaction() {
    if (transaction_) mdb_txn_abort(transaction_);
}

void Transaction::put(std::string_view name, std::string_view bytes) {
    const std::string key = recordKey(name);
    const std::string sealed = sealRecord(name, bytes);
    removeFromSummary(key);
    write(key, sealed);
    if (error_ == 0) summary_.add(*openRecord(key, sealed));
}

void Transaction::remove(std::string_view name) {
    const std::string key = recordKey(name);
    if (!removeFromSummary(key)) return;
    MDB_val keyValue = toLmdb(key);
    error_ = mdb_del(transaction_, records_, &keyValue, nullptr);
}

void Transaction::apply(const std::vector<Change>& changes) {
    for (const Change& change : changes) {
        if (change.value)
            put(tableRecordName(change.key), *change.value);
        else
            remove(tableRecordName(change.key));
    }
}

void Transaction::replaceTable(const Table& table) {
    for (const std::string& name : tableNames())
        if (!table.contains(name.substr(kTablePrefix.size()))) remove(name);
    for (const auto& [key, value] : table) put(tableRecordName(key), value);
}

int Transaction::commit() {
    summary_.transaction = error_ == 0 ? mdb_txn_id(transaction_) : 0;
    write(std::string(kSummary), sealRecord(kSummary, encode(summary_)));
    if (error_ != 0) return error_;
    error_ = mdb_txn_commit(transaction_);
    transaction_ = nullptr;  // ended, with or without an error
    return error_;
}

void Transaction::write(const std::string& key, const std::string& sealed) {
    if (error_ != 0) return;
    MDB_val keyValue = toLmdb(key);
    MDB_val value = toLmdb(sealed);
    error_ = mdb_put(transaction_, records_, &keyValue, &value, 0);
}

// Whether there was a record under this key. It is checked again: a summary without a corrupt record would hide it.
bool Transaction::removeFromSummary(const std::string& key) {
    if (error_ != 0) return false;
    MDB_val keyValue = toLmdb(key);
    MDB_val value{};
    error_ = mdb_get(transaction_, records_, &keyValue, &value);
    if (error_ == MDB_NOTFOUND) {
        error_ = 0;
        return false;
    }
    if (error_ != 0) return false;
    const std::optional<Record> record = openRecord(key, fromLmdb(value));
    if (!record) {
        error_ = MDB_CORRUPTED;
        return false;
    }
    summary_.remove(*record);
    return true;
}

// The names of the table's records; they lie side by side, since keys are in order.
std::set<std::string> Transaction::tableNames() {
    std::set<std::string> names;
    MDB_cursor* cursor = nullptr;
    if (error_ == 0) error_ = mdb_cursor_open(transaction_, records_, &cursor);
    if (error_ != 0) return names;
    MDB_val key = toLmdb(kTablePrefix);
    MDB_val value{};
    int found = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
    while (found == 0 && fromLmdb(key).starts_with(kTablePrefix)) {
        const std::optional<Record> record = openRecord(fromLmdb(key), fromLmdb(value));
        if (!record) {
            found = MDB_CORRUPTED;
            break;
        }
        names.emplace(record->name);
        found = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
    }
    mdb_cursor_close(cursor);
    if (found != 0 && found != MDB_NOTFOUND) error_ = found;
    return names;
}

}  // namespace beechpoint::storage
