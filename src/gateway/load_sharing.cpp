#include "gateway/load_sharing.hpp"

#include <asio/buffer.hpp>
#include <string_view>
#include <utility>

namespace beechpoint::gateway {

LoadSharing::LoadSharing(asio::io_context& io, const Clock& clock, Logger& log,
                         LoadSharingState::Locality locality, OnPeerLoad onPeerLoad)
    : clock_(clock),
      log_(log),
      state_(std::move(locality)),
      onPeerLoad_(std::move(onPeerLoad)),
      socket_(io),
      timer_(io) {}

void LoadSharing::start(const std::string& ip, std::uint16_t port) {
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(ip, error);
    if (!error) socket_.open(asio::ip::udp::v4(), error);
    if (!error) socket_.bind({address, port}, error);
    if (!error) socket_.non_blocking(true, error);
    if (error) {
        log_.warn("load reports to other gateways are off: {}", field("error", error.message()));
        asio::error_code ignored;
        socket_.close(ignored);
        return;
    }
    port_ = port;
    receive();
    armTimer();
}

void LoadSharing::stop() {
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void LoadSharing::ownLoad(const dispatch::ReportLoad& changed) {
    if (socket_.is_open()) send(state_.ownLoad(changed));
}

void LoadSharing::receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), from_, [this](asio::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted || !socket_.is_open()) return;
            if (!error) {
                const auto received = state_.received(clock_.now(), std::string_view(buffer_.data(), size));
                if (received.load) onPeerLoad_(*received.load);
                send(received.forward);
            }
            receive();
        });
}

// What can't be sent at once is lost, as any datagram may be.
void LoadSharing::send(const std::vector<LoadSharingState::Outgoing>& datagrams) {
    for (const LoadSharingState::Outgoing& each : datagrams) {
        asio::error_code ignored;
        const asio::ip::address address = asio::ip::make_address(each.address, ignored);
        if (!ignored) socket_.send_to(asio::buffer(each.bytes), {address, port_}, 0, ignored);
    }
}

void LoadSharing::armTimer() {
    timer_.expires_after(toMicroseconds(LoadSharingState::kDigestPeriod));
    timer_.async_wait([this](asio::error_code error) {
        if (error || !socket_.is_open()) return;
        send(state_.onTimer(clock_.now()));
        armTimer();
    });
}

}  // namespace beechpoint::gateway
