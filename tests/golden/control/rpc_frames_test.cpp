// Frames of calls between own processes, and the values of the replicated table within messages.
#include <gtest/gtest.h>

#include <algorithm>

#include "equality.hpp"
#include "golden_file.hpp"
#include "replica_samples.hpp"
#include "rpc/codec.hpp"
#include "rpc/frame.hpp"

namespace beechpoint::golden {
namespace {

using rpc::Frame;
using rpc::FrameKind;

std::vector<Frame> framesOf(const std::string& bytes) {
    rpc::FrameReader reader;
    const std::span<char> space = reader.freeSpace();
    if (bytes.size() > space.size()) return {};
    std::copy(bytes.begin(), bytes.end(), space.begin());
    return reader.received(bytes.size()).value_or(std::vector<Frame>());
}

void checkFrames(const std::string& name, const std::vector<Frame>& frames) {
    GoldenFile golden("rpc");
    std::string written;
    for (const Frame& frame : frames) rpc::appendFrame(frame.kind, frame.number, frame.body, written);
    EXPECT_EQ(framesOf(golden.check(name, written)), frames) << name;
}

// Written alike, read as `value`, and what was read is written alike.
template <class T>
void checkValue(const std::string& name, const T& value) {
    GoldenFile golden("rpc");
    const std::string bytes = golden.check(name, rpc::pack(value));
    const auto read = rpc::unpack<T>(bytes);
    ASSERT_TRUE(read) << name << ": " << read.error().text();
    EXPECT_TRUE(read.value() == value) << name;
    EXPECT_EQ(rpc::pack(read.value()), bytes) << name;
}

TEST(RpcFramesTest, FramesOfEachKind) {
    checkFrames("frame/request", {{FrameKind::request, 0x01020304u, "request"}});
    checkFrames("frame/answer", {{FrameKind::answer, 0xFFFFFFFFu, std::string(300, 'a')}});
    checkFrames("frame/refusal", {{FrameKind::refusal, 7, ""}});
}

TEST(RpcFramesTest, FramesInARow) {
    checkFrames("frame/several", {{FrameKind::request, 1, "one"}, {FrameKind::answer, 2, ""}});
}

TEST(RpcFramesTest, ValuesOfTheTable) {
    checkValue("position/full", Position{0x0102030405060708u, 300});
    checkValue("position/empty", Position{});
    checkValue("change/value", Change{"key", "value"});
    checkValue("change/removal", Change{"key", std::nullopt});
    checkValue("batch/full", sampleBatch());
    checkValue("batch/empty", Batch{});
    checkValue("table_update/whole", TableUpdate{{6, 301}, true, sampleBatch().changes});
    checkValue("table_update/empty", TableUpdate{});
}

}  // namespace
}  // namespace beechpoint::golden
