// The world's connections: what lies between sites, and what is held while a site is cut off. A message that
// was on its way when a cut began still arrives; what is written later waits, in order, as TCP holds it.
#include <algorithm>

#include "emulator/world.hpp"

namespace beechpoint::emulator {

bool World::pathOpen(int siteA, int siteB) const {
    return siteA == siteB || (!cuts_.contains(siteA) && !cuts_.contains(siteB));
}

HostPath::State World::path(int host, int gatherer) const {
    const Host& h = at(host);
    if (h.state == Host::State::vanished || !pathOpen(h.site, scenario_.siteOfGatherer(gatherer)))
        return HostPath::State::silent;
    return h.state == Host::State::down ? HostPath::State::refused : HostPath::State::open;
}

void World::tellPaths() {
    for (std::size_t h = 0; h < hosts_.size(); ++h)
        for (int g = 0; g < scenario_.gathererCount(); ++g) {
            const HostPath::State now = path(static_cast<int>(h), g);
            HostPath::State& told = paths_[h][static_cast<std::size_t>(g)];
            if (told == now) continue;
            told = now;
            pending_.push_back(HostPath{static_cast<int>(h), g, now});
        }
}

Millis World::delay(const Conn& conn, std::uint64_t index, ConnId id) const {
    const bool same = at(conn.host).site == scenario_.siteOfGatherer(conn.gatherer);
    const Range& range = same ? scenario_.sameSite : scenario_.crossSite;
    return Draw(seed_, Purpose::delay, id).between(range.from, range.to, index);
}

void World::toHost(Millis now, ConnId id, Work work) {
    Conn& conn = conns_.at(id);
    if (!conn.heldToHost.empty() || !pathOpen(at(conn.host).site, scenario_.siteOfGatherer(conn.gatherer))) {
        conn.heldToHost.push_back(std::move(work));
        return;
    }
    conn.lastToHost =
        std::max(conn.lastToHost, now + delay(conn, conn.messages++, id));  // bytes keep their order
    plan(conn.lastToHost, [this, id, work = std::move(work)](Millis then) {
        const auto found = conns_.find(id);
        if (found == conns_.end()) return;
        const Host& host = at(found->second.host);
        if (host.model->alive() && host.starts == found->second.hostStarts) work(then);
    });
}

void World::toGatherer(Millis now, ConnId id, Work work) {
    const auto found = conns_.find(id);
    if (found == conns_.end()) return;  // hung up meanwhile: nobody hears it
    Conn& conn = found->second;
    const int site = at(conn.host).site;
    if (!conn.heldToGatherer.empty() || !pathOpen(site, scenario_.siteOfGatherer(conn.gatherer))) {
        for (const auto& [cut, how] : cuts_)
            if (how.answersLost && (cut == site || cut == scenario_.siteOfGatherer(conn.gatherer))) return;
        conn.heldToGatherer.push_back(std::move(work));
        return;
    }
    conn.lastToGatherer = std::max(conn.lastToGatherer, now + delay(conn, conn.messages++, id));
    plan(conn.lastToGatherer, [this, id, work = std::move(work)](Millis then) {
        if (conns_.contains(id)) work(then);
    });
}

// What waited goes on in its order, as if written now.
void World::flushHeld(Millis now) {
    std::vector<ConnId> ids;
    for (const auto& [id, conn] : conns_)
        if (!conn.heldToHost.empty() || !conn.heldToGatherer.empty()) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const ConnId id : ids) {
        Conn& conn = conns_.at(id);
        if (!pathOpen(at(conn.host).site, scenario_.siteOfGatherer(conn.gatherer))) continue;
        auto toHosts = std::move(conn.heldToHost), toGatherers = std::move(conn.heldToGatherer);
        conn.heldToHost.clear();
        conn.heldToGatherer.clear();
        for (Work& work : toHosts) toHost(now, id, std::move(work));
        for (Work& work : toGatherers) toGatherer(now, id, std::move(work));
    }
}

