// What clients that do not behave send: requests of legal size that stop just short of their end, bodies over the limit, and framing that
// takes more room than what it frames. Pure functions; sizes are in bytes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "crowd.hpp"

namespace beechpoint::system_test {

inline constexpr std::size_t kLargeChunk = 64 * 1024;
inline constexpr std::size_t kSmallChunk = 1;

// Request lines with header lines, without those of the framing and without the blank line.
std::string frontHead(const std::string& path);  // POST through a gateway
std::string putHead();                           // PUT of a configuration
std::string plainHead(const std::string& path);  // POST to any other listener

std::vector<CrowdScript> copies(std::size_t clients, const CrowdScript& script);
void append(std::vector<CrowdScript>& scripts, const std::vector<CrowdScript>& more);

// A body of `size` bytes, announced and sent.
CrowdScript wholeBody(const std::string& head, std::size_t size);
// The same, but for its last byte.
CrowdScript shortOfEnd(const std::string& head, std::size_t size);
// The same in chunks of `chunk` bytes, all but the last chunk and the end.
CrowdScript chunkedShortOfEnd(const std::string& head, std::size_t size, std::size_t chunk);
// A head of 15,000 bytes without its end.
CrowdScript unfinishedHead();
// A whole request with header lines of four bytes, 15,000 bytes of them.
CrowdScript manyShortLines(const std::string& head);
// A chunked body of `size` bytes, of which nearly all are extensions in the chunks' size lines.
CrowdScript longChunkLines(const std::string& head, std::size_t size);
// A chunked body whose trailer section has `size` bytes and no end.
CrowdScript longTrailers(const std::string& head, std::size_t size);
// A request, and behind it, before it is answered, another with a body of `size` bytes that stops short.
CrowdScript sentAhead(const std::string& head, const std::string& nextHead, std::size_t size);
// A JSON list of as many numbers of one digit as fit into `size` bytes.
CrowdScript manySmallValues(const std::string& head, std::size_t size);

}  // namespace beechpoint::system_test
