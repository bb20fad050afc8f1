// A full table in chunks from members whose tables advance meanwhile: the result must be the table at the position it states.
#include "replica/received_state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/splitmix.hpp"
#include "replica/replica_table.hpp"
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

using Source = ReceivedState::Source;

constexpr std::size_t kChunk = 100;  // bytes

// One history of committed batches, and members that hold a prefix of it.
class History {
public:
    explicit History(std::uint64_t seed) : random_(seed) {
        DurableState state;
        for (int key = 0; key < 60; ++key) state.table[keyOf(key)] = "0";
        state.position = {1, 1};
        tables_.push_back(state.table);
        for (int member = 0; member < 3; ++member) members_.emplace_back(state);
    }
    void write() {
        Batch batch{{1, 1 + tables_.size()}, {}};
        for (int change = 0; change < 3; ++change) {
            const std::string key = keyOf(static_cast<int>(random_.below(80)));
            const bool removes = random_.below(3) == 0;
            batch.changes.push_back(
                {key, removes ? std::nullopt : std::optional(std::to_string(tables_.size()))});
        }
        Table next = tables_.back();
        beechpoint::apply(batch.changes, next);
        tables_.push_back(std::move(next));
        batches_.push_back(std::move(batch));
    }
    // The member applies the next batch, if there is one.
    void advance(std::size_t member) {
        ReplicaTable& table = members_[member];
        const std::size_t applied = table.appliedPosition().sequence - 1;
        if (applied == batches_.size()) return;
        table.setPending(batches_[applied]);
        static_cast<void>(table.applyPending());
    }
    // The member's process restarts, which clears its batch history.
    void restart(std::size_t member) {
        const ReplicaTable& before = members_[member];
        DurableState state;
        state.table = before.history().table();
        state.position = before.appliedPosition();
        members_[member] = ReplicaTable(state);
    }
    SyncReply answer(std::size_t member, const SyncRequest& request) const {
        return members_[member].appliedState(request, kChunk);
    }
    const Table& tableAt(Position position) const { return tables_.at(position.sequence - 1); }

private:
    static std::string keyOf(int key) { return fmt::format("key-{:02}", key); }

    SplitMix random_;
    std::vector<Table> tables_;  // after each batch
    std::vector<Batch> batches_;
    std::vector<ReplicaTable> members_;
};

Table tableOf(const TableUpdate& update) {
    Table table;
    beechpoint::apply(update.changes, table);
    return table;
}

// Replies are lost, duplicated or delayed; requests go to random members, which lag behind one another and lose their history.
TEST(ReceivedState, IsTheTableAtItsPositionWhateverHappensMeanwhile) {
    std::size_t completed = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        History history(seed);
        SplitMix random(seed * 31 + 7);
        ReceivedState received;
        std::vector<SyncReply> earlier;
        std::size_t member = 0;
        for (int step = 0; step < 60; ++step) {
            if (random.below(3) == 0) history.write();
            for (std::size_t each = 0; each < 3; ++each)
                if (random.below(2) == 0) history.advance(each);
            if (random.below(8) == 0) member = random.below(3);
            if (random.below(25) == 0) history.restart(random.below(3));
            SyncRequest request;
            received.describe(request);
            SyncReply reply = history.answer(member, request);
            earlier.push_back(reply);
            if (random.below(6) == 0) continue;
            if (random.below(6) == 0) reply = earlier[random.below(earlier.size())];
            const auto update = received.onChunk(reply, Source::committedState);
            if (!update) continue;
            ++completed;
            ASSERT_EQ(tableOf(*update), history.tableAt(update->position)) << "not the table, seed " << seed;
            earlier.clear();
        }
    }
    EXPECT_GT(completed, 3000u);
}

SyncReply chunkOf(Position base, const std::string& afterKey, const std::string& key, bool more) {
    return {{}, {base, true, {{key, "1"}}}, base, afterKey, more};
}

// A starting state that was not installed may be discarded with its view, so its chunks are not used in the next one.
TEST(ReceivedState, DropsChunksOfAStartingStateWithTheView) {
    for (const Source source : {Source::committedState, Source::startingState}) {
        ReceivedState received;
        EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "a", true), source));
        received.enterView();
        SyncRequest request;
        received.describe(request);
        EXPECT_EQ(request.afterKey, source == Source::committedState ? "a" : "");
    }
}

