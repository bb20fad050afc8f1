#include "rpc/codec.hpp"

#include <gtest/gtest.h>

namespace beechpoint::rpc {
namespace {

struct Message {
    std::uint64_t number = 0;
    std::string text;
    std::optional<Position> position;
    MSGPACK_DEFINE(number, text, position)
    bool operator==(const Message&) const = default;
};

Batch someBatch() { return {{3, 17}, {{"route/a", "{}"}, {"route/b", std::nullopt}}}; }

TEST(Codec, UnpacksStructsAsPacked) {
    const Message message{7, std::string("a\0b", 3), Position{1, 2}};
    EXPECT_EQ(unpack<Message>(pack(message)).value(), message);
    EXPECT_EQ(unpack<Message>(pack(Message{})).value(), Message{});
}

TEST(Codec, UnpacksTypesOfTableAsPacked) {
    EXPECT_EQ(unpack<Batch>(pack(someBatch())).value(), someBatch());
    const TableUpdate update{{4, 1}, true, someBatch().changes};
    const TableUpdate back = unpack<TableUpdate>(pack(update)).value();
    EXPECT_EQ(back.position, update.position);
    EXPECT_EQ(back.whole, update.whole);
    EXPECT_EQ(back.changes, update.changes);
    const Table table{{"k", "v"}, {"l", ""}};
    EXPECT_EQ(unpack<Table>(pack(table)).value(), table);
}

// Each shorter prefix, trailing bytes and another type are errors, and none of them throws.
TEST(Codec, RejectsBytesThatAreNotExactlyOneMessage) {
    const std::string bytes = pack(someBatch());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto truncated = unpack<Batch>(bytes.substr(0, size));
        ASSERT_FALSE(truncated) << size;
        EXPECT_EQ(truncated.error().kind, ErrorKind::invalid);
    }
    EXPECT_FALSE(unpack<Batch>(bytes + 'x'));
    EXPECT_FALSE(unpack<Batch>(pack(std::string("text"))));
    EXPECT_FALSE(unpack<Position>(pack(someBatch())));
}

// A header that announces 4 billion elements reserves nothing.
TEST(Codec, RejectsAnnouncedSizesBeyondBytes) {
    EXPECT_FALSE(unpack<std::vector<int>>(std::string("\xdd\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(unpack<std::string>(std::string("\xdb\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(unpack<int>(std::string(5000, '\x91')));  // nested deeper than allowed
}

}  // namespace
}  // namespace beechpoint::rpc
