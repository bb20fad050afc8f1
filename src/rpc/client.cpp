#include "rpc/client.hpp"

#include <utility>

#include "rpc/client_state.hpp"

namespace beechpoint::rpc {

Client::Client(asio::io_context& io, Logger& log) : state_(std::make_shared<ClientState>(io, log)) {}

Client::~Client() { state_->close(); }

void Client::call(const std::string& address, std::string bytes, Millis timeout, Callback callback) {
    state_->call(address, std::move(bytes), timeout, std::move(callback));
}

std::size_t Client::peers() const { return state_->peers(); }

std::size_t Client::outstanding() const { return state_->outstanding(); }

}  // namespace beechpoint::rpc
