/// What is sent on a connection between own processes: frames with a header of 12 bytes, integers little-endian.
///
///   bytes 0-3   length of the body, at most kMaxMessageBytes
///   bytes 4-7   number of the call, chosen by the caller; its answer has the same
///   byte  8     kind
///   byte  9     version of this form
///   bytes 10-11 zero
///
/// Free of I/O. One thread uses a reader at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::rpc {

inline constexpr std::size_t kFrameHeaderBytes = 12;

enum class FrameKind : std::uint8_t {
    request = 1,
    answer = 2,
    refusal = 3,  ///< the request was not handled: the server is at its limit; no body
};

struct Frame {
    FrameKind kind = FrameKind::request;
    std::uint32_t number = 0;
    std::string body;
    bool operator==(const Frame&) const = default;
};

/// Appends one frame to `out`. `body` must not be above kMaxMessageBytes.
void appendFrame(FrameKind kind, std::uint32_t number, std::string_view body, std::string& out);

/// Parses a stream of bytes into frames. Its buffer grows with what has arrived, not with what a header announces, so that a peer
/// cannot reserve memory by a header alone.
class FrameReader {
public:
    /// Where the next bytes are to be written; never empty. Valid until received().
    [[nodiscard]] std::span<char> freeSpace();
    /// `size` bytes were written there. The frames that are complete now; nothing when the bytes are no frames: the stream is
    /// of no use then.
    [[nodiscard]] std::optional<std::vector<Frame>> received(std::size_t size);

private:
    std::string buffer_;
    std::size_t filled_ = 0;
};

}  // namespace beechpoint::rpc
