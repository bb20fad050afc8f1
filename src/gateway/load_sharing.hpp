/// Reports this gateway's load at hosts to the other gateways and forwards their reports, as LoadSharingState decides: datagrams over
/// UDP on the first internal port, since a late report is worth nothing and a lost one is repeated. Without that port the gateway
/// decides by its own requests alone. Owns the socket; called from the loop's thread only.
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
    /// A report of another gateway or zone was received.
    using OnPeerLoad = std::function<void(const dispatch::PeerLoad&)>;

    /// `io`, `clock` and `log` must outlive it.
    LoadSharing(asio::io_context& io, const Clock& clock, Logger& log, LoadSharingState::Locality locality,
                OnPeerLoad onPeerLoad);

    /// Binds IP:PORT. Where that fails, it is logged and nothing is reported or received.
    void start(const std::string& ip, std::uint16_t port);
    void stop();
    /// All gateways, as control last reported them.
    void gateways(const std::vector<leases::Gateway>& all) { state_.gateways(all); }
    /// This gateway's load has changed at these hosts.
    void ownLoad(const dispatch::ReportLoad& changed);

private:
    static constexpr std::size_t kMaxDatagram = 1500;  // bytes

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
    std::array<char, kMaxDatagram> buffer_{};
    asio::steady_timer timer_;
};

}  // namespace beechpoint::gateway
