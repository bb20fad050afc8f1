#include "emulator/world.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::emulator {

namespace {

constexpr Millis kSecond = 1000;

}  // namespace

World::World(const Scenario& scenario, std::uint64_t seed, Sink sink)
    : scenario_(scenario),
      seed_(seed),
      sink_(std::move(sink)),
      places_(scenario.places()),
      directory_(scenario.gathererCount(), scenario.listLag, seed),
      desk_(scenario, seed),
      policy_(scenario.cancel) {
    std::vector<ListedHost> first;
    for (int place = 0; place < static_cast<int>(places_.size()); ++place) {
        standing_.push_back(newHost(place, 0, false, 0));
        const Host& host = hosts_.back();
        first.push_back({host.id, standing_.back(), place, host.site, ListedHost::State::ready, -1});
    }
    directory_.begin(first);
    for (const ListedHost& host : first)
        for (int g = 0; g < scenario_.gathererCount(); ++g) emitTold(g, host);
    for (Millis at = kSecond; at <= scenario_.length; at += kSecond)
        plan(at, [this](Millis now) { sample(now); });
    planScript();
}

void World::plan(Millis at, Work work) { agenda_.emplace(std::pair{at, planned_++}, std::move(work)); }

void World::emitTold(int gatherer, const ListedHost& host) {
    RunEvent e;
    e.kind = RunEvent::Kind::told;
    e.at = now_;
    e.gatherer = gatherer;
    e.host = host.host;
    e.hostName = host.id;
    e.state = host.state;
    emit(e);
}

void World::note(Millis scripted, std::string event, std::string detail) {
    notes_.push_back({scripted, called_, std::move(event), std::move(detail)});
}

int World::newHost(int place, Millis now, bool cold, std::uint64_t life) {
    const int index = static_cast<int>(hosts_.size());
    Host host;
    host.place = place;
    host.site = scenario_.siteOfPlace(place);
    // Ids tell nothing of place or age.
    host.id = fmt::format(
        "t-{:08x}", Draw(seed_, Purpose::hostId, static_cast<std::uint64_t>(index)).bits(life) & 0xffffffff);
    while (byName_.contains(host.id)) host.id += "x";
    host.startedAt = cold ? now : -1;
    host.model = std::make_unique<HostModel>(scenario_.host, policy_, seed_,
                                             static_cast<std::uint64_t>(index) << 8, now, cold);
    byName_[host.id] = index;
    hosts_.push_back(std::move(host));
    paths_.emplace_back(static_cast<std::size_t>(scenario_.gathererCount()), HostPath::State::refused);
    return index;
}

int World::hostByName(const std::string& id) const {
    const auto found = byName_.find(id);
    return found == byName_.end() ? -1 : found->second;
}

bool World::holds(int host, int slice) const { return scenario_.holds(at(host).place, slice); }

std::size_t World::hostsUp() const {
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [](const Host& h) { return h.model->alive(); }));
}
std::size_t World::hostsCold() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [](const Host& h) {
        return h.model->alive() && h.model->warmth() < 1;
    }));
}
std::size_t World::hostsCut() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [&](const Host& h) {
        return h.model->alive() && cuts_.contains(h.site);
    }));
}

// ---- time

Millis World::next() const {
    Millis at = std::min(desk_.next(), directory_.next());
    if (!agenda_.empty()) at = std::min(at, agenda_.begin()->first.first);
    for (const Host& host : hosts_) at = std::min(at, host.model->next());
    return std::max(at, now_);
}

void World::advance(Millis now, Happenings& out) {
    called_ = std::max(called_, now);
    // One thing at a time, in the order of time; of those at one time: the script and messages first, then
    // hosts, the list, and the clients.
    while (true) {
        const Millis at = next();
        if (at > now) break;
        now_ = at;
        while (!agenda_.empty() && agenda_.begin()->first.first <= now_) {
            const Work work = std::move(agenda_.begin()->second);
            agenda_.erase(agenda_.begin());
            work(now_);
        }
        for (std::size_t h = 0; h < hosts_.size(); ++h) {
            HostActions actions;
            if (hosts_[h].model->next() <= now_) hosts_[h].model->advance(now_, actions);
            carryOut(now_, static_cast<int>(h), actions);
        }
        std::vector<ListingTold> told;
        directory_.advance(now_, told);
        for (ListingTold& t : told) {
            for (const ListedHost& host : t.listing.hosts) emitTold(t.gatherer, host);
            pending_.push_back(ListTold{t.gatherer, std::move(t.listing)});
        }
        ClientActions clients;
        desk_.advance(now_, clients);
        for (const TryPtr& t : clients.left) {
            RunEvent e;
            e.kind = RunEvent::Kind::left;
            e.at = now_;
            e.tryNumber = t->number;
            emit(e);
            pending_.push_back(ClientLeft{t});
        }
        for (const TryPtr& t : clients.sent) {
            queryOfTry_.resize(t->number + 1);
            queryOfTry_[t->number] = t->query;
            RunEvent e;
            e.kind = RunEvent::Kind::taken;
            e.at = now_;
            e.gatherer = t->gatherer;
            e.tryNumber = t->number;
            e.request = t;
            emit(e);
            pending_.push_back(QueryOut{t});
        }
        if (!pending_.empty()) break;  // carried out before time goes on
    }
    if (pending_.empty()) now_ = std::max(now_, now);
    out.insert(out.end(), std::make_move_iterator(pending_.begin()), std::make_move_iterator(pending_.end()));
    pending_.clear();
}

