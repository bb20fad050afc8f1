#include "storage/store.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <random>

#include "temporary_directory.hpp"

namespace beechpoint::storage {
namespace {

constexpr std::size_t kSmallMap = 1u << 20;

Opened open(const TemporaryDirectory& directory, std::size_t mapBytes = kSmallMap) {
    Result<Opened> opened = Store::open(directory.store(), mapBytes);
    if (!opened) throw std::runtime_error(opened.error().text());
    return std::move(opened).value();
}

void write(Store& store, const Update& update) {
    const Result<void> written = store.write(update);
    ASSERT_TRUE(written) << written.error().text();
}

Batch batch(std::uint64_t sequence, std::vector<Change> changes) {
    return {{1, sequence}, std::move(changes)};
}

// An update with a record of every kind, several pages and a value on overflow pages.
Update updateOfAllRecords() {
    Update update;
    update.incarnation = 42;
    update.view = std::string("view\0bytes", 10);
    update.vote = "vote";
    update.syncedEpoch = 3;
    Snapshot snapshot;
    snapshot.position = {3, 7};
    snapshot.table["large"] = std::string(20'000, 'L');
    snapshot.table[std::string(600, 'k')] = "of a long key";
    snapshot.table[""] = "of an empty key";
    for (int i = 0; i < 200; ++i) snapshot.table["key/" + std::to_string(i)] = std::string(60, 'v');
    update.snapshot = std::move(snapshot);
    update.pending = Batch{{3, 8}, {{"a", "1"}, {"b", std::nullopt}, {"c", ""}}};
    return update;
}

void expectAllRecords(const Contents& contents) {
    const Update written = updateOfAllRecords();
    EXPECT_FALSE(contents.lost) << contents.lossReason;
    EXPECT_FALSE(contents.fresh);
    EXPECT_EQ(contents.incarnation, written.incarnation);
    EXPECT_EQ(contents.view, written.view);
    EXPECT_EQ(contents.vote, written.vote);
    EXPECT_EQ(contents.syncedEpoch, written.syncedEpoch);
    EXPECT_EQ(contents.position, written.snapshot->position);
    EXPECT_EQ(contents.table, written.snapshot->table);
    EXPECT_EQ(contents.pending, written.pending);
}

TEST(Store, OpeningNewStoreMakesDirectoriesAndIsEmpty) {
    const TemporaryDirectory directory;
    const Opened opened = open(directory);
    EXPECT_TRUE(opened.contents.fresh);
    EXPECT_FALSE(opened.contents.lost);
    EXPECT_FALSE(opened.contents.incarnation);
    EXPECT_TRUE(opened.contents.table.empty());
    EXPECT_EQ(opened.contents.position, Position{});
    EXPECT_TRUE(std::filesystem::exists(directory.data()));
}

TEST(Store, IsFreshWhenReopenedWithoutWrite) {
    const TemporaryDirectory directory;
    open(directory);
    const Opened again = open(directory);
    EXPECT_TRUE(again.contents.fresh);
    EXPECT_FALSE(again.contents.lost);
}

TEST(Store, HoldsWrittenRecordsAfterReopening) {
    const TemporaryDirectory directory;
    {
        Opened opened = open(directory);
        write(opened.store, updateOfAllRecords());
    }
    expectAllRecords(open(directory).contents);
}

// As after a kill: the file as the last write left it, the environment never closed.
TEST(Store, FileHoldsLastWriteWithoutClosing) {
    const TemporaryDirectory directory, copy;
    Opened opened = open(directory);
    for (int round = 0; round < 5; ++round) {
        write(opened.store, updateOfAllRecords());
        open(copy);
        TemporaryDirectory::write(copy.data(), TemporaryDirectory::read(directory.data()));
        expectAllRecords(open(copy).contents);
    }
}

TEST(Store, HoldsPendingBatchUntilFoldedAndCleared) {
    const TemporaryDirectory directory;
    const Batch first = batch(1, {{"a", "1"}, {"b", "2"}});
    const Batch second = batch(2, {{"a", std::nullopt}, {"c", "3"}});
    {
        Opened opened = open(directory);
        Update propose;
        propose.pending = first;
        write(opened.store, propose);
    }
    {
        Opened opened = open(directory);
        EXPECT_EQ(opened.contents.pending, first);
        EXPECT_TRUE(opened.contents.table.empty());
        Update foldAndPropose;
        foldAndPropose.fold = first;
        foldAndPropose.clearPending = true;
        foldAndPropose.pending = second;
        write(opened.store, foldAndPropose);
    }
    {
        Opened opened = open(directory);
        EXPECT_EQ(opened.contents.pending, second);
        EXPECT_EQ(opened.contents.position, first.position);
        EXPECT_EQ(opened.contents.table, (Table{{"a", "1"}, {"b", "2"}}));
        Update fold;
        fold.fold = second;
        fold.clearPending = true;
        fold.forceSync = false;
        write(opened.store, fold);
        write(opened.store, fold);  // the same again changes nothing
    }
    const Contents contents = open(directory).contents;
    EXPECT_FALSE(contents.pending);
    EXPECT_EQ(contents.position, second.position);
    EXPECT_EQ(contents.table, (Table{{"b", "2"}, {"c", "3"}}));
}

TEST(Store, SnapshotReplacesTableAndNothingElse) {
    const TemporaryDirectory directory;
    const Table table{{"key/1", "new"}, {"other", "x"}};
    {
        Opened opened = open(directory);
        write(opened.store, updateOfAllRecords());
        Update replace;
        replace.snapshot = Snapshot{{9, 1}, table};
        replace.clearPending = true;
        write(opened.store, replace);
    }
    const Contents contents = open(directory).contents;
    EXPECT_EQ(contents.table, table);
    EXPECT_EQ(contents.position, (Position{9, 1}));
    EXPECT_FALSE(contents.pending);
    EXPECT_EQ(contents.vote, "vote");
}

TEST(Store, RandomChangesEqualThoseOfTableInMemory) {
    const TemporaryDirectory directory;
    std::mt19937 random(20261202);
    Table expected;
    std::optional<Opened> opened = open(directory);
    for (std::uint64_t sequence = 1; sequence <= 300; ++sequence) {
        std::vector<Change> changes;
        for (int i = 0; i < 5; ++i) {
            const std::string key = "k" + std::to_string(random() % 60);
            if (random() % 3 == 0)
                changes.push_back({key, std::nullopt});
            else
                changes.push_back(
                    {key, std::string(random() % 5000, static_cast<char>('a' + random() % 26))});
        }
        beechpoint::apply(changes, expected);
        Update fold;
        fold.fold = batch(sequence, changes);
        write(opened->store, fold);
        if (sequence % 50 != 0) continue;
        opened.reset();
        opened = open(directory);
        ASSERT_EQ(opened->contents.table, expected);
        ASSERT_EQ(opened->contents.position, (Position{1, sequence}));
    }
}

// Whatever byte of the file is altered: the store is either as it was (the byte is not in use) or lost, and then empty and
// usable again. Never a part of it.
TEST(Store, AlteredByteLeavesStoreCompleteOrLost) {
    const TemporaryDirectory directory;
    {
        Opened opened = open(directory);
        write(opened.store, updateOfAllRecords());
        write(opened.store, updateOfAllRecords());
    }
    const std::string intact = TemporaryDirectory::read(directory.data());
    std::mt19937 random(7);
    int lost = 0;
    constexpr int kTrials = 400;
    for (int trial = 0; trial < kTrials; ++trial) {
        std::string altered = intact;
        altered[random() % altered.size()] ^= static_cast<char>(1 + random() % 255);
        TemporaryDirectory::write(directory.data(), altered);
        Opened opened = open(directory);
        if (!opened.contents.lost) {
            expectAllRecords(opened.contents);
            continue;
        }
        ++lost;
        EXPECT_TRUE(opened.contents.fresh);
        EXPECT_FALSE(opened.contents.lossReason.empty());
        EXPECT_TRUE(opened.contents.table.empty());
        EXPECT_FALSE(opened.contents.incarnation || opened.contents.view || opened.contents.vote ||
                     opened.contents.pending || opened.contents.syncedEpoch);
    }
    EXPECT_GT(lost, kTrials / 4);
}

// The same for the first bytes of each page, where LMDB keeps the numbers that it trusts.
TEST(Store, AlteredPageHeaderLeavesStoreCompleteOrLost) {
    constexpr std::size_t kPageBytes = 4096, kHeaderBytes = 48;
    const TemporaryDirectory directory;
    {
        Opened opened = open(directory);
        write(opened.store, updateOfAllRecords());
    }
    const std::string intact = TemporaryDirectory::read(directory.data());
    for (std::size_t page = 0; page < intact.size(); page += kPageBytes)
        for (std::size_t offset = 0; offset < kHeaderBytes; offset += 2) {
            std::string altered = intact;
            altered[page + offset] = static_cast<char>(altered[page + offset] ^ 0x81);
            TemporaryDirectory::write(directory.data(), altered);
            Opened opened = open(directory);
            if (!opened.contents.lost) expectAllRecords(opened.contents);
        }
}

TEST(Store, MovesLostStoreAsideAndStartsEmpty) {
    const TemporaryDirectory directory;
    {
        Opened opened = open(directory);
        write(opened.store, updateOfAllRecords());
    }
    std::string torn = TemporaryDirectory::read(directory.data());
    torn.resize(torn.size() / 2);
    TemporaryDirectory::write(directory.data(), torn);
    {
        Opened opened = open(directory);
        ASSERT_TRUE(opened.contents.lost);
        write(opened.store, updateOfAllRecords());
    }
    EXPECT_EQ(TemporaryDirectory::read(directory.store() / kAsideName), torn);
    expectAllRecords(open(directory).contents);
}

TEST(Store, EmptyFileIsFreshAndForeignFileIsLost) {
    const TemporaryDirectory directory;
    open(directory);
    TemporaryDirectory::write(directory.data(), "");
    EXPECT_FALSE(open(directory).contents.lost);
    TemporaryDirectory::write(directory.data(), std::string(10'000, 'x'));
    EXPECT_TRUE(open(directory).contents.lost);
}

TEST(Store, FullMapRejectsLargeWritesButNotVotesUntilRemoval) {
    const TemporaryDirectory directory;
    Table table;
    {
        Opened opened = open(directory);
        Result<void> written = boost::outcome_v2::success();
        std::uint64_t sequence = 0;
        const std::string value(40'000, 'v');
        while (written) {
            ASSERT_LT(++sequence, 100u);
            Update fold;
            fold.fold = batch(sequence, {{"k" + std::to_string(sequence), value}});
            written = opened.store.write(fold);
            if (written) beechpoint::apply(fold.fold->changes, table);
        }
        EXPECT_EQ(written.error().kind, ErrorKind::storage);
        EXPECT_FALSE(written.error().remedy.empty());
        EXPECT_GT(table.size(), 10u);

        Update vote;
        vote.vote = "still written";
        for (int i = 0; i < 20; ++i) write(opened.store, vote);
        Update remove;
        remove.fold = batch(200, {{"k1", std::nullopt}, {"k2", std::nullopt}});
        write(opened.store, remove);
        beechpoint::apply(remove.fold->changes, table);
        write(opened.store, vote);
        Update add;
        add.fold = batch(201, {{"again", value}});
        write(opened.store, add);
        beechpoint::apply(add.fold->changes, table);
    }
    const Contents contents = open(directory).contents;
    EXPECT_EQ(contents.table, table);
    EXPECT_EQ(contents.vote, "still written");
    EXPECT_LE(std::filesystem::file_size(directory.data()), kSmallMap);
}

// A disk that refuses to let the file grow: as a full one does.
class FileSizeLimit {
public:
    explicit FileSizeLimit(std::uintmax_t maxBytes) {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &before_);
        const rlimit limit{maxBytes, before_.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &before_); }
    FileSizeLimit(const FileSizeLimit&) = delete;
    FileSizeLimit& operator=(const FileSizeLimit&) = delete;

private:
    rlimit before_{};
};

Update largeFold(std::uint64_t sequence) {
    Update fold;
    fold.fold = batch(sequence, {{"grown", std::string(100'000, 'g')}});
    return fold;
}

TEST(Store, FailedWriteLeavesStoreUnchangedAndUsable) {
    const TemporaryDirectory directory;
    Opened opened = open(directory);
    write(opened.store, updateOfAllRecords());
    {
        const FileSizeLimit limit(std::filesystem::file_size(directory.data()));
        for (int i = 0; i < 3; ++i) {
            const Result<void> rejected = opened.store.write(largeFold(9));
            ASSERT_FALSE(rejected);
            EXPECT_EQ(rejected.error().kind, ErrorKind::storage);
        }
    }
    const TemporaryDirectory copy;
    open(copy);
    TemporaryDirectory::write(copy.data(), TemporaryDirectory::read(directory.data()));
    expectAllRecords(open(copy).contents);
    write(opened.store, largeFold(9));
    write(opened.store, updateOfAllRecords());
    const Store closed = std::move(opened.store);
    TemporaryDirectory::write(copy.data(), TemporaryDirectory::read(directory.data()));
    expectAllRecords(open(copy).contents);
}

TEST(Store, ReopeningFailsWhenFileWasRemoved) {
    const TemporaryDirectory directory;
    Opened opened = open(directory);
    write(opened.store, updateOfAllRecords());
    {
        const FileSizeLimit limit(std::filesystem::file_size(directory.data()));
        ASSERT_FALSE(opened.store.write(largeFold(9)));  // it will be opened anew
    }
    std::filesystem::remove(directory.data());
    for (int i = 0; i < 2; ++i) {
        const Result<void> rejected = opened.store.write(largeFold(9));
        ASSERT_FALSE(rejected);
        EXPECT_EQ(rejected.error().kind, ErrorKind::storage);
    }
}

TEST(Store, OpeningFailsWhenDirectoryCannotBeMade) {
    const TemporaryDirectory directory;
    TemporaryDirectory::write(directory.path() / "deep", "a file in the way");
    const Result<Opened> opened = Store::open(directory.store(), kSmallMap);
    ASSERT_FALSE(opened);
    EXPECT_EQ(opened.error().kind, ErrorKind::storage);
}

}  // namespace
}  // namespace beechpoint::storage
