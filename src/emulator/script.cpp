// The script's events, each spelled out as steps on the world's agenda.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "emulator/world.hpp"

namespace beechpoint::emulator {

namespace {

constexpr Millis kFrontHears = 300;  // of a planned stop: the gatherer itself says so

}  // namespace

void World::planScript() {
    plan(0, [this](Millis) { tellPaths(); });
    for (int g = 0; g < scenario_.gathererCount(); ++g)
        plan(0, [this, g](Millis) { pending_.push_back(GathererOrder{g, GathererOrder::What::start}); });
    for (const Event& e : scenario_.script) switch (e.kind) {
            case Event::Kind::deploy:
                planDeploy(e);
                break;
            case Event::Kind::siteCut:
            case Event::Kind::siteLost:
                planSite(e);
                break;
            case Event::Kind::slow:
            case Event::Kind::pause:
            case Event::Kind::crash:
                planHosts(e);
                break;
            case Event::Kind::costly:
                for (std::size_t i = 0; i < scenario_.classes.size(); ++i)
                    if (scenario_.classes[i].name == e.klass)
                        costly_.push_back({static_cast<int>(i), e.share, e.factor, e.at, e.at + e.lasts});
                plan(e.at, [this, &e](Millis) { note(e.at, "costly", e.klass); });
                plan(e.at + e.lasts, [this, &e](Millis) { note(e.at + e.lasts, "costly_over", e.klass); });
                break;
            case Event::Kind::cancelPolicy:
                plan(e.at, [this, &e](Millis now) {
                    note(e.at, "cancel_policy",
                         fmt::format("dropsWaiting={} stopsRunning={} beginsOverdue={}",
                                     e.policy.dropsWaiting, e.policy.stopsRunning, e.policy.beginsOverdue));
                    policy_ = e.policy;
                    for (std::size_t h = 0; h < hosts_.size(); ++h) {
                        HostActions actions;
                        hosts_[h].model->policy(now, policy_, actions);
                        carryOut(now, static_cast<int>(h), actions);
                    }
                });
                break;
            case Event::Kind::gathererKill:
            case Event::Kind::gathererRestart:
            case Event::Kind::gathererReload:
            case Event::Kind::discoverySilent:
                planGatherers(e);
                break;
        }
}

int World::hostAtPlace(const std::string& place) const {
    const auto found = std::find(places_.begin(), places_.end(), place);
    return standing_[static_cast<std::size_t>(found - places_.begin())];
}

void World::list(Millis now, int host, ListedHost::State state) {
    const Host& h = at(host);
    directory_.change(now, {h.id, host, h.place, h.site, state, h.startedAt});
}

// ---- hosts

// A new machine with a new id takes the place, `start` after the old one stopped. It comes up whether or not
// its site can be reached just then: nobody outside sees it.
void World::replaceHost(Millis now, int host, Millis scripted, Millis start) {
    const std::string place = places_[static_cast<std::size_t>(at(host).place)];
    if (at(host).model->alive()) {
        note(scripted, "stopped", place);
        killHost(now, host, Host::State::down);
        list(now, host, ListedHost::State::gone);
    }
    plan(scripted + start, [this, host, scripted = scripted + start](Millis then) {
        const int index = at(host).place;
        const int next = newHost(index, then, true, 1);
        standing_[static_cast<std::size_t>(index)] = next;
        if (lostSites_.contains(at(next).site)) killHost(then, next, Host::State::vanished);
        note(scripted, "started", places_[static_cast<std::size_t>(index)] + " " + at(next).id);
        list(then, next, ListedHost::State::ready);
        tellPaths();
    });
}

void World::killHost(Millis now, int host, Host::State state) {
    HostActions actions;
    Host& h = at(host);
    h.model->die(now, actions);
    h.state = state;
    ++h.starts;
    carryOut(now, host, actions);
    std::vector<PartTicket> gone;
    for (const auto& [ticket, part] : parts_)
        if (part.host == host) gone.push_back(ticket);
    for (const PartTicket ticket : gone) {
        const PartOut& part = parts_.at(ticket);
        tickets_.erase({part.conn, part.tryNumber, part.slice});
        parts_.erase(ticket);
    }
    if (state != Host::State::vanished) resetConns(now, host);  // a machine that vanished says nothing
    tellPaths();
}

// The same machine again: its old id, a new start.
void World::startHost(Millis now, int host, Millis scripted) {
    Host& h = at(host);
    if (h.model->alive()) return;
    // A deploy may have given the place to another by now.
    if (standing_[static_cast<std::size_t>(h.place)] != host) return;
    h.model = std::make_unique<HostModel>(scenario_.host, policy_, seed_,
                                          (static_cast<std::uint64_t>(host) << 8) + h.starts, now, true);
    resetConns(now, host);  // what the machine left open when it vanished
    h.state = Host::State::up;
    h.startedAt = now;
    note(scripted, "returned", places_[static_cast<std::size_t>(h.place)]);
    list(now, host, ListedHost::State::ready);
    tellPaths();
}

void World::planDeploy(const Event& e) {
    const auto batch = static_cast<std::size_t>(
        std::max(1.0, std::floor(e.batchShare * static_cast<double>(e.hosts.size()))));
    for (std::size_t i = 0; i < e.hosts.size(); ++i) {
        const Millis when = e.at + static_cast<double>(i / batch) * e.every;
        plan(when, [this, &e, when, place = e.hosts[i]](Millis now) {
            const int host = hostAtPlace(place);
            note(when, "drain", place);
            if (at(host).state == Host::State::up) {
                HostActions actions;
                at(host).model->drain(now, actions);
                carryOut(now, host, actions);
                at(host).state = Host::State::draining;
                list(now, host, ListedHost::State::terminating);
            }
            plan(when + e.drain,
                 [this, &e, host, when](Millis then) { replaceHost(then, host, when + e.drain, e.start); });
        });
    }
}

void World::planHosts(const Event& e) {
    if (e.kind == Event::Kind::slow) {
        plan(e.at, [this, &e](Millis now) {
            note(e.at, "slow", fmt::format("{} hosts", e.hosts.size()));
            for (const std::string& place : e.hosts) {
                HostActions actions;
                const int host = hostAtPlace(place);
                at(host).model->slow(now, e.factor, e.at + e.lasts, actions);
                carryOut(now, host, actions);
            }
        });
        plan(e.at + e.lasts, [this, &e](Millis) { note(e.at + e.lasts, "slow_over", ""); });
        return;
    }
    if (e.kind == Event::Kind::crash) {
        for (const std::string& place : e.hosts)
            plan(e.at, [this, &e, place](Millis now) {
                const int host = hostAtPlace(place);
                note(e.at, "crash", place);
                if (!at(host).model->alive()) return;
                killHost(now, host, Host::State::down);
                list(now, host, ListedHost::State::gone);
                plan(e.at + e.start,
                     [this, &e, host](Millis then) { startHost(then, host, e.at + e.start); });
            });
        return;
    }
    // Each host's pauses begin at times of its own, so that they do not fall together.
    for (std::size_t i = 0; i < e.hosts.size(); ++i) {
        const double offset =
            e.every > 0 ? e.every * static_cast<double>(i) / static_cast<double>(e.hosts.size()) : 0;
        const Millis end = e.every > 0 ? e.at + e.lasts : e.at + 1;
        for (Millis when = e.at + offset; when < end; when += std::max(e.every, 1.0))
            plan(when, [this, &e, when, place = e.hosts[i]](Millis now) {
                note(when, "pause", place);
                HostActions actions;
                const int host = hostAtPlace(place);
                at(host).model->pause(now, when + e.pauseLength, actions);
                carryOut(now, host, actions);
            });
    }
}

// ---- sites

void World::cutSite(Millis, int site, bool answersLost) {
    cuts_[site] = {answersLost};
    for (int g = 0; g < scenario_.gathererCount(); ++g)
        if (scenario_.siteOfGatherer(g) == site) {  // discovery stands outside
            directory_.mute(g);
            pending_.push_back(ListMuted{g, true});
        }
    tellPaths();
}

void World::healSite(Millis now, int site) {
    if (cuts_.erase(site) == 0) return;
    for (int g = 0; g < scenario_.gathererCount(); ++g)
        if (scenario_.siteOfGatherer(g) == site) {
            directory_.unmute(g);
            pending_.push_back(ListMuted{g, !directory_.speaks(g)});
        }
    flushHeld(now);
    tellPaths();
}

void World::planSite(const Event& e) {
    const int site = scenario_.siteIndex(e.site);
    if (e.kind == Event::Kind::siteCut) {
        plan(e.at, [this, &e, site](Millis now) {
            note(e.at, "site_cut", e.site);
            cutSite(now, site, e.answersLost);
        });
        plan(e.at + e.lasts, [this, &e, site](Millis now) {
            note(e.at + e.lasts, "site_healed", e.site);
            healSite(now, site);
        });
        return;
    }
    plan(e.at, [this, &e, site](Millis now) {
        note(e.at, "site_lost", e.site);
        lostSites_.insert(site);
        for (const std::string& place : e.hosts) {
            const int host = hostAtPlace(place);
            if (!at(host).model->alive()) continue;
            killHost(now, host, Host::State::vanished);
            list(now, host, ListedHost::State::gone);
        }
        for (int g = 0; g < scenario_.gathererCount(); ++g)
            if (scenario_.siteOfGatherer(g) == site)
                pending_.push_back(GathererOrder{g, GathererOrder::What::kill});
    });
    plan(e.at + e.lasts, [this, &e, site](Millis now) {
        note(e.at + e.lasts, "site_back", e.site);
        lostSites_.erase(site);
        for (const std::string& place : e.hosts) startHost(now, hostAtPlace(place), e.at + e.lasts);
        for (int g = 0; g < scenario_.gathererCount(); ++g)
            if (scenario_.siteOfGatherer(g) == site)
                pending_.push_back(GathererOrder{g, GathererOrder::What::start});
    });
}

// ---- gatherers

void World::planGatherers(const Event& e) {
    for (const int g : e.gatherers) {
        const std::string name = fmt::format("g{}", g);
        if (e.kind == Event::Kind::gathererReload) {
            plan(e.at, [this, &e, g, name](Millis) {
                note(e.at, "gatherer_reload", name);
                pending_.push_back(GathererOrder{g, GathererOrder::What::reload});
            });
            continue;
        }
        if (e.kind == Event::Kind::discoverySilent) {
            plan(e.at, [this, &e, g, name](Millis) {
                note(e.at, "discovery_silent", name);
                directory_.mute(g);
                pending_.push_back(ListMuted{g, true});
            });
            plan(e.at + e.lasts, [this, &e, g, name](Millis) {
                note(e.at + e.lasts, "discovery_speaks", name);
                directory_.unmute(g);
                pending_.push_back(ListMuted{g, !directory_.speaks(g)});
            });
            continue;
        }
        const bool kill = e.kind == Event::Kind::gathererKill;
        plan(e.at, [this, &e, g, name, kill](Millis now) {
            note(e.at, kill ? "gatherer_kill" : "gatherer_restart", name);
            pending_.push_back(
                GathererOrder{g, kill ? GathererOrder::What::kill : GathererOrder::What::terminate});
            if (!kill) plan(now + kFrontHears, [this, g](Millis) { desk_.gathererLeaves(g); });
        });
        plan(e.at + e.start, [this, &e, g, name](Millis) {
            note(e.at + e.start, "gatherer_start", name);
            pending_.push_back(GathererOrder{g, GathererOrder::What::start});
        });
    }
}

}  // namespace beechpoint::emulator
