#include "loopback_fixture.hpp"

namespace beechpoint::test {

asio::io_context& eventLoop() {
    static asio::io_context io(1);
    return io;
}

void runReady(asio::io_context& io) {
    io.restart();
    while (io.poll() > 0) io.restart();
}

void blockEventLoop(std::chrono::milliseconds time) {
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < time) {
    }
}

void LoopbackConnection::read(std::function<void()> onRead) {
    const auto onSome = [self = shared_from_this(), onRead](asio::error_code error, std::size_t size) {
        if (self->ended) return;  // closed on this side
        if (error) {
            self->ended = true;
        } else {
            self->in.commit(size);
        }
        onRead();
        if (!error && !self->ended) self->read(onRead);
    };
    socket.async_read_some(in.prepare(4096), onSome);
}

void LoopbackConnection::send(const std::string& bytes) {
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (error) ended = true;
}

void LoopbackConnection::close() {
    ended = true;
    asio::error_code ignored;
    socket.close(ignored);
}

LoopbackListener::LoopbackListener(asio::io_context& io) : acceptor_(io, kAnyPort) { accept(); }

LoopbackListener::~LoopbackListener() {
    for (const LoopbackConnectionPtr& connection : connections) connection->close();
}

std::string LoopbackListener::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void LoopbackListener::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error) return;
        const auto connection = std::make_shared<LoopbackConnection>(std::move(socket));
        connections.push_back(connection);
        connection->read([this, raw = connection.get()] { onData(*raw); });
        accept();
    });
}

}  // namespace beechpoint::test
