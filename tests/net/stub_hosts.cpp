#include "stub_hosts.hpp"

#include <utility>

namespace beechpoint::test {

// ---- StubFrameHost

void StubFrameHost::Part::answer(const std::string& outcome, const std::string& value,
                                 const std::string& report) const {
    std::string frame;
    backend::writeFrame(frame, 'R', id + " " + outcome + " 1 " + report + "\n" + value);
    connection.send(frame);
}

void StubFrameHost::onData(LoopbackConnection& connection) {
    backend::Frame frame;
    while (!connection.ended &&
           backend::readFrame(connection.in.view(), frame) == backend::FrameState::complete) {
        std::string rest(frame.rest);
        const char letter = frame.letter;
        connection.in.consume(frame.size);
        frames.push_back(letter + rest);
        if (letter == 'M') connection.send(std::string("\0\0\0\2M-", 6));
        if (letter == 'S') readParts(connection, std::move(rest));
    }
}

// Each part: "ID SHARD d=MS LENGTH\n" and its text.
void StubFrameHost::readParts(LoopbackConnection& connection, std::string batch) {
    while (!batch.empty()) {
        const auto feed = batch.find('\n');
        const std::string line = batch.substr(0, feed);
        const auto firstBlank = line.find(' ');
        const auto secondBlank = line.find(' ', firstBlank + 1);
        const auto lastBlank = line.rfind(' ');
        const auto length = std::stoul(line.substr(lastBlank + 1));
        const int shard = std::stoi(line.substr(firstBlank + 1, secondBlank - firstBlank - 1));
        const Part part{connection, line.substr(0, firstBlank), shard, batch.substr(feed + 1, length)};
        batch.erase(0, feed + 1 + length);
        onPart(part);
    }
}

UnansweringHost::UnansweringHost() : StubFrameHost(eventLoop()) {
    onPart = [this](const Part& part) { pendingParts.push_back(part); };
}

// ---- StubHttpHost

void StubHttpHost::HttpRequest::answer(int status, const std::string& text) const {
    connection.send(net::response(status, "application/json", text, true));
}

void StubHttpHost::onData(LoopbackConnection& connection) {
    net::HttpReader reader(net::HttpReader::Kind::request, connection.in);
    while (!connection.ended && reader.parse() == net::HttpReader::State::complete) {
        const net::HttpMessage message = reader.message();
        const HttpRequest request{connection, std::string(message.target), std::string(message.body)};
        reader.next();
        targets.push_back(request.target);
        onRequest(request);
    }
}

// ---- RawSocketHost

RawSocketHost::RawSocketHost(int backlog, int receiveBuffer) : acceptor(eventLoop(), kAnyPort.protocol()) {
    if (receiveBuffer > 0) acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
    acceptor.bind(kAnyPort);
    acceptor.listen(backlog);
}

RawSocketHost::~RawSocketHost() {
    for (const LoopbackConnectionPtr& connection : connections) connection->close();
}

std::string RawSocketHost::address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

void RawSocketHost::accept(bool reads, bool again) {
    acceptor.async_accept([this, reads, again](asio::error_code error, tcp::socket socket) {
        if (error) return;
        connections.push_back(std::make_shared<LoopbackConnection>(std::move(socket)));
        if (reads) read(connections.size() - 1);
        if (again) accept(reads);
    });
}

void RawSocketHost::fillBacklog() {
    for (int i = 0; i < 4; ++i) {
        backlogSockets.emplace_back(acceptor.get_executor(), kAnyPort.protocol());
        backlogSockets.back().async_connect(acceptor.local_endpoint(), [](asio::error_code) {});
    }
}

std::size_t RawSocketHost::readAllNow() {
    std::string chunk(8192, '\0');
    std::size_t size = 0;
    connections[0]->socket.non_blocking(true);
    for (asio::error_code error; !error;)
        size += connections[0]->socket.read_some(asio::buffer(chunk), error);
    return size;
}

void RawSocketHost::read(std::size_t index) {
    connections[index]->read([this, raw = connections[index].get()] {
        received += raw->in.view();
        raw->in.consume(raw->in.size());
    });
}

std::string joinedFrames(const std::vector<std::string>& frames, char letter) {
    std::string text;
    for (const std::string& frame : frames)
        if (frame[0] == letter) text += frame;
    return text;
}

}  // namespace beechpoint::test
