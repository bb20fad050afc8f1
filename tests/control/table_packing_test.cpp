// Packed table updates.
#include "control_messages/table_packing.hpp"

#include <gtest/gtest.h>

#include "control_messages/codec.hpp"
#include "rpc/codec.hpp"

namespace beechpoint::control {
namespace {

TableUpdate manyRoutes(int count) {
    TableUpdate update{{3, 9}, true, {}};
    for (int i = 0; i < count; ++i)
        update.changes.push_back(
            {fmt::format("route/r{}", i),
             fmt::format(R"({} {{"name":"r{}","hostname":"h.example","path_prefix":"/p{}/"}})", i, i, i)});
    update.changes.push_back({"route/gone", std::nullopt});
    return update;
}

TEST(TablePacking, UnpacksToTheSameUpdate) {
    for (const int count : {0, 1, 2000}) {
        const TableUpdate update = manyRoutes(count);
        const auto unpacked = unpackTable(packTable(update));
        ASSERT_TRUE(unpacked);
        EXPECT_EQ(unpacked.value().position, update.position);
        EXPECT_TRUE(unpacked.value().whole);
        EXPECT_EQ(unpacked.value().changes, update.changes);
    }
}

TEST(TablePacking, CompressesManyRoutesToAQuarter) {
    const TableUpdate update = manyRoutes(2000);
    EXPECT_LT(packTable(update).size() * 4, rpc::pack(update).size());
}

TEST(TablePacking, ReturnsErrorWhenBytesAreNoUpdate) {
    const std::string packed = packTable(manyRoutes(100));
    EXPECT_FALSE(unpackTable(""));
    EXPECT_FALSE(unpackTable("\x07rest"));
    for (std::size_t size = 0; size < packed.size(); ++size)
        EXPECT_FALSE(unpackTable(packed.substr(0, size)));
}

TEST(TablePacking, IsPackedAndUnpackedWithAPollReply) {
    PollReply reply;
    reply.table = manyRoutes(50);
    const auto unpacked = decodePollReply(encode(reply));
    ASSERT_TRUE(unpacked);
    ASSERT_TRUE(unpacked.value().table);
    EXPECT_EQ(unpacked.value().table->changes, reply.table->changes);
    EXPECT_TRUE(unpacked.value().packedTable.empty());
}

}  // namespace
}  // namespace beechpoint::control
