/// One write transaction of an Environment: puts and removes records and keeps the summary in step with them.
#pragma once

#include <lmdb.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/replicated_table.hpp"
#include "storage/record.hpp"

namespace beechpoint::storage {

/// Ends without effect unless committed. After the first error every further step is skipped, and commit() returns that error:
/// a transaction is carried out completely or not at all.
class Transaction {
public:
    /// `summary` is that of all records before the transaction.
    Transaction(MDB_env* environment, MDB_dbi records, const Summary& summary);
    ~Transaction();
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;

    /// Writes one record in place of the present one of that name, if any.
    void put(std::string_view name, std::string_view bytes);
    void remove(std::string_view name);
    /// Changes to the replicated table.
    void apply(const std::vector<Change>& changes);
    /// Removes the records of the table that `table` does not have, then writes all of it.
    void replaceTable(const Table& table);

    /// Writes the summary and commits; not synced (Environment::sync). LMDB's error code, 0 for none.
    [[nodiscard]] int commit();
    /// The summary of all records after the transaction.
    [[nodiscard]] const Summary& summary() const { return summary_; }

private:
    void write(const std::string& key, const std::string& sealed);
    bool removeFromSummary(const std::string& key);
    std::set<std::string> tableNames();

    MDB_dbi records_;
    Summary summary_;
    MDB_txn* transaction_ = nullptr;
    int error_ = 0;
};

}  // namespace beechpoint::storage
