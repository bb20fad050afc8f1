// A whole store that the program of before wrote, data/store.mdb: it is opened and read, and the same updates write the same file.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <lmdb.h>

#include <map>
#include <stdexcept>
#include <string_view>

#include "control/durable_records.hpp"
#include "equality.hpp"
#include "golden_file.hpp"
#include "replica_samples.hpp"
#include "storage/store.hpp"
#include "temporary_directory.hpp"

namespace beechpoint::golden {
namespace {

using replica::DurableState;
using replica::DurableUpdate;
using storage::TemporaryDirectory;

constexpr std::size_t kMapBytes = 1u << 20;

std::string longKey() { return "route/" + std::string(500, 'k'); }

// Short and empty values, one on overflow pages, and a key that is cut.
TableUpdate wholeTable() {
    return {{5, 300},
            true,
            {{"meta/version", "12"},
             {"route/r1", R"({"prefix":"/v1"})"},
             {"route/gone", "removed by the next batch"},
             {"route/empty", ""},
             {"service/large", std::string(6000, 's')},
             {longKey(), "of a long key"}}};
}

TableUpdate nextBatch() {
    return {{6, 301}, false, {{"route/r1", R"({"prefix":"/v2"})"}, {"route/gone", std::nullopt}}};
}

DurableUpdate firstStart() {
    DurableUpdate update;
    update.table = wholeTable();
    update.syncedEpoch = 5;
    update.control = replica::ControlRecord{0xF0F1F2F3F4F5F601u, sampleFounders(), {}, {}};
    return update;
}

DurableUpdate pendingBatch() {
    DurableUpdate update;
    update.pending = Batch{nextBatch().position, nextBatch().changes};
    return update;
}

DurableUpdate newView() {
    DurableUpdate update;
    update.table = nextBatch();
    update.clearPending = true;
    update.pending = Batch{{6, 302}, sampleBatch().changes};
    update.syncedEpoch = 6;
    update.control =
        replica::ControlRecord{0xF0F1F2F3F4F5F601u, sampleFounders(), sampleView(), sampleVote()};
    return update;
}

std::vector<DurableUpdate> history() { return {firstStart(), pendingBatch(), newView()}; }

DurableState expectedState() {
    DurableState state;
    for (const DurableUpdate& update : history()) apply(update, state);
    return state;
}

storage::Opened open(const TemporaryDirectory& folder) {
    auto opened = storage::Store::open(folder.store(), kMapBytes);
    if (!opened) throw std::runtime_error(opened.error().text());
    return std::move(opened).value();
}

void writeHistory(const TemporaryDirectory& folder) {
    storage::Opened opened = open(folder);
    for (const DurableUpdate& update : history()) {
        const auto written = opened.store.write(control::storeUpdate(update));
        ASSERT_TRUE(written) << written.error().text();
    }
}

void putGoldenStore(const TemporaryDirectory& folder, const std::string& bytes) {
    std::filesystem::create_directories(folder.store());
    TemporaryDirectory::write(folder.data(), bytes);
}

std::string goldenStore() { return readFile(dataFile("store.mdb")); }

void expectState(storage::Contents contents, const DurableState& expected) {
    EXPECT_FALSE(contents.fresh);
    EXPECT_FALSE(contents.lost) << contents.lossReason;
    const auto state = control::durableState(std::move(contents));
    ASSERT_TRUE(state) << state.error().text();
    EXPECT_EQ(state.value().control, expected.control);
    EXPECT_EQ(state.value().syncedEpoch, expected.syncedEpoch);
    EXPECT_EQ(state.value().table, expected.table);
    EXPECT_EQ(state.value().position, expected.position);
    EXPECT_EQ(state.value().pending, expected.pending);
}

void require(int error) {
    if (error != 0) throw std::runtime_error(mdb_strerror(error));
}

std::string bytesOf(const MDB_val& value) { return {static_cast<const char*>(value.mv_data), value.mv_size}; }

// All keys and values of the file, by LMDB alone.
std::map<std::string, std::string> rawRecords(const TemporaryDirectory& folder) {
    MDB_env* environment = nullptr;
    MDB_txn* transaction = nullptr;
    MDB_dbi records = 0;
    MDB_cursor* cursor = nullptr;
    require(mdb_env_create(&environment));
    require(mdb_env_open(environment, folder.store().c_str(), MDB_RDONLY | MDB_NOLOCK, 0));
    require(mdb_txn_begin(environment, nullptr, MDB_RDONLY, &transaction));
    require(mdb_dbi_open(transaction, nullptr, 0, &records));
    require(mdb_cursor_open(transaction, records, &cursor));
    std::map<std::string, std::string> found;
    MDB_val key{}, value{};
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) found.emplace(bytesOf(key), bytesOf(value));
    mdb_cursor_close(cursor);
    mdb_txn_abort(transaction);
    mdb_env_close(environment);
    return found;
}

// The golden records, a key and a value each, numbered in the order of the keys.
void checkRecords(const std::map<std::string, std::string>& records) {
    GoldenFile golden("store_records");
    std::size_t number = 0;
    for (const auto& [key, value] : records) {
        golden.check(fmt::format("{:02}/key", number), key);
        golden.check(fmt::format("{:02}/value", number), value);
        ++number;
    }
    EXPECT_EQ(golden.size(), 2 * records.size());
}

TEST(StoredFileTest, TheUpdatesOfBeforeWriteTheFileOfBefore) {
    TemporaryDirectory folder;
    writeHistory(folder);
    const std::string bytes = readFile(folder.data());
    if (writing()) writeFile(dataFile("store.mdb"), bytes);
    ASSERT_FALSE(goldenStore().empty());
    EXPECT_TRUE(bytes == goldenStore()) << "the file that was written differs from data/store.mdb";
}

TEST(StoredFileTest, TheFileOfBeforeIsReadWithAllRecords) {
    TemporaryDirectory folder;
    putGoldenStore(folder, goldenStore());
    expectState(open(folder).contents, expectedState());
}

TEST(StoredFileTest, TheFileOfBeforeHasTheRecordsOfBefore) {
    TemporaryDirectory folder;
    putGoldenStore(folder, goldenStore());
    checkRecords(rawRecords(folder));
}

TEST(StoredFileTest, TheUpdatesOfBeforeWriteTheRecordsOfBefore) {
    TemporaryDirectory folder;
    writeHistory(folder);
    checkRecords(rawRecords(folder));
}

// The present program goes on with the file of before.
TEST(StoredFileTest, TheFileOfBeforeTakesUpdates) {
    TemporaryDirectory folder;
    putGoldenStore(folder, goldenStore());
    DurableUpdate update;
    update.table = TableUpdate{{6, 302}, false, sampleBatch().changes};
    update.clearPending = true;
    {
        storage::Opened opened = open(folder);
        ASSERT_FALSE(opened.contents.lost) << opened.contents.lossReason;
        ASSERT_TRUE(opened.store.write(control::storeUpdate(update)));
    }
    DurableState expected = expectedState();
    apply(update, expected);
    expectState(open(folder).contents, expected);
}

// Alters a key on all pages that have it, those of earlier transactions too.
std::string alteredStore() {
    constexpr std::string_view kKey = "route/empty";
    std::string bytes = goldenStore();
    for (std::size_t at = bytes.find(kKey); at != std::string::npos; at = bytes.find(kKey, at))
        bytes[at] = 'R';
    return bytes;
}

TEST(StoredFileTest, AnAlteredFileOfBeforeIsLostAndMovedAside) {
    TemporaryDirectory folder;
    const std::string bytes = alteredStore();
    ASSERT_FALSE(bytes == goldenStore());
    putGoldenStore(folder, bytes);
    const storage::Opened opened = open(folder);
    EXPECT_TRUE(opened.contents.fresh);
    EXPECT_TRUE(opened.contents.lost);
    EXPECT_TRUE(opened.contents.table.empty());
    EXPECT_TRUE(readFile(folder.store() / storage::kAsideName) == bytes);
}

}  // namespace
}  // namespace beechpoint::golden
