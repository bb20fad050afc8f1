#include "back/frames.hpp"

#include <algorithm>
#include <asio/write.hpp>
#include <charconv>
#include <chrono>

namespace beechpoint::back {

using asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = 8192;
constexpr auto kSweepEvery = std::chrono::milliseconds(500);
constexpr double kIdleShare = 0.8;  // of the host's idle limit: closed here before the host does

std::chrono::microseconds micros(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(ms * 1000));
}

}  // namespace

std::optional<tcp::endpoint> readEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    unsigned port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, bad] = std::from_chars(text.data() + colon + 1, end, port);
    asio::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || bad != std::errc{} || stop != end || port == 0 || port > 65535) return std::nullopt;
    return tcp::endpoint(address, static_cast<unsigned short>(port));
}

// ---- hosts

FrameHosts::FrameHosts(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
                       Exchange& exchange, ConnectionLimits limits)
    : io_(io),
      clock_(clock),
      counters_(counters),
      log_(log),
      exchange_(exchange),
      limits_(limits),
      timer_(io) {
    sweep();
}

FrameHosts::~FrameHosts() { close(); }

void FrameHosts::close() {
    timer_.cancel();
    std::map<std::string, Host> hosts = std::move(hosts_);
    hosts_.clear();
    at_.clear();
    for (auto& [id, host] : hosts)
        for (const Connection& c : std::vector<Connection>(host.connections)) c->close(true);
}

void FrameHosts::update(const HostList& list) {
    std::vector<std::string> left;  // hosts that get nothing new
    if (list.kind != firkeel::ListKind::changes)
        for (auto& [id, host] : hosts_) {
            host.listed = false;
            left.push_back(id);
        }
    for (const HostEntry& entry : list.entries) {
        std::erase(left, entry.entry.id);
        Host& host = hosts_[entry.entry.id];
        const auto endpoint = readEndpoint(entry.address);
        if (!endpoint && entry.entry.state == firkeel::ServerState::up)
            log_.warn("discovery gave host {} a bad address: {}", entry.entry.id, entry.address);
        const bool moved = endpoint != host.endpoint;
        host.listed = entry.entry.state != firkeel::ServerState::removed;
        host.endpoint = endpoint;
        if (moved || entry.entry.state != firkeel::ServerState::up) left.push_back(entry.entry.id);
    }
    for (const std::string& id : left)
        for (const Connection& c : std::vector<Connection>(hosts_.at(id).connections)) c->retire();
}

void FrameHosts::send(Attempt attempt) { sent_[attempt.server].push_back(std::move(attempt)); }

// Parts sent to one host in one go share calls, up to the number in the settings.
void FrameHosts::flush() {
    while (!sent_.empty()) {  // a failed dial may bring further sends
        auto batch = sent_.extract(sent_.begin());
        const auto host = hosts_.find(batch.key());
        std::vector<Attempt>& all = batch.mapped();
        for (std::size_t from = 0; from < all.size(); from += limits_.bundle) {
            const auto begin = all.begin() + static_cast<std::ptrdiff_t>(from);
            std::vector<Attempt> call(
                begin, begin + static_cast<std::ptrdiff_t>(std::min(limits_.bundle, all.size() - from)));
            if (host == hosts_.end() || !host->second.endpoint) {
                for (const Attempt& a : call) exchange_.ended(a.id, Outcome::noConnection);
                continue;
            }
            const Connection c = pick(batch.key(), host->second);
            for (const Attempt& a : call) at_[a.id] = c;
            c->call(std::move(call));
        }
    }
}

// The open connection with most room; else one that is being dialled; else a new one.
FrameHosts::Connection FrameHosts::pick(const std::string& server, Host& host) {
    Connection best;
    for (const Connection& c : host.connections) {
        if (!c->usable() || c->load() >= limits_.calls) continue;
        if (!best || std::make_pair(!c->open(), c->load()) < std::make_pair(!best->open(), best->load()))
            best = c;
    }
    if (best) return best;
    best = std::make_shared<FrameConnection>(*this, server);
    host.connections.push_back(best);
    best->dial(*host.endpoint);
    return best;
}

void FrameHosts::abandon(AttemptId attempt) {
    const auto found = at_.find(attempt);
    if (found == at_.end()) return;
    const Connection c = found->second.lock();
    at_.erase(found);
    if (c) c->abandon(attempt);
}

void FrameHosts::probe(const std::string& server) {
    const auto host = hosts_.find(server);
    if (host == hosts_.end() || !host->second.endpoint)
        return exchange_.probed(server, Outcome::noConnection, 0);
    pick(server, host->second)->probe();
}

