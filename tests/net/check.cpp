#include "check.hpp"

namespace beechpoint::test {

// ---- Peer

void Peer::read(std::function<void()> then) {
    socket.async_read_some(in.prepare(4096), [self = shared_from_this(), then](auto error, std::size_t n) {
        if (self->ended) return;  // closed on this side
        if (error) {
            self->ended = true;
        } else {
            self->in.commit(n);
        }
        then();
        if (!error && !self->ended) self->read(then);
    });
}

void Peer::send(const std::string& bytes) {
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (error) ended = true;
}

void Peer::close() {
    ended = true;
    asio::error_code ignored;
    socket.close(ignored);
}

// ---- Listener

Listener::Listener(asio::io_context& io) : acceptor_(io, kAnyPort) { accept(); }

Listener::~Listener() {
    for (const PeerPtr& peer : peers) peer->close();
}

std::string Listener::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void Listener::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error) return;
        const PeerPtr peer = std::make_shared<Peer>(std::move(socket));
        peers.push_back(peer);
        peer->read([this, raw = peer.get()] { onData(*raw); });
        accept();
    });
}

// ---- FrameHost

void FrameHost::Part::answer(const std::string& end, const std::string& value,
                             const std::string& report) const {
    std::string frame;
    backend::writeFrame(frame, 'R', id + " " + end + " 1 " + report + "\n" + value);
    peer.send(frame);
}

void FrameHost::onData(Peer& peer) {
    backend::Frame frame;
    while (!peer.ended && backend::readFrame(peer.in.view(), frame) == backend::FrameState::complete) {
        std::string rest(frame.rest);
        const char letter = frame.letter;
        peer.in.consume(frame.size);
        got.push_back(letter + rest);
        if (letter == 'M') peer.send(std::string("\0\0\0\2M-", 6));
        while (letter == 'S' && !rest.empty()) {
            const auto feed = rest.find('\n');
            const std::string line = rest.substr(0, feed);
            const auto a = line.find(' '), b = line.find(' ', a + 1), c = line.rfind(' ');
            const auto length = std::stoul(line.substr(c + 1));
            const Part part{peer, line.substr(0, a), std::stoi(line.substr(a + 1, b - a - 1)),
                            rest.substr(feed + 1, length)};
            rest.erase(0, feed + 1 + length);
            onPart(part);
        }
    }
}

// ---- HttpHost

void HttpHost::Ask::answer(int status, const std::string& text) const {
    peer.send(net::response(status, "application/json", text, true));
}

void HttpHost::onData(Peer& peer) {
    net::HttpReader reader(net::HttpReader::Kind::request, peer.in);
    while (!peer.ended && reader.parse() == net::HttpReader::State::complete) {
        const net::HttpMessage m = reader.message();
        const Ask ask{peer, std::string(m.target), std::string(m.body)};
        reader.next();
        targets.push_back(ask.target);
        onAsk(ask);
    }
}

// ---- Client

Client::Client(asio::io_context& io, const tcp::endpoint& to) : io_(io) {
    tcp::socket socket(io);
    socket.connect(to);
    peer = std::make_shared<Peer>(std::move(socket));
    reader_ = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, peer->in,
                                                net::HttpReader::OnBody{}, 1 << 20);
    peer->read([this] { onData(); });
}

Answer Client::ask(const std::string& bytes) {
    const std::size_t before = answers.size();
    send(bytes);
    until(io_, [&] { return answers.size() > before; });
    return answers.back();
}

void Client::onData() {
    while (reader_->parse() == net::HttpReader::State::complete) {
        const net::HttpMessage m = reader_->message();
        Answer a{m.status, {}, std::string(m.body), m.keepAlive};
        for (const auto& [name, value] : m.headers)
            a.head.append(name).append(": ").append(value).append("\n");
        reader_->next();
        answers.push_back(a);
        onAnswer(a);
    }
}

// ---- what tests ask and set up

std::string post(const std::string& target, const std::string& headers, const std::string& body) {
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string query(const std::string& id, const std::vector<int>& slices, int ms, const std::string& text,
                  const std::string& klass) {
    std::string targets;
    for (const int s : slices)
        targets += (targets.empty() ? "" : ",") + ("{\"partition\":" + std::to_string(s)) +
                   ",\"share\":" + std::to_string(1.0 / static_cast<double>(slices.size())) + "}";
    return post(
        "/" + klass + "/k1",
        "X-Trace-Id: " + id + "\r\nX-Qos: " + klass + "\r\nX-Expires-In-Ms: " + std::to_string(ms) + "\r\n",
        "{\"targets\":[" + targets + "],\"query\":\"" + text + "\"}");
}

coordinator::Settings settings() {
    coordinator::Settings s;
    coordinator::ClassSettings c;
    c.name = "pallet-lookup";
    c.aim = 1'200'000'000;
    c.deadline = 3'000'000'000;
    s.classes.push_back(c);
    c.name = "day-report";
    c.aim = 2'000'000'000;
    c.deadline = 5'000'000'000;
    s.classes.push_back(c);
    s.shards = 4;
    s.cells = 2;
    s.span = 2;
    s.tick = 5'000'000;
    s.answerSlack = 20'000'000;
    s.dialTimeout = 250'000'000;
    s.maxAttempts = 3;
    s.openCap = 128;
    s.parallelTries = s.cancelling = s.probing = s.retryAfter = true;
    s.maxRetryAfter = 500'000'000;
    s.reports = coordinator::Reports::withAnswers;
    return s;
}

HostEntry host(const std::string& id, const std::string& address, int cell, coordinator::ServerState state) {
    HostEntry h;
    h.entry.id = id;
    h.entry.cell = cell;
    h.entry.state = state;
    h.address = address;
    return h;
}

// ---- Rig

Rig::Rig(std::vector<std::string> hosts, std::function<void(Config&)> change) {
    agent.onAsk = [](const HttpHost::Ask&) {};  // silent, as discovery may be
    config.name = "n0";
    config.listen = kAnyPort;
    config.discovery = agent.endpoint();
    config.settings = settings();
    config.connections.calls = 32;
    config.known.list.kind = coordinator::ListKind::remembered;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        config.known.list.entries.push_back(host("h" + std::to_string(i), hosts[i], static_cast<int>(i % 2)));
    if (change) change(config);
    gatherer = std::make_unique<Gatherer>(io, config, clock, counters, log);
    gatherer->start();
}

Rig::~Rig() {  // what is queued already would run on a gatherer that is gone
    io.restart();
    io.poll();
}

asio::io_context& Rig::loop() {
    static asio::io_context io(1);
    return io;
}

}  // namespace beechpoint::test
