/// Fields of the store's records as bytes: integers in the machine's byte order, texts with their length (4 bytes) before them.
/// On disk; the order of calls is the form of the record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "core/replicated_table.hpp"

namespace beechpoint::storage {

class ByteWriter {
public:
    template <class Integer>
    void number(Integer value) {
        static_assert(std::is_integral_v<Integer>);
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    }
    void text(std::string_view text);
    void position(const Position& position);
    /// The bytes written; leaves the writer empty.
    [[nodiscard]] std::string release() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads what ByteWriter wrote. After the first field that is not complete all fields are empty, and good() and done() are false.
class ByteReader {
public:
    /// `bytes` must stay valid: texts are views into it.
    explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

    template <class Integer>
    [[nodiscard]] Integer number() {
        Integer value = 0;
        const std::string_view bytes = read(sizeof value);
        if (!bytes.empty()) std::memcpy(&value, bytes.data(), sizeof value);
        return value;
    }
    [[nodiscard]] std::string_view text() { return read(number<std::uint32_t>()); }
    [[nodiscard]] Position position();
    [[nodiscard]] std::string_view rest() const { return rest_; }
    [[nodiscard]] bool good() const { return good_; }
    /// All fields were complete, and no byte is left.
    [[nodiscard]] bool done() const { return good_ && rest_.empty(); }

private:
    std::string_view read(std::size_t size);

    std::string_view rest_;
    bool good_ = true;
};

}  // namespace beechpoint::storage
