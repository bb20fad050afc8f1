#include "snmp/ber.hpp"

namespace beechpoint::snmp {

std::optional<Element> takeElement(std::string_view& bytes) {
    if (bytes.size() < 2) return std::nullopt;
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
    Element e;
    e.tag = byte(0);
    std::size_t at = 2, length = byte(1);
    if (length & 0x80) {
        const std::size_t more = length & 0x7f;
        // Indefinite lengths are not allowed here, and nothing is longer than a datagram.
        if (more == 0 || more > 4 || bytes.size() < 2 + more) return std::nullopt;
        length = 0;
        for (std::size_t i = 0; i < more; ++i) length = length << 8 | byte(at++);
    }
    if (length > bytes.size() - at) return std::nullopt;
    e.content = bytes.substr(at, length);
    bytes.remove_prefix(at + length);
    return e;
}

std::optional<std::string_view> take(std::string_view& bytes, std::uint8_t tag) {
    const auto e = takeElement(bytes);
    if (!e || e->tag != tag) return std::nullopt;
    return e->content;
}

std::optional<std::int64_t> readInteger(std::string_view content) {
    if (content.empty() || content.size() > 8) return std::nullopt;
    std::uint64_t value = content.front() & 0x80 ? ~std::uint64_t{0} : 0;
    for (const char c : content) value = value << 8 | static_cast<unsigned char>(c);
    return static_cast<std::int64_t>(value);
}

std::optional<Oid> readOid(std::string_view content) {
    Oid oid;
    std::uint64_t part = 0;
    bool open = false;
    for (const char c : content) {
        part = part << 7 | (static_cast<unsigned char>(c) & 0x7f);
        if (part > 0xffffffffu || oid.size() > 128) return std::nullopt;
        open = (c & 0x80) != 0;
        if (open) continue;
        if (oid.empty()) {
            const auto first = static_cast<std::uint32_t>(part < 80 ? part / 40 : 2);
            oid = {first, static_cast<std::uint32_t>(part) - first * 40};
        } else {
            oid.push_back(static_cast<std::uint32_t>(part));
        }
        part = 0;
    }
    if (open || oid.empty()) return std::nullopt;
    return oid;
}

std::string element(std::uint8_t tag, std::string_view content) {
    std::string out(1, static_cast<char>(tag));
    if (content.size() < 0x80) {
        out += static_cast<char>(content.size());
    } else {
        std::string length;
        for (std::size_t n = content.size(); n > 0; n >>= 8)
            length.insert(length.begin(), static_cast<char>(n & 0xff));
        out += static_cast<char>(0x80 | length.size());
        out += length;
    }
    return out.append(content);
}

std::string integer(std::int64_t value) {
    std::string bytes;
    do {
        bytes.insert(bytes.begin(), static_cast<char>(value & 0xff));
        value >>= 8;
    } while (value != 0 && value != -1);
    const bool negative = value < 0;
    if (((bytes.front() & 0x80) != 0) != negative) bytes.insert(bytes.begin(), negative ? '\xff' : '\0');
    return element(kInteger, bytes);
}

std::string unsignedValue(std::uint8_t tag, std::uint64_t value) {
    std::string bytes;
    do {
        bytes.insert(bytes.begin(), static_cast<char>(value & 0xff));
        value >>= 8;
    } while (value != 0);
    if (bytes.front() & 0x80) bytes.insert(bytes.begin(), '\0');
    return element(tag, bytes);
}

std::string oid(const Oid& value) {
    std::string bytes;
    for (std::size_t i = 1; i < value.size(); ++i) {
        std::uint32_t part = i == 1 ? value[0] * 40 + value[1] : value[i];
        std::string piece(1, static_cast<char>(part & 0x7f));
        while (part >>= 7) piece.insert(piece.begin(), static_cast<char>(0x80 | (part & 0x7f)));
        bytes += piece;
    }
    return element(kOid, bytes);
}

}  // namespace beechpoint::snmp
