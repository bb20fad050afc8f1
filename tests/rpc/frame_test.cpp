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

// Feeds `bytes` in pieces of at most `most`; nothing when the reader refuses them.
template <class Piece>
std::optional<std::vector<Frame>> readAll(const std::string& bytes, Piece piece) {
    FrameReader reader;
    std::vector<Frame> all;
    for (std::size_t offset = 0; offset < bytes.size();) {
        const std::span<char> room = reader.room();
        const std::size_t size = std::min({room.size(), bytes.size() - offset, piece()});
        std::copy_n(bytes.data() + offset, size, room.data());
        offset += size;
        auto frames = reader.received(size);
        if (!frames) return std::nullopt;
        std::move(frames->begin(), frames->end(), std::back_inserter(all));
    }
    return all;
}

TEST(Frame, ComesBackHoweverItsBytesAreCut) {
    std::mt19937 random(5);
    const std::string bytes = bytesOf(someFrames());
    EXPECT_EQ(readAll(bytes, [] { return std::size_t{1}; }), someFrames());
    EXPECT_EQ(readAll(bytes, [] { return std::size_t{1} << 20; }), someFrames());
    for (int trial = 0; trial < 100; ++trial)
        EXPECT_EQ(readAll(bytes, [&] { return std::size_t{1} + random() % 5000; }), someFrames());
}

TEST(Frame, AHeadThatBreaksTheFormIsRefusedBeforeItsBodyComes) {
    const std::string sound = bytesOf({{FrameKind::request, 1, ""}});
    for (const std::size_t offset : {8, 9, 10, 11}) {
        std::string broken = sound;
        broken[offset] = 9;
        EXPECT_FALSE(readAll(broken, [] { return kFrameHead; })) << offset;
    }
    std::string tooLong = sound;
    tooLong.replace(0, 4, std::string("\1\0\0\1", 4));  // 16 MB and one byte
    EXPECT_FALSE(readAll(tooLong, [] { return kFrameHead; }));
    tooLong.replace(0, 4, std::string("\0\0\0\1", 4));
    EXPECT_EQ(readAll(tooLong, [] { return kFrameHead; }), std::vector<Frame>{});
}

TEST(Frame, ItsReaderTakesRoomForWhatCameNotForWhatIsAnnounced) {
    std::string head;
    appendFrame(FrameKind::request, 1, "", head);
    head.replace(0, 4, std::string("\0\0\0\1", 4));
    FrameReader reader;
    std::copy(head.begin(), head.end(), reader.room().data());
    ASSERT_TRUE(reader.received(head.size()));
    EXPECT_LT(reader.room().size(), 64u << 10);
}

}  // namespace
}  // namespace beechpoint::rpc
