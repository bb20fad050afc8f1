#include "crowd_scripts.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::system_test {
namespace {

constexpr std::size_t kUnfinishedHead = 15'000;
constexpr std::size_t kLineLength = 200;  // of a chunk's size line: below the 256 that the gateway takes

std::string withLength(const std::string& head, std::size_t length) {
    return fmt::format("{}Content-Length: {}\r\n\r\n", head, length);
}

std::string chunked(const std::string& head) { return head + "Transfer-Encoding: chunked\r\n\r\n"; }

std::string chunkOf(std::size_t size) { return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'b')); }

// Bytes of a body, in pieces that are sent again and again.
CrowdScript bytesBehind(const std::string& begin, std::size_t size) {
    CrowdScript script;
    script.begin = begin;
    script.repeated = std::string(kLargeChunk, 'b');
    script.times = size / kLargeChunk;
    script.end = std::string(size % kLargeChunk, 'b');
    return script;
}

}  // namespace

std::string frontHead(const std::string& path) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: system.example\r\nX-Attempt-Id: crowd\r\n", path);
}

std::string putHead() { return "PUT /configuration HTTP/1.1\r\nHost: control.example\r\nIf-Match: 1\r\n"; }

std::string plainHead(const std::string& path) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: other.example\r\n", path);
}

std::vector<CrowdScript> copies(std::size_t clients, const CrowdScript& script) {
    return std::vector<CrowdScript>(clients, script);
}

void append(std::vector<CrowdScript>& scripts, const std::vector<CrowdScript>& more) {
    scripts.insert(scripts.end(), more.begin(), more.end());
}

CrowdScript wholeBody(const std::string& head, std::size_t size) {
    return bytesBehind(withLength(head, size), size);
}

CrowdScript shortOfEnd(const std::string& head, std::size_t size) {
    return bytesBehind(withLength(head, size), size - 1);
}

CrowdScript chunkedShortOfEnd(const std::string& head, std::size_t size, std::size_t chunk) {
    CrowdScript script;
    script.begin = chunked(head);
    const std::size_t bodyAtOnce = std::min(kLargeChunk, size / 4);
    for (std::size_t i = 0; i < bodyAtOnce / chunk; ++i) script.repeated += chunkOf(chunk);
    script.times = size / bodyAtOnce - 1;
    return script;
}

CrowdScript unfinishedHead() {
    const std::string begin = plainHead("/steady/x") + "X-Long: ";
    return {begin, {}, 0, std::string(kUnfinishedHead - begin.size(), 'h')};
}

CrowdScript manyShortLines(const std::string& head) {
    CrowdScript script;
    script.begin = head + "Content-Length: 0\r\n";
    script.repeated = "a:\r\n";
    script.times = kUnfinishedHead / script.repeated.size();
    script.end = "\r\n";
    return script;
}

CrowdScript longChunkLines(const std::string& head, std::size_t size) {
    CrowdScript script;
    script.begin = chunked(head);
    script.repeated = fmt::format("1;{}\r\nb\r\n", std::string(kLineLength, 'e'));
    script.times = size / script.repeated.size();
    return script;
}

CrowdScript longTrailers(const std::string& head, std::size_t size) {
    CrowdScript script;
    script.begin = chunked(head) + "0\r\n";
    script.repeated = fmt::format("X-Trailer: {}\r\n", std::string(kLineLength, 't'));
    script.times = size / script.repeated.size();
    return script;
}

CrowdScript sentAhead(const std::string& head, const std::string& nextHead, std::size_t size) {
    return bytesBehind(withLength(head, 0) + withLength(nextHead, size), size - 1);
}

CrowdScript manySmallValues(const std::string& head, std::size_t size) {
    constexpr std::size_t kValuesAtOnce = 1024;
    CrowdScript script;
    script.begin = withLength(head, size) + "[0";
    for (std::size_t i = 0; i < kValuesAtOnce; ++i) script.repeated += ",0";
    script.times = (size - std::string("[0]").size()) / script.repeated.size();
    const std::size_t left = size - std::string("[0]").size() - script.times * script.repeated.size();
    script.end = std::string(left, ' ') + "]";
    return script;
}

}  // namespace beechpoint::system_test