ConnId World::dial(Millis now, int gatherer, int host) {
    const ConnId id = ++lastConn_;
    Conn& conn = conns_[id];
    conn.gatherer = gatherer;
    conn.host = host;
    conn.hostStarts = at(host).starts;
    const HostPath::State state = path(host, gatherer);
    if (state == HostPath::State::silent) return id;  // never comes up
    if (state == HostPath::State::refused) {
        plan(now + 2 * delay(conn, conn.messages++, id), [this, id](Millis) {
            if (conns_.erase(id) > 0) pending_.push_back(ConnRefused{id});
        });
        return id;
    }
    toHost(now, id, [this, id](Millis then) {
        Conn& c = conns_.at(id);
        Host& h = at(c.host);
        HostActions actions;
        const bool taken = h.model->connect(then, actions);
        carryOut(then, c.host, actions);
        if (!conns_.contains(id)) return;  // what it ended with took the host
        if (taken) {
            c.up = true;
            h.conns.insert(id);
        }
        plan(then + (taken ? scenario_.host.handshakeTime : 0), [this, id, taken](Millis later) {
            toGatherer(later, id, [this, id, taken](Millis) {
                if (taken)
                    pending_.push_back(ConnUp{id});
                else if (conns_.erase(id) > 0)
                    pending_.push_back(ConnRefused{id});
            });
        });
    });
    return id;
}

void World::hangUp(Millis now, ConnId id) {
    const auto found = conns_.find(id);
    if (found == conns_.end()) return;
    Host& host = at(found->second.host);
    if (found->second.up && host.conns.erase(id) > 0) {
        HostActions actions;
        host.model->disconnect(now, actions);
        carryOut(now, found->second.host, actions);
    }
    conns_.erase(id);
}

// The host's process is gone: its connections are reset, once that can be heard.
void World::resetConns(Millis now, int host) {
    const std::set<ConnId> ids = std::move(at(host).conns);
    at(host).conns.clear();
    for (const ConnId id : ids) {
        const auto found = conns_.find(id);
        if (found == conns_.end()) continue;
        found->second.up = false;
        found->second.heldToHost.clear();
        toGatherer(now, id, [this, id](Millis) {
            if (conns_.erase(id) > 0) pending_.push_back(ConnReset{id});
        });
    }
}

void World::send(Millis now, ConnId id, std::uint64_t tryNumber, int slice, Millis wait) {
    const auto found = conns_.find(id);
    if (found == conns_.end()) return;
    const Conn& conn = found->second;
    RunEvent e;
    e.kind = RunEvent::Kind::sent;
    e.at = now;
    e.gatherer = conn.gatherer;
    e.tryNumber = tryNumber;
    e.host = conn.host;
    e.hostName = at(conn.host).id;
    e.slice = slice;
    e.cold = at(conn.host).model->alive() && at(conn.host).model->warmth() < 1;
    emit(e);
    if (tryNumber == 0 || tryNumber >= queryOfTry_.size() || !holds(conn.host, slice)) {
        e.kind = RunEvent::Kind::unasked;
        emit(e);
        return;
    }
    const PartTicket ticket = ++lastTicket_;
    parts_[ticket] = {id, conn.host, tryNumber, slice};
    tickets_[{id, tryNumber, slice}] = ticket;
    toHost(now, id, [this, ticket, host = conn.host, tryNumber, slice, until = now + wait](Millis then) {
        Host& h = at(host);
        const Millis work = workOf(queryOfTry_[tryNumber], slice);
        ++h.offered;
        h.offeredWork += work;
        HostActions actions;
        h.model->offer(then, ticket, work, until, actions);
        carryOut(then, host, actions);
    });
}

void World::cancel(Millis now, ConnId id, std::uint64_t tryNumber, int slice) {
    const auto held = tickets_.find({id, tryNumber, slice});
    const auto found = conns_.find(id);
    if (held == tickets_.end() || found == conns_.end()) return;
    const PartTicket ticket = held->second;
    tickets_.erase(held);
    toHost(now, id, [this, ticket, host = found->second.host](Millis then) {
        parts_.erase(ticket);
        HostActions actions;
        at(host).model->cancel(then, ticket, actions);
        carryOut(then, host, actions);
    });
}

void World::probe(Millis now, ConnId id, bool load) {
    const auto found = conns_.find(id);
    if (found == conns_.end()) return;
    toHost(now, id, [this, id, host = found->second.host, load](Millis then) {
        HostActions actions;
        at(host).model->probe(then, actions);
        carryOut(then, host, actions);
        const ProbeAnswer reply{id, load, at(host).model->report(then)};
        toGatherer(then, id, [this, reply](Millis) { pending_.push_back(reply); });
    });
}

}  // namespace beechpoint::emulator
