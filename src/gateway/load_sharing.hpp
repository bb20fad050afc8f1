// Tells the other gateways what this one has waiting at hosts, and hands on what they tell, as LoadSharingState decides: datagrams over
// UDP on the first internal port, since what is late is worth nothing and what is lost is told again. Without that port the gateway
// decides by its own requests alone.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/logger.hpp"
#include "gateway/load_sharing_state.hpp"

namespace beechpoint::gateway {

class LoadSharing {
public:
    using OnPeerLoad = std::function<void(const dispatch::PeerLoad&)>;

    LoadSharing(asio::io_context& io, const Clock& clock, Logger& log, LoadSharingState::Locality locality,
                OnPeerLoad onPeerLoad);

    // Binds IP:PORT; without a free port nothing is shared.
    void start(const std::string& ip, std::uint16_t port);
    void stop();
    void gateways(const std::vector<leases::Gateway>& all) { state_.gateways(all); }
    void ownLoad(const dispatch::ReportLoad& changed);

private:
    static constexpr std::size_t kLargest = 1500;

    void receive();
    void send(const std::vector<LoadSharingState::Outgoing>& datagrams);
    void armTimer();

    const Clock& clock_;
    Logger& log_;
    LoadSharingState state_;
    OnPeerLoad onPeerLoad_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint from_;
    std::uint16_t port_ = 0;
    std::array<char, kLargest> buffer_{};
    asio::steady_timer timer_;
};

}  // namespace beechpoint::gateway
