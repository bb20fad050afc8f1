#include "host_discovery/platform_client.hpp"

#include <utility>

#include "host_discovery/platform_connection.hpp"

namespace beechpoint::host_discovery {

PlatformClient::PlatformClient(asio::io_context& io, std::string address)
    : connection_(std::make_shared<PlatformConnection>(io, std::move(address))) {}

PlatformClient::~PlatformClient() {
    connection_->cancel();
    connection_->close();
}

void PlatformClient::get(const std::string& target, Millis timeout, OnAnswer onAnswer) {
    connection_->get(target, timeout, std::move(onAnswer));
}

void PlatformClient::send(const PlatformRequest& request, Millis timeout, OnAnswer onAnswer) {
    connection_->send(request, timeout, std::move(onAnswer));
}

void PlatformClient::cancel() { connection_->cancel(); }

}  // namespace beechpoint::host_discovery
