// Loopback addresses that belong to one test process: a network of its own, so that every "machine" has an address and all
// machines use the same ports.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace beechpoint::system_test {

// Below the ports that the kernel gives out by itself.
struct Ports {
    static constexpr std::uint16_t kInternal = 21461;
    static constexpr std::uint16_t kControl = 21462;
    static constexpr std::uint16_t kDirectory = 21463;
    static constexpr std::uint16_t kReadiness = 21464;
    static constexpr std::uint16_t kFront = 21465;
    static constexpr std::uint16_t kPlatform = 21466;
    static constexpr std::uint16_t kHost = 21467;
};

class Addresses {
public:
    // Reserves a network that no other test holds until this one ends; throws where there is none.
    Addresses();

    std::string member(std::size_t member) const { return ip(1 + member); }     // where it listens
    std::string relayed(std::size_t member) const { return ip(101 + member); }  // where it is reached
    std::string gateway(std::size_t gateway) const { return ip(51 + gateway); }
    std::string platform() const { return ip(200); }
    std::string host(std::size_t host = 0) const { return ip(201 + host); }

private:
    std::string ip(std::size_t last) const;

    asio::io_context io_;
    asio::ip::tcp::acceptor reservation_;
    unsigned network_ = 0;
};

std::string addressText(const std::string& ip, std::uint16_t port);
asio::ip::tcp::endpoint endpointOf(const std::string& ip, std::uint16_t port);
asio::ip::tcp::endpoint endpointOf(const std::string& address);  // IP:PORT

}  // namespace beechpoint::system_test
