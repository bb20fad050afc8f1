// A table in chunks: from control::TableTransfers at a member to TableTransfer at a gateway, across members, changes and losses.
#include "gateway/table_transfer.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "control/table_transfers.hpp"
#include "control_messages/codec.hpp"
#include "control_messages/table_packing.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::gateway {
namespace {

using control::PollReply;
using control::PollRequest;
using control::TableTransfers;

constexpr Position kPosition{1, 3};

// As large as it is incompressible: each route has digits of its own.
TableUpdate tableOf(std::size_t routes, std::uint64_t seed, Position position = {1, 9}) {
    SplitMix random(seed);
    TableUpdate update{position, true, {}};
    for (std::size_t number = 0; number < routes; ++number) {
        std::string value = fmt::format(R"({{"name":"route-{}","hostname":"tenant-{}.example","digits":")",
                                        number, number % 2700);
        for (int group = 0; group < 16; ++group) value += fmt::format("{:016x}", random.bits());
        update.changes.push_back({fmt::format("route/route-{}", number), value + "\"}"});
    }
    return update;
}

// One member that answers polls with a table in chunks.
struct Member {
    TableTransfers transfers;
    std::string packed;
    Millis now = 0;

    PollReply answer(const PollRequest& request) {
        now += 20;
        PollReply reply;
        if (!transfers.resume(now, request, reply)) transfers.begin(now, packed, request, reply);
        return throughTheWire(reply);
    }
    static PollReply throughTheWire(const PollReply& reply) {
        return control::decodePollReply(control::encode(reply)).value();
    }
};

PollRequest pollOf(const TableTransfer& transfer) {
    PollRequest request;
    request.position = kPosition;
    transfer.describe(request);
    return control::decodePollRequest(control::openEnvelope(control::encode(request)).value().body).value();
}

// 20,000 routes of 2,700 tenants: no message is larger than a chunk, and each byte is sent once.
TEST(TableTransfer, BringsALargeTableInChunks) {
    const TableUpdate table = tableOf(20'000, 1);
    Member member;
    member.packed = control::packTable(table);
    ASSERT_GT(member.packed.size(), 8 * control::kChunkBytes);
    TableTransfer transfer;
    std::optional<TableUpdate> update;
    std::size_t bytes = 0;
    std::size_t largest = 0;
    while (!update) {
        const PollReply reply = member.answer(pollOf(transfer));
        EXPECT_FALSE(reply.table) << "a chunk is not unpacked by itself";
        bytes += reply.packedTable.size();
        largest = std::max(largest, control::encode(reply).size());
        ASSERT_LE(bytes, member.packed.size());
        update = transfer.onReply(reply, kPosition);
    }
    EXPECT_EQ(update->position, table.position);
    EXPECT_EQ(update->changes, table.changes);
    EXPECT_EQ(bytes, member.packed.size());
    EXPECT_LE(largest, control::kChunkBytes + 256);
    PollRequest next = pollOf(transfer);
    EXPECT_EQ(next.transferDigest, 0u);
    EXPECT_EQ(next.transferOffset, 0u);
}

// While chunks travel, the table moves on: what was begun is finished first, and the rest is a small update.
TEST(TableTransfer, EndsWhileTheTableMovesOn) {
    Member member;
    const TableUpdate first = tableOf(4'000, 1, {1, 9});
    member.packed = control::packTable(first);
    TableTransfer transfer;
    std::optional<TableUpdate> update;
    for (std::uint64_t change = 0; !update; ++change) {
        ASSERT_LT(change, 100u);
        update = transfer.onReply(member.answer(pollOf(transfer)), kPosition);
        member.packed = control::packTable(tableOf(4'000, 2 + change, {1, 10 + change}));
    }
    EXPECT_EQ(update->position, first.position);
    EXPECT_EQ(update->changes, first.changes);
}

// Another member packs the same bytes: the transfer goes on where it stopped. One with other bytes begins anew.
TEST(TableTransfer, GoesOnAtAnotherMember) {
    const TableUpdate table = tableOf(4'000, 1);
    Member one;
    Member two;
    Member ahead;
    one.packed = two.packed = control::packTable(table);
    const TableUpdate later = tableOf(4'000, 5, {1, 12});
    ahead.packed = control::packTable(later);
    TableTransfer transfer;
    EXPECT_FALSE(transfer.onReply(one.answer(pollOf(transfer)), kPosition));
    EXPECT_FALSE(transfer.onReply(two.answer(pollOf(transfer)), kPosition));
    EXPECT_EQ(pollOf(transfer).transferOffset, 2 * control::kChunkBytes);
    EXPECT_FALSE(transfer.onReply(ahead.answer(pollOf(transfer)), kPosition));
    EXPECT_EQ(pollOf(transfer).transferOffset, control::kChunkBytes) << "begun anew, with its first chunk";
    std::optional<TableUpdate> update;
    for (int poll = 0; poll < 50 && !update; ++poll)
        update = transfer.onReply(ahead.answer(pollOf(transfer)), kPosition);
    ASSERT_TRUE(update);
    EXPECT_EQ(update->changes, later.changes);
}

// Replies that are lost, repeated or of an earlier poll, and a table that came another way meanwhile.
TEST(TableTransfer, TakesChunksInOrderOnly) {
    const TableUpdate table = tableOf(4'000, 1);
    Member member;
    member.packed = control::packTable(table);
    TableTransfer transfer;
    SplitMix random(3);
    std::vector<PollReply> earlier;
    std::optional<TableUpdate> update;
    for (int poll = 0; poll < 400 && !update; ++poll) {
        const PollReply reply = member.answer(pollOf(transfer));
        earlier.push_back(reply);
        const auto choice = random.below(4);
        if (choice == 0) continue;
        update = transfer.onReply(choice == 1 ? earlier[random.below(earlier.size())] : reply, kPosition);
    }
    ASSERT_TRUE(update);
    EXPECT_EQ(update->changes, table.changes);

    EXPECT_FALSE(transfer.onReply(member.answer(pollOf(transfer)), kPosition));
    const Position moved{1, 4};
    EXPECT_FALSE(transfer.onReply(member.answer(pollOf(transfer)), moved))
        << "a delta would build on another table";
    EXPECT_EQ(pollOf(transfer).transferOffset, 0u);
}

TEST(TableTransfer, DropsWhatDoesNotMatchItsDigestOrIsTooLarge) {
    Member member;
    member.packed = control::packTable(tableOf(4'000, 1));
    TableTransfer transfer;
    for (int poll = 0; poll < 20; ++poll) {
        PollReply reply = member.answer(pollOf(transfer));
        reply.packedTable[7] = static_cast<char>(reply.packedTable[7] ^ 1);
        EXPECT_FALSE(transfer.onReply(reply, kPosition));
    }
    PollReply huge;
    huge.transferDigest = 5;
    huge.transferSize = control::kMaxUnpackedBytes + 1;
    huge.packedTable = "x";
    TableTransfer another;
    EXPECT_FALSE(another.onReply(huge, kPosition));
    EXPECT_EQ(pollOf(another).transferDigest, 0u);
}

TEST(TableTransfers, KeepsABoundedNumber) {
    Member member;
    for (std::uint64_t seed = 1; seed <= 3 * TableTransfers::kMaxTransfers; ++seed) {
        member.packed = control::packTable(tableOf(1'500, seed));
        TableTransfer transfer;
        EXPECT_FALSE(transfer.onReply(member.answer(pollOf(transfer)), kPosition));
        EXPECT_LE(member.transfers.size(), TableTransfers::kMaxTransfers);
    }
}

}  // namespace
}  // namespace beechpoint::gateway
