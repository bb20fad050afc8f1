#include "emulator/real_hosts.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <asio/write.hpp>
#include <charconv>
#include <set>

#include "backend/frame.hpp"

namespace beechpoint::emulator {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostUnwritten = 4 * 1024 * 1024;  // a gatherer that reads nothing is let go

std::string reportText(const std::optional<HostReport>& report) {
    if (!report) return "-";
    return fmt::format("inflight={:.0f},queue={:.0f},qps={:.1f}", report->inflight, report->queue,
                       report->qps);
}

// "q1f.3": the try and the slice. False where it is none of ours.
bool readPartId(std::string_view id, std::uint64_t& tryNo, int& slice) {
    const auto dot = id.rfind('.');
    if (dot == std::string_view::npos) return false;
    tryNo = tryNumber(id.substr(0, dot));
    const auto [end, error] = std::from_chars(id.data() + dot + 1, id.data() + id.size(), slice);
    return tryNo > 0 && error == std::errc{} && end == id.data() + id.size();
}

}  // namespace

struct RealHosts::Port {
    Port(asio::io_context& io, int h, int g) : acceptor(io), host(h), gatherer(g) {}
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    int host;
    int gatherer;
    HostPath::State state = HostPath::State::refused;
    std::uint64_t turn = 0;            // a listener that was closed leaves an accept behind
    std::list<tcp::socket> fillers;    // hold the backlog's places while no connection may come up
    std::set<unsigned short> filling;  // their ports
};

struct RealHosts::Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    net::Buffer in;
    ConnId conn = 0;
    int host = 0;
    std::string outgoing, writing;
    bool over = false;
};

RealHosts::RealHosts(Stage& stage) : stage_(stage) {}

RealHosts::~RealHosts() {
    for (auto& [id, line] : lines_) line->over = true;
}

RealHosts::Port& RealHosts::port(int host, int gatherer) {
    auto& slot = ports_[{host, gatherer}];
    if (!slot) {
        slot = std::make_unique<Port>(stage_.io(), host, gatherer);
        slot->endpoint = stage_.addressFor(kHosts, host);
        bindTo(slot->acceptor, slot->endpoint);  // bound, not listening: connections are refused
    }
    return *slot;
}

std::string RealHosts::address(int host, int gatherer) { return textOf(port(host, gatherer).endpoint); }

void RealHosts::path(const HostPath& path) {
    Port& p = port(path.host, path.gatherer);
    if (p.state == path.state) return;
    p.state = path.state;
    switch (path.state) {
        case HostPath::State::open:
            return open(p);
        case HostPath::State::silent:
            return blockade(p);
        case HostPath::State::refused: {
            ++p.turn;
            asio::error_code ignored;
            p.acceptor.close(ignored);
            p.fillers.clear();
            p.filling.clear();
            return bindTo(p.acceptor, p.endpoint);
        }
    }
}

void RealHosts::open(Port& p) {
    ::listen(p.acceptor.native_handle(), 128);
    p.fillers.clear();
    ++p.turn;
    accept(p);
}

// No connection may come up, and none may be refused: the backlog is made as short as can be and filled by
// connections of our own, so that the kernel drops whatever knocks after them.
void RealHosts::blockade(Port& p) {
    ++p.turn;
    asio::error_code ignored;
    p.acceptor.cancel(ignored);
    ::listen(p.acceptor.native_handle(), 0);
    for (int i = 0; i < 2; ++i) {
        tcp::socket& filler = p.fillers.emplace_back(stage_.io());
        filler.open(tcp::v4(), ignored);
        filler.bind({p.endpoint.address(), 0}, ignored);
        p.filling.insert(filler.local_endpoint(ignored).port());
        filler.async_connect(p.endpoint, [](asio::error_code) {});
    }
}

void RealHosts::accept(Port& p) {
    p.acceptor.async_accept([this, &p, turn = p.turn](asio::error_code error, tcp::socket socket) {
        if (error || turn != p.turn) return;
        asio::error_code ignored;
        const tcp::endpoint from = socket.remote_endpoint(ignored);
        const bool ours = from.address() == p.endpoint.address() && p.filling.erase(from.port()) > 0;
        if (!ours) {
            socket.set_option(tcp::no_delay(true), ignored);
            const LinePtr line = std::make_shared<Line>(std::move(socket));
            line->host = p.host;
            stage_.enter([&](Millis now) {
                line->conn = stage_.world().dial(now, p.gatherer, p.host);
                lines_[line->conn] = line;
            });
        }
        accept(p);
    });
}

