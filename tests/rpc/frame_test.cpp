#include "rpc/frame.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "rpc/server.hpp"

namespace beechpoint::rpc {
namespace {

std::vector<Frame> someFrames() {
    return {{FrameKind::request, 1, "a"},
            {FrameKind::answer, 0xFFFFFFFF, std::string(30'000, 'b')},
            {FrameKind::refusal, 3, ""},
            {FrameKind::answer, 4, std::string("\0\1", 2)}};
}

std::string bytesOf(const std::vector<Frame>& frames) {
    std::string bytes;
    for (const Frame& frame : frames) appendFrame(frame.kind, frame.number, frame.body, bytes);
    return bytes;
}

// Feeds `bytes` in chunks of at most nextChunk() bytes; nothing when the reader rejects them.
template <class NextChunk>
std::optional<std::vector<Frame>> readAll(const std::string& bytes, NextChunk nextChunk) {
    FrameReader reader;
    std::vector<Frame> all;
    for (std::size_t offset = 0; offset < bytes.size();) {
        const std::span<char> space = reader.freeSpace();
        const std::size_t size = std::min({space.size(), bytes.size() - offset, nextChunk()});
        std::copy_n(bytes.data() + offset, size, space.data());
        offset += size;
        auto frames = reader.received(size);
        if (!frames) return std::nullopt;
        std::move(frames->begin(), frames->end(), std::back_inserter(all));
    }
    return all;
}

TEST(Frame, IsReadFromChunksOfAnySize) {
    std::mt19937 random(5);
    const std::string bytes = bytesOf(someFrames());
    EXPECT_EQ(readAll(bytes, [] { return std::size_t{1}; }), someFrames());
    EXPECT_EQ(readAll(bytes, [] { return std::size_t{1} << 20; }), someFrames());
    for (int trial = 0; trial < 100; ++trial)
        EXPECT_EQ(readAll(bytes, [&] { return std::size_t{1} + random() % 5000; }), someFrames());
}

TEST(Frame, InvalidHeaderIsRejectedBeforeBody) {
    const std::string intact = bytesOf({{FrameKind::request, 1, ""}});
    for (const std::size_t offset : {8, 9, 10, 11}) {
        std::string broken = intact;
        broken[offset] = 9;
        EXPECT_FALSE(readAll(broken, [] { return kFrameHeaderBytes; })) << offset;
    }
    std::string tooLong = intact;
    tooLong.replace(0, 4, std::string("\1\0\0\1", 4));  // 16 MB and one byte
    EXPECT_FALSE(readAll(tooLong, [] { return kFrameHeaderBytes; }));
    tooLong.replace(0, 4, std::string("\0\0\0\1", 4));
    EXPECT_EQ(readAll(tooLong, [] { return kFrameHeaderBytes; }), std::vector<Frame>{});
}

TEST(Frame, ReaderAllocatesForReceivedNotAnnouncedBytes) {
    std::string head;
    appendFrame(FrameKind::request, 1, "", head);
    head.replace(0, 4, std::string("\0\0\0\1", 4));
    FrameReader reader;
    std::copy(head.begin(), head.end(), reader.freeSpace().data());
    ASSERT_TRUE(reader.received(head.size()));
    EXPECT_LT(reader.freeSpace().size(), 64u << 10);
}

}  // namespace
}  // namespace beechpoint::rpc
