#include "emulator/virtual_pool.hpp"

#include <algorithm>

namespace beechpoint::emulator {

Load loadOf(const std::optional<HostReport>& report) {
    if (!report) return {};
    return {{"inflight", report->inflight}, {"queue", report->queue}, {"qps", report->qps}};
}

VirtualPool::VirtualPool(World& world, const Clock& clock, int gatherer, Limits limits)
    : world_(world), clock_(clock), gatherer_(gatherer), limits_(limits) {}

// The connection with the least on it; a new one where all that are up are full. 0: none can be had.
ConnId VirtualPool::choose(const std::string& server) {
    ConnId best = 0;
    std::size_t count = 0;
    for (const auto& [id, c] : connections_) {
        if (c.server != server) continue;
        ++count;
        if (best == 0 || c.load() < connections_.at(best).load()) best = id;
    }
    if (best != 0 && (connections_.at(best).load() < limits_.calls || count >= limits_.perHost)) return best;
    const int host = world_.hostByName(server);
    if (host < 0) return 0;
    const ConnId id = world_.dial(clock_.now() - Clock::kOrigin, gatherer_, host);
    Connection& c = connections_[id];
    c.server = server;
    c.dialedAt = clock_.now();
    return id;
}

void VirtualPool::flush() {
    if (flushing_) return;  // what an attempt's end brings is seen to by the call further up
    flushing_ = true;
    while (!sent_.empty()) {
        const std::vector<Attempt> now = std::move(sent_);
        sent_.clear();
        for (const Attempt& attempt : now) {
            const ConnId id = choose(attempt.server);
            if (id == 0) {
                exchange_->ended(attempt.id, Outcome::noConnection);
                continue;
            }
            connections_.at(id).waiting.push_back(
                {attempt.id, tryNumber(attempt.request->id), attempt.slice, attempt.until});
            at_[attempt.id] = id;
            fill(id);
        }
    }
    flushing_ = false;
}

void VirtualPool::fill(ConnId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.up) return;
    Connection& c = found->second;
    while (!c.waiting.empty() && c.out.size() < limits_.calls) {
        const Part part = c.waiting.front();
        c.waiting.pop_front();
        if (!exchange_->claim(part.id)) {
            at_.erase(part.id);
            continue;
        }
        c.out[{part.tryNumber, part.slice}] = part;
        world_.send(clock_.now() - Clock::kOrigin, id, part.tryNumber, part.slice,
                    std::max(1.0, std::floor(part.until - clock_.now())));
    }
}

void VirtualPool::abandon(AttemptId attempt) {
    const auto found = at_.find(attempt);
    if (found == at_.end()) return;
    const ConnId id = found->second;
    at_.erase(found);
    Connection& c = connections_.at(id);
    std::erase_if(c.waiting, [&](const Part& p) { return p.id == attempt; });
    const auto out =
        std::find_if(c.out.begin(), c.out.end(), [&](const auto& o) { return o.second.id == attempt; });
    if (out == c.out.end()) return;
    world_.cancel(clock_.now() - Clock::kOrigin, id, out->second.tryNumber, out->second.slice);
    c.out.erase(out);
    fill(id);
}

void VirtualPool::probe(const std::string& server) {
    const ConnId id = choose(server);
    if (id == 0) return exchange_->probed(server, Outcome::noConnection, 0);
    connections_.at(id).probes.push_back(clock_.now());
    if (connections_.at(id).up) world_.probe(clock_.now() - Clock::kOrigin, id, true);
}

// ---- what the world says

void VirtualPool::onUp(ConnId conn) {
    const auto found = connections_.find(conn);
    if (found == connections_.end()) return;
    found->second.up = true;
    for (std::size_t i = 0; i < found->second.probes.size(); ++i)
        world_.probe(clock_.now() - Clock::kOrigin, conn, true);
    fill(conn);
}

void VirtualPool::onGone(ConnId conn) {
    const auto found = connections_.find(conn);
    if (found == connections_.end()) return;
    const Connection c = std::move(found->second);
    connections_.erase(found);
    for (const Part& part : c.waiting) at_.erase(part.id);
    for (const auto& [key, part] : c.out) at_.erase(part.id);
    for (const Part& part : c.waiting) exchange_->ended(part.id, Outcome::noConnection);
    for (const auto& [key, part] : c.out) exchange_->ended(part.id, Outcome::connectionLost);
    for (const Millis asked : c.probes)
        exchange_->probed(c.server, c.up ? Outcome::connectionLost : Outcome::noConnection,
                          clock_.now() - asked);
}

void VirtualPool::onAnswer(const PartAnswer& answer) {
    const auto found = connections_.find(answer.conn);
    if (found == connections_.end()) return;
    const auto out = found->second.out.find({answer.tryNumber, answer.slice});
    if (out == found->second.out.end()) return;  // given up meanwhile
    const AttemptId id = out->second.id;
    found->second.out.erase(out);
    at_.erase(id);
    const Outcome outcome = answer.end == PartEnd::done     ? Outcome::served
                            : answer.end == PartEnd::failed ? Outcome::error
                                                            : Outcome::turnedAway;
    exchange_->ended(id, outcome, answer.value, loadOf(answer.report));
    fill(answer.conn);
}

void VirtualPool::onProbe(const ProbeAnswer& answer) {
    const auto found = connections_.find(answer.conn);
    if (found == connections_.end() || found->second.probes.empty()) return;
    const Millis asked = found->second.probes.front();
    found->second.probes.pop_front();
    exchange_->probed(found->second.server, Outcome::served, clock_.now() - asked, loadOf(answer.report));
}

// ---- time

Millis VirtualPool::next() const {
    Millis at = 1e300;
    for (const auto& [id, c] : connections_) {
        if (!c.up) at = std::min(at, c.dialedAt + limits_.dialTimeout);
        if (!c.probes.empty()) at = std::min(at, c.probes.front() + limits_.dialTimeout);
    }
    return at;
}

void VirtualPool::advance(Millis now) {
    std::vector<ConnId> dials;
    for (const auto& [id, c] : connections_)
        if (!c.up && c.dialedAt + limits_.dialTimeout <= now) dials.push_back(id);
    for (const ConnId id : dials) {
        world_.hangUp(now - Clock::kOrigin, id);
        onGone(id);
    }
    std::vector<std::pair<std::string, Millis>> late;
    for (auto& [id, c] : connections_)
        while (!c.probes.empty() && c.probes.front() + limits_.dialTimeout <= now) {
            late.emplace_back(c.server, c.probes.front());
            c.probes.pop_front();
        }
    for (const auto& [server, asked] : late) exchange_->probed(server, Outcome::timedOut, now - asked);
}

}  // namespace beechpoint::emulator
