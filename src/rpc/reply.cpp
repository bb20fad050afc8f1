#include "rpc/reply.hpp"

#include <utility>

#include "rpc/server_state.hpp"

namespace beechpoint::rpc {

Reply::Reply(std::weak_ptr<ServerState> server, std::uint64_t connection, std::uint32_t number)
    : server_(std::move(server)), connection_(connection), number_(number), open_(true) {}

Reply::Reply(Reply&& other) noexcept
    : server_(std::move(other.server_)),
      connection_(other.connection_),
      number_(other.number_),
      open_(std::exchange(other.open_, false)) {}

Reply& Reply::operator=(Reply&& other) noexcept {
    if (this == &other) return *this;
    drop();
    server_ = std::move(other.server_);
    connection_ = other.connection_;
    number_ = other.number_;
    open_ = std::exchange(other.open_, false);
    return *this;
}

Reply::~Reply() { drop(); }

void Reply::drop() {
    if (!open_) return;
    open_ = false;
    if (const std::shared_ptr<ServerState> server = server_.lock()) server->drop();
}

void Reply::send(std::string bytes) {
    if (!open_) return;
    open_ = false;
    if (const std::shared_ptr<ServerState> server = server_.lock())
        server->answer(connection_, number_, bytes);
}

}  // namespace beechpoint::rpc