// ---- one connection

// Only now does the host read: what a handshake costs, the first request waits.
void RealHosts::up(ConnId conn) {
    if (const auto found = lines_.find(conn); found != lines_.end()) read(found->second);
}

void RealHosts::drop(ConnId conn) {
    if (const auto found = lines_.find(conn); found != lines_.end()) end(LinePtr(found->second), true);
}

void RealHosts::end(const LinePtr& line, bool reset) {
    if (line->over) return;
    line->over = true;
    asio::error_code ignored;
    if (reset) line->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    line->socket.close(ignored);
    lines_.erase(line->conn);
}

void RealHosts::read(const LinePtr& line) {
    line->socket.async_read_some(
        line->in.prepare(kReadSize), [this, line](asio::error_code error, std::size_t got) {
            if (line->over) return;
            if (error) {
                end(line, false);
                return stage_.enter([&](Millis now) { stage_.world().hangUp(now, line->conn); });
            }
            line->in.commit(got);
            onBytes(line);
            if (!line->over) read(line);
        });
}

void RealHosts::onBytes(const LinePtr& line) {
    stage_.enter([&](Millis now) {
        backend::Frame frame;
        backend::FrameState state;
        while (!line->over &&
               (state = backend::readFrame(line->in.view(), frame)) != backend::FrameState::more) {
            if (state == backend::FrameState::bad || !onFrame(line, frame.letter, frame.rest, now)) {
                std::string refusal;
                backend::writeFrame(refusal, 'F', "the frame could not be used");
                asio::error_code ignored;
                asio::write(line->socket, asio::buffer(refusal), ignored);
                end(line, false);
                stage_.world().hangUp(now, line->conn);
                return;
            }
            line->in.consume(frame.size);
        }
    });
}

bool RealHosts::onFrame(const LinePtr& line, char letter, std::string_view rest, Millis now) {
    World& world = stage_.world();
    std::uint64_t tryNo = 0;
    int slice = 0;
    switch (letter) {
        case 'S': {
            const auto parts = backend::readParts(rest);
            if (!parts || parts->empty()) return false;
            for (const backend::PartCall& part : *parts) {
                if (!readPartId(part.id, tryNo, slice) || slice != part.slice)
                    tryNo = 0;  // nobody asked for it
                world.send(now, line->conn, tryNo, part.slice, part.wait);
                ++parts_;
            }
            return true;
        }
        case 'C':
            if (readPartId(rest, tryNo, slice)) world.cancel(now, line->conn, tryNo, slice);
            return true;
        case 'H':
        case 'M':
            if (!rest.empty()) return false;
            world.probe(now, line->conn, letter == 'M');
            return true;
        default:
            return false;
    }
}

void RealHosts::answer(const PartAnswer& a) {
    const auto found = lines_.find(a.conn);
    if (found == lines_.end()) return;
    const char* const end = a.end == PartEnd::done ? "done" : a.end == PartEnd::failed ? "failed" : "full";
    std::string frame;
    backend::writeFrame(
        frame, 'R',
        fmt::format("q{:x}.{} {} 0 {}\n{}", a.tryNumber, a.slice, end, reportText(a.report), a.value));
    write(found->second, std::move(frame));
}

void RealHosts::probed(const ProbeAnswer& a) {
    const auto found = lines_.find(a.conn);
    if (found == lines_.end()) return;
    std::string frame;
    backend::writeFrame(frame, a.load ? 'M' : 'H', a.load ? reportText(a.report) : "done");
    write(found->second, std::move(frame));
}

void RealHosts::write(const LinePtr& line, std::string bytes) {
    line->outgoing += bytes;
    if (line->outgoing.size() > kMostUnwritten) {
        const ConnId conn = line->conn;
        end(LinePtr(line), true);
        return stage_.world().hangUp(stage_.now(), conn);
    }
    if (line->writing.empty()) flush(line);
}

void RealHosts::flush(const LinePtr& line) {
    line->writing = std::move(line->outgoing);
    line->outgoing.clear();
    asio::async_write(line->socket, asio::buffer(line->writing),
                      [this, line](asio::error_code error, std::size_t) {
                          line->writing.clear();
                          if (!error && !line->over && !line->outgoing.empty()) flush(line);
                      });
}

}  // namespace beechpoint::emulator