void World::carryOut(Millis now, int host, const HostActions& actions) {
    for (const HostAction& action : actions) {
        if (action.kind == HostAction::Kind::ended) {
            answer(now, action.ticket, action.end);
            continue;
        }
        RunEvent e;
        e.kind = RunEvent::Kind::pushedOver;
        e.at = now;
        e.host = host;
        e.hostName = at(host).id;
        emit(e);
        note(now, "fell_over", places_[static_cast<std::size_t>(at(host).place)]);
        killHost(now, host, Host::State::down);
        list(now, host, ListedHost::State::gone);
    }
}

void World::sample(Millis when) {
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
        Host& host = hosts_[h];
        if (!host.model->alive()) continue;
        HostActions actions;
        host.model->advance(when, actions);
        carryOut(when, static_cast<int>(h), actions);
        samples_.push_back({when, static_cast<int>(h), host.offered, host.offeredWork, host.model->capacity(),
                            host.model->inWork(), host.model->waiting(), host.model->connections(),
                            host.model->report(when)});
        host.offered = 0;
        host.offeredWork = 0;
    }
}

// ---- towards clients

void World::answered(Millis now, std::uint64_t tryNumber, bool whole,
                     std::vector<std::pair<int, std::string>> parts) {
    RunEvent e;
    e.whole = whole;
    e.parts = std::move(parts);
    double share = 0;
    if (const TryPtr asked = desk_.find(tryNumber))
        for (const TryPart& part : asked->parts)
            if (std::any_of(e.parts.begin(), e.parts.end(), [&](auto& p) { return p.first == part.slice; }))
                share += part.share;
    finalCame(now, tryNumber, TryEnd::answered, 0, std::move(e), share);
}

void World::refused(Millis now, std::uint64_t tryNumber, Millis retryAfter) {
    finalCame(now, tryNumber, TryEnd::refused, retryAfter, {});
}

void World::failed(Millis now, std::uint64_t tryNumber) { finalCame(now, tryNumber, TryEnd::failed, 0, {}); }

void World::finalCame(Millis now, std::uint64_t tryNumber, TryEnd end, Millis retryAfter, RunEvent e,
                      double share) {
    e.kind = RunEvent::Kind::final;
    e.at = now;
    e.tryNumber = tryNumber;
    e.end = end;
    emit(e);
    desk_.ended(now, tryNumber, end, retryAfter, share);
}

void World::connectionFailed(Millis now, std::uint64_t tryNumber, bool written) {
    if (!written) {  // nobody took it: nothing is owed
        RunEvent e;
        e.kind = RunEvent::Kind::left;
        e.at = now;
        e.tryNumber = tryNumber;
        emit(e);
    }
    desk_.lost(now, tryNumber);
}

void World::gathererReady(Millis now, int gatherer) {
    RunEvent e;
    e.kind = RunEvent::Kind::gathererUp;
    e.at = now;
    e.gatherer = gatherer;
    emit(e);
    desk_.gathererUp(gatherer);
}

void World::gathererDied(Millis now, int gatherer) {
    RunEvent e;
    e.kind = RunEvent::Kind::gathererDown;
    e.at = now;
    e.gatherer = gatherer;
    emit(e);
    desk_.gathererDown(now, gatherer);
    desk_.lostAt(now, gatherer);
    std::vector<ConnId> ended;
    for (const auto& [id, conn] : conns_)
        if (conn.gatherer == gatherer) ended.push_back(id);
    std::sort(ended.begin(), ended.end());
    for (const ConnId id : ended) hangUp(now, id);
}

// ---- parts

Millis World::workOf(std::uint64_t query, int slice) const {
    Millis work = desk_.work(query, slice);
    const QueryRecord& q = desk_.queries()[query];
    for (const Costly& c : costly_)
        if (c.klass == q.klass && q.at >= c.from && q.at < c.until &&
            desk_.unitOf(query, Purpose::costly) < c.share)
            work *= c.factor;
    return work;
}

std::string World::valueOf(std::uint64_t tryNumber, int slice, int host) const {
    return fmt::format("{:016x}",
                       Draw(seed_, Purpose::value, tryNumber)
                           .bits(static_cast<std::uint64_t>(slice) << 32 | static_cast<std::uint64_t>(host)));
}

void World::answer(Millis now, PartTicket ticket, PartEnd end) {
    const auto found = parts_.find(ticket);
    if (found == parts_.end()) return;
    const PartOut part = found->second;
    parts_.erase(found);
    const auto key = std::tuple{part.conn, part.tryNumber, part.slice};
    if (const auto held = tickets_.find(key); held != tickets_.end() && held->second == ticket)
        tickets_.erase(held);
    PartAnswer reply{part.conn, part.tryNumber, part.slice, end, {}, {}};
    if (!scenario_.reportsByProbe) reply.report = at(part.host).model->report(now);
    if (end != PartEnd::failed) {
        if (end == PartEnd::done) reply.value = valueOf(part.tryNumber, part.slice, part.host);
        RunEvent e;
        e.kind = end == PartEnd::done ? RunEvent::Kind::given : RunEvent::Kind::turnedAway;
        e.at = now;
        e.tryNumber = part.tryNumber;
        e.host = part.host;
        e.hostName = at(part.host).id;
        e.slice = part.slice;
        e.value = reply.value;
        emit(e);
    }
    toGatherer(now, part.conn, [this, reply](Millis) { pending_.push_back(reply); });
}

}  // namespace beechpoint::emulator
