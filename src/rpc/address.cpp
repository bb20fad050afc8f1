#include "rpc/address.hpp"

#include <asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdint>

namespace beechpoint::rpc {

Result<std::string> urlOf(const std::string& address) {
    const Error invalid{ErrorKind::invalid, address, "not an address of the form ip:port",
                        "give an IPv4 address and a port"};
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return invalid;
    asio::error_code failure;
    asio::ip::make_address_v4(address.substr(0, colon), failure);
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || error != std::errc() || last != end) return invalid;
    return "tcp://" + address;
}

}  // namespace beechpoint::rpc
