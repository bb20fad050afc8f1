#include "backend/pool.hpp"

#include <algorithm>
#include <charconv>

namespace beechpoint::backend {

using asio::ip::tcp;

namespace {

constexpr auto kSweepEvery = std::chrono::milliseconds(500);
constexpr double kIdleShare = 0.8;  // of the host's idle limit: closed here before the host does
// A connection may fall silent while its host is well: what is out on it waits for nothing, and since all
// given up there makes room, it would draw all that is new. After so long nothing new goes there: several
// times what an answer takes of late, so that slow hosts are not taken for dead connections.
constexpr Millis kQuietLeast = 60;
constexpr double kQuietMeans = 5;
constexpr double kMeanStep = 0.02;  // of the running mean: some 50 answers
constexpr int kMostQuiet = 3;  // of a host: then it is the host that is silent, and more dials tell nothing
// A handshake may get lost while the host is well. Where calls wait for one for longer than this share of its time, and the host
// took another connection just before, a second one is made beside it; whichever comes up takes the calls.
constexpr double kDialBeside = 0.25;
constexpr Millis kUpLately = 5000;
constexpr double kProbeDials = 2;  // a probe's time, in dial time-outs: it may need a dial first

}  // namespace

std::optional<tcp::endpoint> readEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    unsigned port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, bad] = std::from_chars(text.data() + colon + 1, end, port);
    asio::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || bad != std::errc{} || stop != end || port > 65535) return std::nullopt;
    return tcp::endpoint(address, static_cast<unsigned short>(port));
}

// ---- hosts

Pool::Pool(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log, Exchange& exchange,
           ConnectionLimits limits, Make make)
    : io_(io),
      clock_(clock),
      counters_(counters),
      log_(log),
      exchange_(exchange),
      limits_(limits),
      make_(std::move(make)),
      timer_(io) {
    sweep();
}

Pool::~Pool() { close(); }

void Pool::close() {
    timer_.cancel();
    const std::map<std::string, Host> hosts = std::exchange(hosts_, {});
    at_.clear();
    for (const auto& [id, host] : hosts)
        for (const Connection& c : host.connections) c->close(HostConnection::End::quiet);
}

void Pool::update(const HostList& list) {
    std::vector<std::string> left;  // hosts that get nothing new
    if (list.kind != coordinator::ListKind::changes)
        for (auto& [id, host] : hosts_) {
            host.listed = false;
            left.push_back(id);
        }
    for (const HostEntry& entry : list.entries) {
        std::erase(left, entry.entry.id);
        Host& host = hosts_[entry.entry.id];
        const auto endpoint = readEndpoint(entry.address);
        const bool up = entry.entry.state == coordinator::ServerState::up;
        if (!endpoint && up)
            log_.warn("discovery gave host {} a bad address: {}", field("host", entry.entry.id),
                      field("address", entry.address));
        const bool moved = endpoint != host.endpoint;
        host.endpoint = endpoint;
        host.listed = entry.entry.state != coordinator::ServerState::removed;
        if (moved || !up) left.push_back(entry.entry.id);
    }
    for (const std::string& id : left)
        for (const Connection& c : std::vector<Connection>(hosts_.at(id).connections)) c->retire();
}

void Pool::send(Attempt attempt) { sent_[attempt.server].push_back(std::move(attempt)); }

// Parts sent to one host in one go share calls, up to the number in the settings.
void Pool::flush() {
    while (!sent_.empty()) {  // an outcome in here may bring further sends
        const auto batch = sent_.extract(sent_.begin());
        const std::vector<Attempt>& all = batch.mapped();
        for (std::size_t from = 0; from < all.size(); from += limits_.bundle) {
            const auto begin = all.begin() + static_cast<std::ptrdiff_t>(from);
            const auto count = static_cast<std::ptrdiff_t>(std::min(limits_.bundle, all.size() - from));
            std::vector<Attempt> call(begin, begin + count);
            const auto host = hosts_.find(batch.key());
            const Connection c =
                host != hosts_.end() && host->second.endpoint ? pick(batch.key(), host->second) : nullptr;
            if (!c) {
                // Without an address it can't be connected to; else it is this side that has no place left,
                // which says nothing of the host.
                const bool unknown = host == hosts_.end() || !host->second.endpoint;
                for (const Attempt& a : call)
                    exchange_.ended(a.id, unknown ? Outcome::noConnection : Outcome::notSent);
                continue;
            }
            for (const Attempt& a : call) at_[a.id] = c;
            c->call(std::move(call));
        }
    }
}

// The open connection with most room; else one that is being dialled; else a new one, up to the limits. Where
// all are full the call waits in the shortest line: that is no fault of the host.
Pool::Connection Pool::pick(const std::string& server, Host& host) {
    Connection best;
    const auto rank = [this](const Connection& c) {
        return std::make_tuple(c->load() >= limits_.calls, c->quiet(), !c->open(), c->load());
    };
    int quiet = 0;
    for (const Connection& c : host.connections) {
        quiet += c->quiet();
        if (c->usable() && (!best || rank(c) < rank(best))) best = c;
    }
    if (best && best->load() < limits_.calls && (!best->quiet() || quiet >= kMostQuiet)) return best;
    if (host.connections.size() >= limits_.perHost || !makeRoom()) return best;
    return dial(server, host);
}