TEST(ReceivedState, IgnoresAFirstChunkThatCameLate) {
    ReceivedState received;
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "a", true), Source::committedState));
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "a", "b", true), Source::committedState));
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "a", true), Source::committedState));
    EXPECT_FALSE(received.onChunk(chunkOf({2, 4}, "", "a", true), Source::committedState));
    SyncRequest request;
    received.describe(request);
    EXPECT_EQ(request.afterKey, "b");
    EXPECT_FALSE(received.onChunk(chunkOf({2, 6}, "", "a", true), Source::committedState)) << "begun anew";
    received.describe(request);
    EXPECT_EQ(request.afterKey, "a");
    EXPECT_EQ(request.base, (Position{2, 6}));
}

SyncRequest requestOf(const ReceivedState& received) {
    SyncRequest request;
    received.describe(request);
    return request;
}

// Guards against: chunks of a lost member were kept though the only member left had no table as new as theirs, so that no transfer ended.
TEST(ReceivedState, BeginsAnewAtMemberOfViewThatIsBehind) {
    ReceivedState received;
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "b", true), Source::committedState));
    received.enterView();
    EXPECT_FALSE(received.onChunk(chunkOf({2, 4}, "", "a", true), Source::startingState));
    EXPECT_EQ(requestOf(received).base, (Position{2, 4}));
    EXPECT_EQ(requestOf(received).afterKey, "a");
    EXPECT_FALSE(received.onChunk(chunkOf({2, 3}, "", "c", true), Source::startingState));
    EXPECT_EQ(requestOf(received).base, (Position{2, 4})) << "a transfer of the starting state goes on";
}

// Guards against: the same, where the member that is behind could continue the transfer but for rows that were newer.
TEST(ReceivedState, AbandonsTransferThatMemberOfViewContinuesWithOlderRows) {
    ReceivedState received;
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "a", true), Source::committedState));
    SyncReply newer = chunkOf({2, 5}, "a", "b", true);
    newer.update.position = {2, 7};
    EXPECT_FALSE(received.onChunk(newer, Source::committedState));
    received.enterView();
    SyncReply older = chunkOf({2, 5}, "b", "c", true);
    older.update.position = {2, 6};
    EXPECT_FALSE(received.onChunk(older, Source::startingState));
    EXPECT_EQ(requestOf(received).afterKey, "");
    EXPECT_EQ(requestOf(received).base, (Position{}));
}

TEST(ReceivedState, ContinuesTransferFromBeforeTheView) {
    ReceivedState received;
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "", "a", true), Source::committedState));
    received.enterView();
    EXPECT_FALSE(received.onChunk(chunkOf({2, 5}, "a", "b", true), Source::startingState));
    EXPECT_EQ(requestOf(received).afterKey, "b");
}

TEST_F(ReplicaTest, AsksForTheNextChunkAtOnceAndStoresTheWhole) {
    startWith(usedDisk());
    enterView(1, {1, 9}, false);
    receive("a", Propose{true, {}, {{1, 9}, {}}});
    storeAllPersists();
    ASSERT_TRUE(last<SyncRequest>());
    EXPECT_TRUE(last<SyncRequest>()->acceptsChunks);
    clearActions();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}, {1, 9}, "", true});
    ASSERT_EQ(countSent<SyncRequest>("a"), 1u);
    EXPECT_EQ(last<SyncRequest>()->afterKey, "k");
    EXPECT_EQ(last<SyncRequest>()->base, (Position{1, 9}));
    EXPECT_TRUE(persists_.empty()) << "nothing is stored of a part";
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}, {1, 9}, "", true});
    EXPECT_EQ(countSent<SyncRequest>("a"), 1u) << "a repeated chunk is not answered by a second request";
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"l", "9"}}}, {1, 9}, "k", false});
    storeAllPersists();
    receive("c", Commit{{1, 9}});
    EXPECT_EQ(replica_->committedTable(), (Table{{"k", "9"}, {"l", "9"}}));
}

TEST_F(ReplicaTest, SendsALargeTableInChunksOnlyToThoseThatAcceptThem) {
    DurableState state = usedDisk();
    for (int key = 0; key < 40; ++key) state.table["key-" + std::to_string(key)] = std::string(40'000, 'x');
    startWith(state);
    enterView(0);
    SyncRequest request{{0, 1}, true};
    receive("a", request);
    ASSERT_TRUE(last<SyncReply>());
    EXPECT_EQ(last<SyncReply>()->update.changes.size(), 41u);
    EXPECT_EQ(last<SyncReply>()->base, Position{});
    request.acceptsChunks = true;
    receive("a", request);
    EXPECT_TRUE(last<SyncReply>()->more);
    EXPECT_LT(last<SyncReply>()->update.changes.size(), 20u);
}

}  // namespace
}  // namespace beechpoint::replica
