#include "net/utf8.hpp"

#include <cstddef>

namespace beechpoint::net {

bool isUtf8(std::string_view bytes) {
    const auto byte = [&](std::size_t i) {
        return i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
    };
    for (std::size_t i = 0; i < bytes.size();) {
        const unsigned lead = byte(i);
        const std::size_t more = lead < 0x80       ? 0
                                 : lead >> 5 == 6  ? 1
                                 : lead >> 4 == 14 ? 2
                                 : lead >> 3 == 30 ? 3
                                                   : 4;
        if (more == 4) return false;
        unsigned code = more == 0 ? lead : lead & (0x3fU >> more);
        for (std::size_t k = 1; k <= more; ++k) {
            if (byte(i + k) >> 6 != 2) return false;
            code = code << 6 | (byte(i + k) & 0x3f);
        }
        constexpr unsigned kLeast[] = {0, 0x80, 0x800, 0x10000};  // shorter forms exist below these
        if (code < kLeast[more] || code > 0x10ffff || (code >= 0xd800 && code < 0xe000)) return false;
        i += more + 1;
    }
    return true;
}

}  // namespace beechpoint::net
