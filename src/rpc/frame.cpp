#include "rpc/frame.hpp"

#include <algorithm>

#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kInitialBufferBytes = 4096;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kLengthOffset = 0, kNumberOffset = 4, kKindOffset = 8, kVersionOffset = 9;

void appendNumber(std::uint32_t number, std::string& out) {
    for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(number >> shift & 0xFF));
}

std::uint32_t numberAt(std::string_view bytes, std::size_t offset) {
    std::uint32_t number = 0;
    for (int index = 3; index >= 0; --index)
        number = number << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(index)]);
    return number;
}

bool isHeader(std::string_view header) {
    if (numberAt(header, kLengthOffset) > kMaxMessageBytes) return false;
    const auto kind = static_cast<std::uint8_t>(header[kKindOffset]);
    if (kind < static_cast<std::uint8_t>(FrameKind::request)) return false;
    if (kind > static_cast<std::uint8_t>(FrameKind::refusal)) return false;
    if (static_cast<std::uint8_t>(header[kVersionOffset]) != kVersion) return false;
    return header[kVersionOffset + 1] == 0 && header[kVersionOffset + 2] == 0;
}

}  // namespace

void appendFrame(FrameKind kind, std::uint32_t number, std::string_view body, std::string& out) {
    out.reserve(out.size() + kFrameHeaderBytes + body.size());
    appendNumber(static_cast<std::uint32_t>(body.size()), out);
    appendNumber(number, out);
    out.push_back(static_cast<char>(kind));
    out.push_back(static_cast<char>(kVersion));
    out.append(2, '\0');
    out.append(body);
}

std::span<char> FrameReader::freeSpace() {
    if (filled_ == 0 && buffer_.size() != kInitialBufferBytes) {
        buffer_ = std::string(kInitialBufferBytes, '\0');  // frees the memory of a large frame
    } else if (filled_ == buffer_.size()) {
        buffer_.resize(2 * buffer_.size());
    }
    return {buffer_.data() + filled_, buffer_.size() - filled_};
}

std::optional<std::vector<Frame>> FrameReader::received(std::size_t size) {
    filled_ += std::min(size, buffer_.size() - filled_);
    std::vector<Frame> frames;
    std::string_view rest(buffer_.data(), filled_);
    while (rest.size() >= kFrameHeaderBytes) {
        if (!isHeader(rest)) return std::nullopt;
        const std::size_t length = numberAt(rest, kLengthOffset);
        if (rest.size() - kFrameHeaderBytes < length) break;
        frames.push_back({static_cast<FrameKind>(rest[kKindOffset]), numberAt(rest, kNumberOffset),
                          std::string(rest.substr(kFrameHeaderBytes, length))});
        rest.remove_prefix(kFrameHeaderBytes + length);
    }
    if (!frames.empty()) std::copy(rest.begin(), rest.end(), buffer_.begin());
    filled_ = rest.size();
    return frames;
}

}  // namespace beechpoint::rpc
