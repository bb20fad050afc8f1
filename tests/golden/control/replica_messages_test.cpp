// Messages between replicas: the bytes of before are read, and written again.
#include <gtest/gtest.h>

#include <set>

#include "control/replica_codec.hpp"
#include "control_messages/codec.hpp"
#include "equality.hpp"
#include "golden_file.hpp"
#include "replica_samples.hpp"

namespace beechpoint::golden {
namespace {

using Messages = std::vector<replica::Message>;

// Written alike, read as `messages`, and what was read is written alike.
void check(GoldenFile& golden, const std::string& name, const Messages& messages) {
    const std::string bytes = golden.check(name, control::encodeMessages(messages));
    const auto read = control::decodeMessages(bytes);
    ASSERT_TRUE(read) << name << ": " << read.error().text();
    EXPECT_TRUE(read.value() == messages) << name;
    EXPECT_EQ(control::encodeMessages(read.value()), bytes) << name;
}

TEST(ReplicaMessagesTest, EachKindIsReadAndWrittenAgain) {
    GoldenFile golden("replica_messages");
    for (const NamedBody& sample : sampleBodies())
        check(golden, sample.name, {{sampleMember(1), 5, sample.body}});
}

TEST(ReplicaMessagesTest, TheSamplesHaveEveryKind) {
    std::set<std::size_t> kinds;
    for (const NamedBody& sample : sampleBodies()) kinds.insert(sample.body.index());
    EXPECT_EQ(kinds.size(), std::variant_size_v<replica::Body>);
}

TEST(ReplicaMessagesTest, TheSenderIsCountedOrNot) {
    GoldenFile golden("replica_messages");
    check(golden, "sender/uncounted", {{sampleMember(2), 0, replica::Join{}}});
    check(golden, "sender/default", {replica::Message{}});
}

TEST(ReplicaMessagesTest, SeveralGoInOneRequestOrNone) {
    GoldenFile golden("replica_messages");
    check(golden, "several",
          {{sampleMember(1), 5, replica::Join{}}, {sampleMember(2), 6, replica::Commit{{6, 301}}}});
    check(golden, "none", {});
}

// As the driver puts it.
TEST(ReplicaMessagesTest, ARequestBearsItsEnvelopesKind) {
    GoldenFile golden("replica_messages");
    const Messages messages{{sampleMember(1), 5, replica::Join{}}};
    const std::string written =
        static_cast<char>(control::RequestKind::replica) + control::encodeMessages(messages);
    const std::string bytes = golden.check("request", written);
    const auto envelope = control::openEnvelope(bytes);
    ASSERT_TRUE(envelope) << envelope.error().text();
    EXPECT_EQ(envelope.value().kind, control::RequestKind::replica);
    const auto read = control::decodeMessages(envelope.value().body);
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_TRUE(read.value() == messages);
}

}  // namespace
}  // namespace beechpoint::golden
