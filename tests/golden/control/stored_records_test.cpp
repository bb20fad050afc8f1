// Records of the store one by one: the bytes of before are read, and written again.
#include <gtest/gtest.h>

#include "control/durable_records.hpp"
#include "control/replica_codec.hpp"
#include "equality.hpp"
#include "golden_file.hpp"
#include "replica_samples.hpp"
#include "storage/digests.hpp"
#include "storage/record.hpp"

namespace beechpoint::golden {
namespace {

class StoredRecordsTest : public ::testing::Test {
protected:
    // Written alike, read by `decode` as `value`, and what was read is written alike. Messages go by Result, records by std::optional.
    template <class T, class Encode, class Decode>
    void check(const std::string& name, const T& value, const Encode& encode, const Decode& decode) {
        const std::string bytes = golden_.check(name, encode(value));
        const auto read = decode(bytes);
        ASSERT_TRUE(read) << name;
        EXPECT_TRUE(read.value() == value) << name;
        EXPECT_EQ(encode(read.value()), bytes) << name;
    }

    void checkView(const std::string& name, const control::StoredView& view) {
        check(name, view, control::encodeView, control::decodeView);
    }
    void checkVote(const std::string& name, const replica::Vote& vote) {
        check(name, vote, control::encodeVote, control::decodeVote);
    }
    void checkBatch(const std::string& name, const Batch& batch) {
        check(
            name, batch, [](const Batch& value) { return storage::encode(value); }, storage::decodeBatch);
    }

    // The record as LMDB gets it: its key, and its name and bytes under a checksum.
    void checkSealed(const std::string& entry, const std::string& name, const std::string& bytes) {
        const std::string key = golden_.check(entry + "/key", storage::recordKey(name));
        const std::string sealed = golden_.check(entry + "/value", storage::sealRecord(name, bytes));
        const auto record = storage::openRecord(key, sealed);
        ASSERT_TRUE(record) << entry;
        EXPECT_EQ(record->name, name);
        EXPECT_EQ(record->bytes, bytes);
        EXPECT_EQ(storage::sealRecord(record->name, record->bytes), sealed);
    }

    GoldenFile golden_{"stored_records"};
};

TEST_F(StoredRecordsTest, View) {
    checkView("view/full", {sampleFounders(), sampleView()});
    checkView("view/empty", {});
    control::StoredView withoutVoters{{}, sampleView()};
    withoutVoters.view.voters.clear();
    checkView("view/without_voters", withoutVoters);
}

TEST_F(StoredRecordsTest, Vote) {
    checkVote("vote/full", sampleVote());
    checkVote("vote/empty", {});
    replica::Vote promised = sampleVote();
    promised.value.reset();
    checkVote("vote/without_value", promised);
}

TEST_F(StoredRecordsTest, PendingBatch) {
    checkBatch("pending/full", sampleBatch());
    checkBatch("pending/empty", {});
}

TEST_F(StoredRecordsTest, PositionAndNumber) {
    const auto encodePosition = [](const Position& position) { return storage::encode(position); };
    check("position/full", Position{0x0102030405060708u, 300}, encodePosition, storage::decodePosition);
    check("position/empty", Position{}, encodePosition, storage::decodePosition);
    const auto encodeNumber = [](std::uint64_t number) { return storage::encode(number); };
    check("number", std::uint64_t{0x0102030405060708u}, encodeNumber, storage::decodeNumber);
}

TEST_F(StoredRecordsTest, Summary) {
    const storage::Summary summary{7, 0x0102030405060708u, 300};
    const std::string bytes = golden_.check("summary", storage::encode(summary));
    const auto read = storage::decodeSummary(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->records, 7u);
    EXPECT_EQ(read->checksums, 0x0102030405060708u);
    EXPECT_EQ(read->transaction, 300u);
    EXPECT_EQ(storage::encode(*read), bytes);
}

TEST_F(StoredRecordsTest, SealedRecords) {
    checkSealed("sealed/node", "node", storage::encode(std::uint64_t{42}));
    checkSealed("sealed/view", "view", control::encodeView({sampleFounders(), sampleView()}));
    checkSealed("sealed/vote", "vote", control::encodeVote(sampleVote()));
    checkSealed("sealed/synced", "synced", storage::encode(std::uint64_t{5}));
    checkSealed("sealed/position", "position", storage::encode(Position{6, 300}));
    checkSealed("sealed/pending", "pending", storage::encode(sampleBatch()));
    checkSealed("sealed/table", "table/route/r1", R"({"prefix":"/v1"})");
    checkSealed("sealed/empty", "table/", "");
}

TEST_F(StoredRecordsTest, LongNamesAreCutAndToldApart) {
    checkSealed("sealed/longest_plain", std::string(400, 'k'), "value");
    checkSealed("sealed/long", std::string(401, 'k'), "value");
}

// A record that is altered, cut off or under another key counts as lost.
TEST_F(StoredRecordsTest, LostRecords) {
    const std::string sealed = golden_.check("sealed/lost", storage::sealRecord("view", "bytes"));
    ASSERT_TRUE(storage::openRecord("view", sealed));
    EXPECT_FALSE(storage::openRecord("vote", sealed));
    EXPECT_FALSE(storage::openRecord("view", sealed.substr(0, sealed.size() - 1)));
    for (std::size_t at = 0; at < sealed.size(); ++at) {
        std::string altered = sealed;
        altered[at] = static_cast<char>(altered[at] ^ 1);
        EXPECT_FALSE(storage::openRecord("view", altered)) << "byte " << at;
    }
}

TEST_F(StoredRecordsTest, DigestsOfTheTable) {
    const Table table{{"route/r1", "one"}, {"route/r2", "two"}, {"service/s1", "three"}};
    std::string digests;
    for (const std::uint64_t digest : storage::digestRanges(table, 4)) digests += storage::encode(digest);
    EXPECT_EQ(golden_.check("digests", digests), digests);
}

}  // namespace
}  // namespace beechpoint::golden
