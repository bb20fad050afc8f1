#include "rpc/frame.hpp"

#include <algorithm>

#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kSmallBuffer = 4096;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kKindOffset = 8, kVersionOffset = 9;

void putNumber(std::uint32_t number, std::string& out) {
    for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(number >> shift & 0xFF));
}

std::uint32_t numberAt(std::string_view bytes, std::size_t offset) {
    std::uint32_t number = 0;
    for (int index = 3; index >= 0; --index)
        number = number << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(index)]);
    return number;
}

bool isHead(std::string_view head) {
    const auto kind = static_cast<std::uint8_t>(head[kKindOffset]);
    return numberAt(head, 0) <= kMaxMessageBytes && kind >= static_cast<std::uint8_t>(FrameKind::request) &&
           kind <= static_cast<std::uint8_t>(FrameKind::refusal) &&
           static_cast<std::uint8_t>(head[kVersionOffset]) == kVersion && head[10] == 0 && head[11] == 0;
}

}  // namespace

void appendFrame(FrameKind kind, std::uint32_t number, std::string_view body, std::string& out) {
    out.reserve(out.size() + kFrameHead + body.size());
    putNumber(static_cast<std::uint32_t>(body.size()), out);
    putNumber(number, out);
    out.push_back(static_cast<char>(kind));
    out.push_back(static_cast<char>(kVersion));
    out.append(2, '\0');
    out.append(body);
}

std::span<char> FrameReader::room() {
    if (filled_ == 0 && buffer_.size() != kSmallBuffer) {
        buffer_ = std::string(kSmallBuffer, '\0');  // gives the room of a large frame back
    } else if (filled_ == buffer_.size()) {
        buffer_.resize(2 * buffer_.size());
    }
    return {buffer_.data() + filled_, buffer_.size() - filled_};
}

std::optional<std::vector<Frame>> FrameReader::received(std::size_t size) {
    filled_ += std::min(size, buffer_.size() - filled_);
    std::vector<Frame> frames;
    std::string_view rest(buffer_.data(), filled_);
    while (rest.size() >= kFrameHead) {
        if (!isHead(rest)) return std::nullopt;
        const std::size_t length = numberAt(rest, 0);
        if (rest.size() - kFrameHead < length) break;
        frames.push_back({static_cast<FrameKind>(rest[kKindOffset]), numberAt(rest, 4),
                          std::string(rest.substr(kFrameHead, length))});
        rest.remove_prefix(kFrameHead + length);
    }
    if (!frames.empty()) std::copy(rest.begin(), rest.end(), buffer_.begin());
    filled_ = rest.size();
    return frames;
}

}  // namespace beechpoint::rpc