void FrameHosts::sweep() {
    timer_.expires_after(kSweepEvery);
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        const Millis before = clock_.now() - kIdleShare * limits_.idle;
        for (auto& [id, host] : hosts_)
            for (const Connection& c : std::vector<Connection>(host.connections))
                if (c->open() && c->idle() && c->idleSince() <= before) c->close(true);
        std::erase_if(hosts_, [](const auto& h) { return !h.second.listed && h.second.connections.empty(); });
        sweep();
    });
}

// ---- connections

FrameConnection::FrameConnection(FrameHosts& owner, std::string server)
    : owner_(owner),
      server_(std::move(server)),
      socket_(owner.io_),
      timer_(owner.io_),
      lastUse_(owner.clock_.now()) {}

void FrameConnection::dial(const tcp::endpoint& to) {
    owner_.counters_.add(Counter::dials);
    const auto self = shared_from_this();
    timer_.expires_after(micros(owner_.limits_.dialTimeout));
    timer_.async_wait([self](asio::error_code error) {
        if (error || self->state_ != State::dialing) return;
        self->owner_.counters_.add(Counter::dialsFailed);
        self->close(false);
    });
    socket_.async_connect(to, [self](asio::error_code error) {
        if (self->state_ != State::dialing) return;
        self->timer_.cancel();
        if (error) {
            self->owner_.counters_.add(Counter::dialsFailed);
            self->owner_.log_.seldom("dial " + self->server_, "could not connect to host {}: {}",
                                     self->server_, error.message());
            return self->close(false);
        }
        asio::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->state_ = State::open;
        self->used();
        self->read();
        self->fill();
    });
}

void FrameConnection::used() { lastUse_ = owner_.clock_.now(); }

void FrameConnection::call(std::vector<Attempt> parts) {
    waiting_.push_back(std::move(parts));
    fill();
}

// Writes what may be written now. A part that waited is asked about again right before: its host may drain by
// now, its query be over, its time be up.
void FrameConnection::fill() {
    if (state_ != State::open || writing_ || filling_) return;
    filling_ = true;
    outgoing_ = std::exchange(more_, {});
    marks_.clear();
    while (!waiting_.empty() && calls_.size() < owner_.limits_.calls) {
        const std::vector<Attempt> parts = std::move(waiting_.front());
        waiting_.pop_front();
        const std::uint64_t call = ++lastCall_;
        std::string body;
        for (const Attempt& a : parts) {
            if (!owner_.exchange_.claim(a.id)) {
                owner_.at_.erase(a.id);
                continue;
            }
            std::string id = partId(*a.request, a.slice);
            writePart(body, id, a.slice, a.until - owner_.clock_.now(), a.request->text);
            ++calls_[call];
            marks_.push_back({0, id, call});
            out_[std::move(id)] = {a.id, call, false};
        }
        if (body.empty()) continue;
        writeFrame(outgoing_, 'S', body);
        for (Mark& m : marks_)
            if (m.call == call) m.end = outgoing_.size();
    }
    filling_ = false;
    if (outgoing_.empty()) {
        if (retired_ && idle()) close(true);
        return;
    }
    writing_ = true;
    used();
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this()](asio::error_code error, std::size_t count) {
                          self->onWritten(error, count);
                      });
}

void FrameConnection::onWritten(asio::error_code error, std::size_t count) {
    writing_ = false;
    for (const Mark& m : marks_)
        if (const auto part = out_.find(m.part);
            part != out_.end() && part->second.call == m.call && m.end <= count)
            part->second.written = true;
    if (state_ == State::closed) return;
    if (error) return close(false);
    used();
    fill();
}

void FrameConnection::read() {
    socket_.async_read_some(in_.prepare(kReadSize), [self = shared_from_this()](asio::error_code error,
                                                                                std::size_t got) {
        if (self->state_ == State::closed) return;
        if (error) return self->close(false);
        self->in_.commit(got);
        self->used();
        Frame frame;
        FrameState state;
        while ((state = readFrame(self->in_.view(), frame)) == FrameState::complete) {
            const bool good = self->onFrame(frame);
            if (self->state_ == State::closed) return;
            if (!good) {
                state = FrameState::bad;
                break;
            }
            self->in_.consume(frame.size);
        }
        if (state == FrameState::bad) {
            self->owner_.counters_.add(Counter::badFrames);
            self->owner_.log_.seldom("frame", "host {} sent a bad frame: connection closed", self->server_);
            return self->close(false);
        }
        self->read();
        self->fill();  // places may have come free
    });
}

