#include "emulator/real_agent.hpp"

#include <fmt/format.h>

#include <asio/write.hpp>
#include <charconv>
#include <chrono>

#include "discovery/hostlist.hpp"

namespace beechpoint::emulator {

namespace {

constexpr std::chrono::seconds kBeat(2);  // an empty line while nothing changes

coordinator::ServerState stateOf(ListedHost::State state) {
    return state == ListedHost::State::ready         ? coordinator::ServerState::up
           : state == ListedHost::State::terminating ? coordinator::ServerState::draining
                                                     : coordinator::ServerState::removed;
}

std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

}  // namespace

struct RealAgent::Line {
    explicit Line(tcp::socket s) : socket(std::move(s)), reader(net::HttpReader::Kind::request, in) {}
    tcp::socket socket;
    net::Buffer in;
    net::HttpReader reader;
    bool over = false;
    bool watches = false;    // its answer has begun
    std::int64_t from = -1;  // a watch asked for while the agent was silent
    std::string outgoing, writing;
};

RealAgent::RealAgent(Stage& stage, int gatherer, std::function<std::string(int)> address)
    : stage_(stage),
      gatherer_(gatherer),
      address_(std::move(address)),
      acceptor_(stage.io()),
      endpoint_(stage.addressFor(kAgents, gatherer)),
      beat_(stage.io()) {
    bindTo(acceptor_, endpoint_);
    acceptor_.listen();
    accept();
    beat();
}

RealAgent::~RealAgent() {
    for (const LinePtr& line : lines_) line->over = true;
}

void RealAgent::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error) return;
        lines_.remove_if([](const LinePtr& line) { return line->over; });
        lines_.push_back(std::make_shared<Line>(std::move(socket)));
        read(lines_.back());
        accept();
    });
}

void RealAgent::read(const LinePtr& line) {
    line->socket.async_read_some(line->in.prepare(4096),
                                 [this, line](asio::error_code error, std::size_t got) {
                                     if (line->over) return;
                                     if (error) {
                                         line->over = true;
                                         return;
                                     }
                                     line->in.commit(got);
                                     while (line->reader.parse() == net::HttpReader::State::complete) {
                                         const std::string target(line->reader.message().target);
                                         line->reader.next();
                                         onRequest(line, target);
                                     }
                                     read(line);
                                 });
}

void RealAgent::onRequest(const LinePtr& line, std::string_view target) {
    if (!target.starts_with("/discovery/hosts"))
        return send(line, net::response(404, "text/plain", "no such path\n", true));
    if (target.find("watch=1") == std::string_view::npos) {
        if (muted_) return;  // it says nothing at all
        return send(line, net::response(200, "application/json",
                                        text(stage_.world().directory().told(gatherer_)), true));
    }
    line->from = 0;
    if (const auto at = target.find("from="); at != std::string_view::npos)
        std::from_chars(target.data() + at + 5, target.data() + target.size(), line->from);
    if (!muted_) beginWatch(line);
}

void RealAgent::beginWatch(const LinePtr& line) {
    line->watches = true;
    const Listing first = stage_.world().directory().since(gatherer_, line->from);
    send(line, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   chunk(text(first) + "\n"));
}

std::string RealAgent::text(const Listing& listing) const {
    discovery::Listing out;
    out.generation = listing.generation;
    out.list.kind = listing.complete ? coordinator::ListKind::complete : coordinator::ListKind::changes;
    for (const ListedHost& host : listing.hosts) {
        HostEntry e;
        e.entry.id = host.id;
        e.entry.state = stateOf(host.state);
        e.entry.cell = stage_.world().scenario().cellOf(host.place);
        e.entry.zone = stage_.world().scenario().sites[static_cast<std::size_t>(host.site)].name;
        e.entry.kind = "emulated";
        e.entry.startedAt =
            host.startedAt < 0 ? 0 : toNanos(stage_.clock().now() - stage_.now() + host.startedAt);
        e.address = address_(host.host);
        out.list.entries.push_back(std::move(e));
    }
    return discovery::writeListing(out, stage_.clock());
}

void RealAgent::told(const Listing& listing) {
    const std::string line = chunk(text(listing) + "\n");
    for (const LinePtr& l : lines_)
        if (l->watches && !l->over) send(l, line);
}

void RealAgent::muted(bool muted) {
    muted_ = muted;
    if (muted) return;
    for (const LinePtr& line : lines_)
        if (!line->over && !line->watches && line->from >= 0) beginWatch(line);
}

void RealAgent::beat() {
    beat_.expires_after(kBeat);
    beat_.async_wait([this](asio::error_code error) {
        if (error) return;
        if (!muted_)
            for (const LinePtr& line : lines_)
                if (line->watches && !line->over) send(line, chunk("\n"));
        beat();
    });
}

void RealAgent::send(const LinePtr& line, std::string bytes) {
    line->outgoing += bytes;
    if (!line->writing.empty()) return;
    line->writing = std::move(line->outgoing);
    line->outgoing.clear();
    asio::async_write(line->socket, asio::buffer(line->writing),
                      [this, line](asio::error_code error, std::size_t) {
                          line->writing.clear();
                          if (error) line->over = true;
                          if (!line->over && !line->outgoing.empty()) send(line, {});
                      });
}

}  // namespace beechpoint::emulator
