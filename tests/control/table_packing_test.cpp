// Table updates on the wire.
#include "control/table_packing.hpp"

#include <gtest/gtest.h>

#include "control/codec.hpp"
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

TEST(TablePacking, ReturnsWhatWasPacked) {
    for (const int count : {0, 1, 2000}) {
        const TableUpdate update = manyRoutes(count);
        const auto back = unpackTable(packTable(update));
        ASSERT_TRUE(back);
        EXPECT_EQ(back.value().position, update.position);
        EXPECT_TRUE(back.value().whole);
        EXPECT_EQ(back.value().changes, update.changes);
    }
}

TEST(TablePacking, ShrinksManyRoutes) {
    const TableUpdate update = manyRoutes(2000);
    EXPECT_LT(packTable(update).size() * 4, rpc::pack(update).size());
}

TEST(TablePacking, RefusesWhatIsNoUpdate) {
    const std::string packed = packTable(manyRoutes(100));
    EXPECT_FALSE(unpackTable(""));
    EXPECT_FALSE(unpackTable("\x07rest"));
    for (std::size_t size = 0; size < packed.size(); ++size)
        EXPECT_FALSE(unpackTable(packed.substr(0, size)));
}

TEST(TablePacking, TravelsInAPollReply) {
    PollReply reply;
    reply.table = manyRoutes(50);
    const auto back = decodePollReply(encode(reply));
    ASSERT_TRUE(back);
    ASSERT_TRUE(back.value().table);
    EXPECT_EQ(back.value().table->changes, reply.table->changes);
    EXPECT_TRUE(back.value().packedTable.empty());
}

}  // namespace
}  // namespace beechpoint::control