bool FrameConnection::onFrame(const Frame& frame) {
    switch (frame.letter) {
        case 'R': {
            const std::optional<Result> result = readResult(frame.rest);
            if (result) onResult(*result);
            return result.has_value();
        }
        case 'H':
            if (frame.rest != "done" && frame.rest != "failed") return false;
            onProbe(frame.rest == "done" ? Outcome::served : Outcome::error, {});
            return true;
        case 'M': {
            if (frame.rest == "failed") return onProbe(Outcome::error, {}), true;
            std::optional<Load> load = readReport(frame.rest);
            if (load) onProbe(Outcome::served, std::move(*load));
            return load.has_value();
        }
        case 'F':
            owner_.log_.seldom("refused frame", "host {} could not use a frame: {}", server_, frame.rest);
            return true;  // the host closes the connection
        default:
            return false;
    }
}

void FrameConnection::onResult(const Result& result) {
    const auto found = out_.find(std::string(result.id));
    if (found == out_.end()) {
        owner_.counters_.add(Counter::lateFrames);
        return;
    }
    const AttemptId id = found->second.id;
    release(found);
    owner_.at_.erase(id);
    owner_.exchange_.ended(id, result.outcome, result.value, result.load);
}

void FrameConnection::release(std::unordered_map<std::string, OutPart>::iterator part) {
    if (const auto call = calls_.find(part->second.call); call != calls_.end() && --call->second == 0)
        calls_.erase(call);
    out_.erase(part);
}

void FrameConnection::abandon(AttemptId attempt) {
    const auto found =
        std::find_if(out_.begin(), out_.end(), [&](const auto& p) { return p.second.id == attempt; });
    if (found == out_.end()) return;  // still waiting: claim() will stop it
    writeFrame(more_, 'C', found->first);
    release(found);
    fill();
}

void FrameConnection::probe() {
    const auto probe = std::make_shared<ProbeOut>();
    probe->sentAt = owner_.clock_.now();
    probe->timer = std::make_shared<asio::steady_timer>(owner_.io_, micros(2 * owner_.limits_.dialTimeout));
    probe->timer->async_wait([self = shared_from_this(), probe](asio::error_code error) {
        if (error || probe->over) return;
        probe->over = true;
        self->owner_.exchange_.probed(self->server_, Outcome::timedOut,
                                      self->owner_.clock_.now() - probe->sentAt);
    });
    probes_.push_back(probe);
    const bool reports = owner_.exchange_.settings().reports != firkeel::Reports::none;
    writeFrame(more_, reports ? 'M' : 'H', {});
    fill();
}

void FrameConnection::onProbe(Outcome outcome, Load load) {
    if (probes_.empty()) return;
    const auto probe = probes_.front();
    probes_.pop_front();
    probe->timer->cancel();
    if (std::exchange(probe->over, true)) return;  // it had timed out
    owner_.exchange_.probed(server_, outcome, owner_.clock_.now() - probe->sentAt, std::move(load));
}

void FrameConnection::retire() {
    if (std::exchange(retired_, true) || state_ == State::closed) return;
    if (idle()) close(true);
}

// Broken before a frame's last byte was written: its parts never ran. After that they may have.
void FrameConnection::close(bool quiet) {
    if (state_ == State::closed) return;
    state_ = State::closed;
    const auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (const auto host = owner_.hosts_.find(server_); host != owner_.hosts_.end())
        std::erase(host->second.connections, self);
    // What was being written when the connection ended otherwise may have arrived whole.
    const bool unsure = writing_;
    const auto out = std::exchange(out_, {});
    const auto waiting = std::exchange(waiting_, {});
    const auto probes = std::exchange(probes_, {});
    calls_.clear();
    for (const auto& probe : probes) {
        probe->timer->cancel();
        if (!std::exchange(probe->over, true) && !quiet)
            owner_.exchange_.probed(server_, Outcome::noConnection, owner_.clock_.now() - probe->sentAt);
    }
    if (quiet) return;
    for (const auto& [id, part] : out) {
        owner_.at_.erase(part.id);
        owner_.exchange_.ended(part.id,
                               part.written || unsure ? Outcome::connectionLost : Outcome::noConnection);
    }
    for (const auto& call : waiting)
        for (const Attempt& a : call) {
            owner_.at_.erase(a.id);
            owner_.exchange_.ended(a.id, Outcome::noConnection);
        }
}

}  // namespace beechpoint::back
