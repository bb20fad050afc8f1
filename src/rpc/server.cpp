#include "rpc/server.hpp"

#include <utility>

#include "rpc/server_state.hpp"

namespace beechpoint::rpc {

Server::Server(asio::io_context& io, Logger& log) : state_(std::make_shared<ServerState>(io, log)) {}

Server::~Server() { state_->close(); }

void Server::onRequest(Handler handler) { state_->onRequest(std::move(handler)); }

Result<void> Server::listen(const std::string& address) { return state_->listen(address); }

std::uint16_t Server::port() const { return state_->port(); }

std::size_t Server::handled() const { return state_->handled(); }

std::size_t Server::connections() const { return state_->connections(); }

}  // namespace beechpoint::rpc
