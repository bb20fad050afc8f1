/// The numeric address of a host.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.hpp"

namespace beechpoint::upstream {

/// A numeric IP address and port. `text()` is its one spelling and its identity.
struct HostAddress {
    std::string ip;
    std::uint16_t port = 0;

    /// "10.0.0.1:8080" or "[::1]:8080". Error (invalid): anything else, port 0 included.
    [[nodiscard]] static Result<HostAddress> parse(std::string_view text);
    [[nodiscard]] std::string text() const;
    auto operator<=>(const HostAddress&) const = default;
};

}  // namespace beechpoint::upstream