Pool::Connection Pool::dial(const std::string& server, Host& host) {
    const Connection made = make_(*this, server);
    host.connections.push_back(made);
    ++connections_;
    made->dial(*host.endpoint);
    return made;
}

// One beside all that are late: it takes over what waits on any of them.
void Pool::dialBeside(const std::string& server) {
    const auto found = hosts_.find(server);
    if (found == hosts_.end() || !found->second.endpoint) return;
    Host& host = found->second;
    if (clock_.now() - host.upAt > kUpLately || host.connections.size() >= limits_.perHost) return;
    const auto spare = [](const Connection& c) { return c->spare(); };
    if (std::any_of(host.connections.begin(), host.connections.end(), spare) || !makeRoom()) return;
    counters_.add(Counter::dialsBeside);
    dial(server, host);
}

// At the limit of descriptors the connection that has been idle longest makes room.
bool Pool::makeRoom() {
    if (connections_ < limits_.total) return true;
    Connection oldest;
    for (const auto& [id, host] : hosts_)
        for (const Connection& c : host.connections)
            if (c->idle() && (!oldest || c->idleSince() < oldest->idleSince())) oldest = c;
    if (!oldest) return false;
    oldest->close(HostConnection::End::quiet);
    return true;
}

// What was sent there so much later is answered, and on another connection nothing has been heard since: that
// one is dead, the host is not.
void Pool::answered(const std::string& server, Millis sentAt) {
    meanTime_ += kMeanStep * (clock_.now() - sentAt - meanTime_);
    const auto host = hosts_.find(server);
    if (host == hosts_.end() || host->second.connections.size() < 2) return;
    std::vector<Connection> dead;
    for (const Connection& c : host->second.connections)
        if (const auto since = c->quietSince(); since && *since + quietAfter() <= sentAt) dead.push_back(c);
    for (const Connection& c : dead) {
        counters_.add(Counter::silentConnections);
        log_.seldom("silent", "a connection to host {} fell silent: closed", field("host", server));
        c->close(HostConnection::End::spoilt);
    }
}

void Pool::abandon(AttemptId attempt) {
    const auto found = at_.find(attempt);
    if (found == at_.end()) return;
    const Connection c = found->second.lock();
    at_.erase(found);
    if (c) c->abandon(attempt);
}

void Pool::probe(const std::string& server) {
    const auto host = hosts_.find(server);
    const Connection c = host != hosts_.end() && host->second.endpoint ? pick(server, host->second) : nullptr;
    c ? c->probe() : exchange_.probed(server, Outcome::noConnection, 0);
}

void Pool::sweep() {
    timer_.expires_after(kSweepEvery);
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        const Millis before = clock_.now() - kIdleShare * limits_.idle;
        for (auto& [id, host] : hosts_)
            for (const Connection& c : std::vector<Connection>(host.connections))
                if (c->open() && c->idle() && c->idleSince() <= before) c->close(HostConnection::End::quiet);
        std::erase_if(hosts_, [](const auto& h) { return !h.second.listed && h.second.connections.empty(); });
        sweep();
    });
}

// ---- connections

HostConnection::HostConnection(Pool& pool, std::string server)
    : pool_(pool),
      server_(std::move(server)),
      socket_(pool.io()),
      timer_(pool.io()),
      lastUse_(pool.clock().now()) {}

void HostConnection::dial(const tcp::endpoint& to) {
    pool_.counters().add(Counter::dials);
    const auto self = shared_from_this();
    awaitDial(kDialBeside);
    socket_.async_connect(to, [self](asio::error_code error) {
        if (self->state_ != State::dialing) return;
        self->timer_.cancel();
        if (error) {
            self->pool_.counters().add(Counter::dialsFailed);
            self->pool_.log().seldom("dial " + self->server_, "could not connect to host {}: {}",
                                     field("host", self->server_), field("error", error.message()));
            return self->close(End::broken);
        }
        asio::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->socket_.set_option(asio::socket_base::send_buffer_size(self->pool_.limits().sendBuffer),
                                 ignored);
        self->socket_.non_blocking(true, ignored);  // writes and looks must not hold up the loop
        self->state_ = State::open;
        if (const auto host = self->pool_.hosts_.find(self->server_); host != self->pool_.hosts_.end())
            host->second.upAt = self->pool_.clock().now();
        self->used();
        self->read();
        self->fill();
    });
}

// Up to that share of a dial's time.
void HostConnection::awaitDial(double share) {
    timer_.expires_after(micros((share < 1 ? share : 1 - kDialBeside) * pool_.limits().dialTimeout));
    timer_.async_wait([self = shared_from_this(), share](asio::error_code error) {
        if (error || self->state_ != State::dialing) return;
        if (share < 1) {
            self->awaitDial(1);
            if (self->awaited()) self->pool_.dialBeside(self->server_);
            return;
        }
        self->pool_.counters().add(Counter::dialsFailed);
        self->pool_.log().seldom("dial " + self->server_, "host {} did not take a connection in time",
                                 field("host", self->server_));
        self->close(End::broken);
    });
}

