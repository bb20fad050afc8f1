#include "storage/record_bytes.hpp"

namespace beechpoint::storage {

void ByteWriter::text(std::string_view text) {
    number(static_cast<std::uint32_t>(text.size()));
    bytes_.append(text);
}

void ByteWriter::position(const Position& position) {
    number(position.epoch);
    number(position.sequence);
}

Position ByteReader::position() {
    Position position;
    position.epoch = number<std::uint64_t>();
    position.sequence = number<std::uint64_t>();
    return position;
}

std::string_view ByteReader::read(std::size_t size) {
    if (size > rest_.size()) good_ = false;
    if (!good_) return {};
    const std::string_view bytes = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return bytes;
}

}  // namespace beechpoint::storage
