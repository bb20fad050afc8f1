#include "addresses.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <stdexcept>

namespace beechpoint::system_test {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::uint16_t kReservationPort = 21460;
constexpr std::size_t kReservationHost = 254;
constexpr unsigned kFirstNetwork = 127u * 65536u + 64u * 256u;  // 127.64.0.0; others begin at 127.0.0.0
constexpr unsigned kNetworks = 128 * 256;
constexpr unsigned kAttempts = 64;

std::string ipIn(unsigned network, std::size_t last) {
    return fmt::format("{}.{}.{}.{}", network >> 16, network >> 8 & 255u, network & 255u, last);
}

}  // namespace

Addresses::Addresses() : reservation_(io_) {
    for (unsigned attempt = 0; attempt < kAttempts; ++attempt) {
        network_ = kFirstNetwork + (static_cast<unsigned>(::getpid()) + attempt * 509u) % kNetworks;
        asio::error_code error;
        reservation_.open(Tcp::v4(), error);
        reservation_.bind(endpointOf(ipIn(network_, kReservationHost), kReservationPort), error);
        if (!error) reservation_.listen(1, error);
        if (!error) return;
        reservation_.close(error);
    }
    throw std::runtime_error("no loopback network is free");
}

std::string Addresses::ip(std::size_t last) const { return ipIn(network_, last); }

std::string addressText(const std::string& ip, std::uint16_t port) { return fmt::format("{}:{}", ip, port); }

Tcp::endpoint endpointOf(const std::string& ip, std::uint16_t port) {
    return {asio::ip::make_address(ip), port};
}

Tcp::endpoint endpointOf(const std::string& address) {
    const auto colon = address.rfind(':');
    return endpointOf(address.substr(0, colon),
                      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
}

}  // namespace beechpoint::system_test