// Whether anybody still wants what waits here. Of a copy: to be asked may bring and take calls.
bool HostConnection::awaited() {
    if (retired_) return false;
    std::vector<AttemptId> ids;
    for (const auto& call : waiting_)
        for (const Attempt& a : call) ids.push_back(a.id);
    return std::any_of(ids.begin(), ids.end(), [this](AttemptId id) { return pool_.exchange().wanted(id); });
}

void HostConnection::heard() { heard_ = pool_.clock().now(); }

std::optional<Millis> HostConnection::quietSince() const {
    const std::optional<Millis> oldest = oldestOut();
    return oldest ? std::optional(std::max(*oldest, heard_)) : std::nullopt;
}

Millis Pool::quietAfter() const { return std::max(kQuietLeast, kQuietMeans * meanTime_); }

bool HostConnection::quiet() const {
    const auto since = quietSince();
    return since && pool_.clock().now() - *since > pool_.quietAfter();
}

void HostConnection::used() { lastUse_ = pool_.clock().now(); }

bool HostConnection::peerEnded() {
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

void HostConnection::call(std::vector<Attempt> parts) {
    waiting_.push_back(std::move(parts));
    fill();
}

bool HostConnection::claim(const Attempt& attempt) {
    if (pool_.exchange().claim(attempt.id)) return true;
    pool_.at_.erase(attempt.id);
    return false;
}

void HostConnection::ended(AttemptId attempt, Outcome outcome, std::string_view value, Load load) {
    pool_.at_.erase(attempt);
    pool_.exchange().ended(attempt, outcome, value, std::move(load));
}

void HostConnection::probe() {
    const auto probe = std::make_shared<ProbeOut>();
    probe->sentAt = pool_.clock().now();
    probe->timer =
        std::make_shared<asio::steady_timer>(pool_.io(), micros(kProbeDials * pool_.limits().dialTimeout));
    probe->timer->async_wait([self = shared_from_this(), probe](asio::error_code error) {
        if (error || std::exchange(probe->over, true)) return;
        self->pool_.exchange().probed(self->server_, Outcome::timedOut,
                                      self->pool_.clock().now() - probe->sentAt);
    });
    probes_.push_back(probe);
    askProbe();
    fill();
}

void HostConnection::probeEnded(Outcome outcome, Load load) {
    if (probes_.empty()) return;
    const auto probe = probes_.front();
    probes_.pop_front();
    probe->timer->cancel();
    if (std::exchange(probe->over, true)) return;  // it had timed out
    pool_.exchange().probed(server_, outcome, pool_.clock().now() - probe->sentAt, std::move(load));
}

void HostConnection::retire() {
    retired_ = true;
    closeIfDone();
}

void HostConnection::closeIfDone() {
    if (retired_ && state_ != State::closed && idle()) close(End::quiet);
}

// What was never written is as good as new. It gets a further connection, whose dial then tells of the host.
void HostConnection::handBack() {
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& call : waiting)
        for (const Attempt& a : call) pool_.send(a);
}

void HostConnection::takeOver() {
    if (!open() || !usable() || quiet()) return;
    const auto host = pool_.hosts_.find(server_);
    if (host == pool_.hosts_.end()) return;
    for (const Pool::Connection& other : host->second.connections)
        while (other.get() != this && !other->retired_ && !other->waiting_.empty() &&
               load() < pool_.limits().calls) {
            for (const Attempt& a : other->waiting_.front()) pool_.at_[a.id] = weak_from_this();
            waiting_.push_back(std::move(other->waiting_.front()));
            other->waiting_.pop_front();
            pool_.counters().add(Counter::callsTakenOver);
        }
}

void HostConnection::close(End end) {
    if (state_ == State::closed) return;
    const bool dialing = state_ == State::dialing;
    state_ = State::closed;
    const auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (const auto host = pool_.hosts_.find(server_); host != pool_.hosts_.end())
        pool_.connections_ -= std::erase(host->second.connections, self);
    const std::vector<Lost> out = lost();
    if (!dialing && end != End::quiet) handBack();
    const auto waiting = std::exchange(waiting_, {});
    const auto probes = std::exchange(probes_, {});
    bool askAgain = false;
    for (const auto& probe : probes) {
        probe->timer->cancel();
        if (std::exchange(probe->over, true) || end == End::quiet) continue;
        if (end == End::broken)
            pool_.exchange().probed(server_, Outcome::noConnection, pool_.clock().now() - probe->sentAt);
        askAgain = end == End::spoilt;
    }
    if (end == End::quiet) return;
    if (askAgain) pool_.probe(server_);
    for (const Lost& part : out)
        ended(part.id,
              end == End::spoilt ? Outcome::cancelled
              : part.written     ? Outcome::connectionLost
                                 : Outcome::noConnection,
              {}, {});
    for (const auto& call : waiting)
        for (const Attempt& a : call) ended(a.id, Outcome::noConnection, {}, {});
    pool_.flush();
}

}  // namespace beechpoint::backend
