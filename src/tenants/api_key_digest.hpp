/// Digests of API keys (BLAKE2b, 256 bits). Keys are looked up by digest; the keys themselves are not kept. Immutable values, safe to use
/// from any thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace beechpoint::tenants {

class ApiKeyDigest {
public:
    static constexpr std::size_t kBytes = 32;

    [[nodiscard]] static ApiKeyDigest of(std::string_view key);

    /// Compares in constant time.
    [[nodiscard]] bool operator==(const ApiKeyDigest& other) const;

    /// Hash value for hash tables: the digest's first bytes.
    [[nodiscard]] std::size_t hash() const {
        std::size_t value = 0;
        std::memcpy(&value, bytes_.data(), sizeof value);
        return value;
    }

private:
    std::array<std::uint8_t, kBytes> bytes_{};
};

}  // namespace beechpoint::tenants
