#include "tenants/api_key_digest.hpp"

#include <sodium.h>

namespace beechpoint::tenants {

ApiKeyDigest ApiKeyDigest::of(std::string_view key) {
    ApiKeyDigest digest;
    crypto_generichash(digest.bytes_.data(), digest.bytes_.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    return digest;
}

bool ApiKeyDigest::operator==(const ApiKeyDigest& other) const {
    return sodium_memcmp(bytes_.data(), other.bytes_.data(), bytes_.size()) == 0;
}

}  // namespace beechpoint::tenants
