// A read-only SNMPv2c agent over the counters. Its objects are described in mibs/BEECHPOINT-MIB.txt.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/counters.hpp"
#include "snmp/ber.hpp"

namespace beechpoint::snmp {

// The experimental arc holds for no enterprise: an operator who registers one changes it here and in the MIB.
inline const Oid kRoot = {1, 3, 6, 1, 3, 9417};

// Every object by its instance: a scalar's name and a closing 0. The values are written when asked for.
using Objects = std::map<Oid, std::function<std::string()>>;

Objects objectsOf(const Counters& counters, const std::string& name, const Clock& clock);

// The answer to one datagram; nothing where it is malformed, of another version or community.
std::optional<std::string> answer(const Objects& objects, std::string_view community,
                                  std::string_view datagram);

class Agent {
public:
    Agent(asio::io_context& io, Counters& counters, Objects objects, std::string community);
    void listen(const asio::ip::udp::endpoint& at);  // throws where it can't
    asio::ip::udp::endpoint endpoint() const { return socket_.local_endpoint(); }
    void close();

private:
    void receive();

    Counters& counters_;
    Objects objects_;
    std::string community_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint from_;
    std::array<char, 65536> datagram_{};
};

}  // namespace beechpoint::snmp
