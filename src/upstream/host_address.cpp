#include "upstream/host_address.hpp"

#include <fmt/format.h>

#include <asio/ip/address.hpp>

#include "net/framing.hpp"

namespace beechpoint::upstream {

namespace {

constexpr std::uint64_t kMaxPort = 65535;

}  // namespace

Result<HostAddress> HostAddress::parse(std::string_view text) {
    const auto wrong = [&] {
        return Error{ErrorKind::invalid, std::string(text), "is no numeric ADDRESS:PORT",
                     "write it as 10.0.0.1:8080"};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return wrong();
    std::string_view ip = text.substr(0, colon);
    const auto port = net::decimalNumber(text.substr(colon + 1));
    const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed) ip = ip.substr(1, ip.size() - 2);
    asio::error_code error;
    const auto address = asio::ip::make_address(std::string(ip), error);
    if (error || bracketed != address.is_v6() || !port || *port == 0 || *port > kMaxPort) return wrong();
    return HostAddress{address.to_string(), static_cast<std::uint16_t>(*port)};
}

std::string HostAddress::text() const {
    const bool isV6 = ip.find(':') != std::string::npos;
    return fmt::format("{}{}{}:{}", isV6 ? "[" : "", ip, isV6 ? "]" : "", port);
}

}  // namespace beechpoint::upstream
