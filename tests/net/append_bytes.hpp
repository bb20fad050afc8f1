/// Bytes as if they had been read from a socket, for tests of what reads a buffer.
#pragma once

#include <cstring>
#include <string>

#include "net/buffer.hpp"

namespace beechpoint::test {

inline void appendBytes(net::Buffer& buffer, const std::string& bytes) {
    std::memcpy(buffer.prepare(bytes.size()).data(), bytes.data(), bytes.size());
    buffer.commit(bytes.size());
}

}  // namespace beechpoint::test
