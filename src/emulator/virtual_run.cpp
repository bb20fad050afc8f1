#include "emulator/virtual_run.hpp"

#include <algorithm>
#include <optional>

#include "coordinator/settings_json.hpp"
#include "core/counters.hpp"
#include "core/exchange.hpp"
#include "core/logger.hpp"
#include "emulator/gatherer_settings.hpp"
#include "emulator/virtual_pool.hpp"

namespace beechpoint::emulator {

namespace {

constexpr Millis kNever = 1e300;
constexpr Millis kLinger = 20'000;  // after the script's end, for what is still out

coordinator::ServerState stateOf(ListedHost::State state) {
    switch (state) {
        case ListedHost::State::ready:
            return coordinator::ServerState::up;
        case ListedHost::State::terminating:
            return coordinator::ServerState::draining;
        case ListedHost::State::gone:
            break;
    }
    return coordinator::ServerState::removed;
}

HostEntry entryOf(const ListedHost& host, const Scenario& scenario) {
    HostEntry e;
    e.entry.id = host.id;
    e.entry.state = stateOf(host.state);
    e.entry.cell = scenario.cellOf(host.place);
    e.entry.zone = scenario.sites[static_cast<std::size_t>(host.site)].name;
    e.entry.kind = "emulated";
    e.entry.startedAt = host.startedAt < 0 ? 0 : toNanos(Clock::kOrigin + host.startedAt);
    return e;
}

class ModuleGatherer final : public VirtualGatherer {
public:
    ModuleGatherer(World& world, const Clock& clock, int gatherer, std::uint64_t seed)
        : world_(world),
          clock_(clock),
          log_(clock, logging::Format::text, -1),
          settings_(coordinator::readSettings(gathererSettings(world.scenario(), gatherer))),
          pool_(world, clock, gatherer,
                {fromNanos(settings_.dialTimeout),
                 static_cast<std::size_t>(world.scenario().callsPerConnection), 16}),
          exchange_(settings_, seed, clock, counters_, log_, [this](Millis at) { wakeAt_ = at; }) {
        exchange_.attach(pool_);
        pool_.attach(exchange_);
    }

    void list(const Listing& listing, bool remembered) override {
        HostList list;
        list.kind = remembered         ? coordinator::ListKind::remembered
                    : listing.complete ? coordinator::ListKind::complete
                                       : coordinator::ListKind::changes;
        for (const ListedHost& host : listing.hosts) list.entries.push_back(entryOf(host, world_.scenario()));
        exchange_.list(list);
    }
    void take(const TryPtr& t) override {
        Request r;
        r.id = t->id();
        r.klass = world_.scenario().classes[static_cast<std::size_t>(t->klass)].name;
        r.key = t->key;
        r.repeat = t->repeat;
        r.expires = Clock::kOrigin + t->expires;
        for (const TryPart& part : t->parts) r.parts.push_back({part.slice, part.share});
        r.text = r.id;
        const Ticket ticket =
            exchange_.take(std::move(r), [this, number = t->number](const Final& f) { finish(number, f); });
        if (ticket != 0 && !ended_) tickets_[t->number] = ticket;
        ended_ = false;
    }
    void gone(std::uint64_t number) override {
        const auto found = tickets_.find(number);
        if (found == tickets_.end()) return;
        const Ticket ticket = found->second;
        tickets_.erase(found);
        exchange_.gone(ticket);
    }
    void onUp(ConnId conn) override { pool_.onUp(conn); }
    void onGone(ConnId conn) override { pool_.onGone(conn); }
    void onAnswer(const PartAnswer& answer) override { pool_.onAnswer(answer); }
    void onProbe(const ProbeAnswer& answer) override { pool_.onProbe(answer); }
    Millis next() const override { return std::min(wakeAt_, pool_.next()); }
    void advance() override {
        if (wakeAt_ <= clock_.now()) {
            wakeAt_ = kNever;
            exchange_.tick();
        }
        pool_.advance(clock_.now());
    }

private:
    void finish(std::uint64_t number, const Final& f) {
        const Millis now = clock_.now() - Clock::kOrigin;
        ended_ = tickets_.erase(number) == 0;  // within take() itself: there is no ticket yet
        if (f.kind == Final::Kind::answered) {
            std::vector<std::pair<int, std::string>> parts;
            for (const PartAnswer_& p : f.parts) parts.emplace_back(p.slice, std::string(p.value));
            world_.answered(now, number, f.whole, std::move(parts));
        } else if (f.kind == Final::Kind::refused) {
            world_.refused(now, number, f.retryAfter);
        } else {
            world_.failed(now, number);
        }
    }
    using PartAnswer_ = beechpoint::PartAnswer;

    World& world_;
    const Clock& clock_;
    Counters counters_;
    Logger log_;
    coordinator::Settings settings_;
    VirtualPool pool_;
    Exchange exchange_;
    Millis wakeAt_ = kNever;
    std::map<std::uint64_t, Ticket> tickets_;
    bool ended_ = false;
};

// The world and the gatherers on one clock, whoever is due first going first.
class VirtualRun {
public:
    VirtualRun(const Scenario& scenario, std::uint64_t seed, const VirtualOptions& options)
        : options_(options),
          seed_(seed),
          checker_(scenario),
          world_(scenario, seed,
                 [this](const RunEvent& event) {
                     checker_.on(event);
                     if (options_.tap) options_.tap(event);
                 }),
          gatherers_(static_cast<std::size_t>(scenario.gathererCount())),
          remembered_(gatherers_.size()),
          starts_(gatherers_.size(), 0) {
        for (std::size_t g = 0; g < gatherers_.size(); ++g)
            remembered_[g] = world_.directory().told(static_cast<int>(g));
        clock_.set(Clock::kOrigin);
    }

    Results run() {
        Millis now = 0, nextSecond = 1000;
        while (true) {
            Millis at = world_.next();
            for (const auto& g : gatherers_)
                if (g) at = std::min(at, g->next() - Clock::kOrigin);
            at = std::max(at, now);
            // What the hosts do for themselves never ends.
            if (at > world_.scenario().length && (world_.over() || at > world_.scenario().length + kLinger))
                break;
            now = at;
            clock_.set(Clock::kOrigin + now);
            Happenings happenings;
            world_.advance(now, happenings);
            for (const Happening& h : happenings) std::visit([this](const auto& what) { carry(what); }, h);
            for (const auto& g : gatherers_)
                if (g && g->next() <= clock_.now()) g->advance();
            for (; nextSecond <= now; nextSecond += 1000)
                if (options_.everySecond) options_.everySecond(world_, now);
        }
        checker_.finish(now);
        if (options_.atEnd) options_.atEnd(world_, checker_);
        return collect(world_, checker_, {});
    }

private:
    VirtualGatherer* at(int g) { return gatherers_[static_cast<std::size_t>(g)].get(); }
    Millis now() const { return clock_.now() - Clock::kOrigin; }

    void carry(const QueryOut& a) {
        if (VirtualGatherer* g = at(a.request->gatherer))
            g->take(a.request);
        else
            world_.connectionFailed(now(), a.request->number, false);
    }
    void carry(const ClientLeft& a) {
        if (VirtualGatherer* g = at(a.request->gatherer)) g->gone(a.request->number);
    }
    // A connection's gatherer is told by its number alone: only one of them knows it.
    void carry(const ConnUp& a) {
        each([&](VirtualGatherer& g) { g.onUp(a.conn); });
    }
    void carry(const ConnRefused& a) {
        each([&](VirtualGatherer& g) { g.onGone(a.conn); });
    }
    void carry(const ConnReset& a) {
        each([&](VirtualGatherer& g) { g.onGone(a.conn); });
    }
    void carry(const PartAnswer& a) {
        each([&](VirtualGatherer& g) { g.onAnswer(a); });
    }
    void carry(const ProbeAnswer& a) {
        each([&](VirtualGatherer& g) { g.onProbe(a); });
    }
    void carry(const ListTold& a) {
        if (VirtualGatherer* g = at(a.gatherer)) g->list(a.listing, false);
    }
    void carry(const ListMuted& a) {
        // One that started meanwhile gets what its agent has as soon as that speaks.
        if (VirtualGatherer* g = at(a.gatherer); g && !a.muted)
            g->list(world_.directory().told(a.gatherer), false);
    }
    void carry(const HostPath&) {}  // the world itself refuses and drops
    void carry(const GathererOrder& a) {
        const auto g = static_cast<std::size_t>(a.gatherer);
        switch (a.what) {
            case GathererOrder::What::kill:
                return end(a.gatherer);
            case GathererOrder::What::start:
                end(a.gatherer);  // a planned stop ends here
                gatherers_[g] =
                    options_.make(world_, clock_, a.gatherer,
                                  Draw(seed_, Purpose::gathererSeed, static_cast<std::uint64_t>(a.gatherer))
                                      .bits(starts_[g]++));
                gatherers_[g]->list(remembered_[g], true);
                if (world_.directory().speaks(a.gatherer))
                    gatherers_[g]->list(world_.directory().told(a.gatherer), false);
                return world_.gathererReady(now(), a.gatherer);
            case GathererOrder::What::terminate:  // it finishes what it has; the front sends it nothing new
            case GathererOrder::What::reload:     // the same configuration again
                return;
        }
    }
    void end(int g) {
        if (!at(g)) return;
        remembered_[static_cast<std::size_t>(g)] = world_.directory().told(g);
        gatherers_[static_cast<std::size_t>(g)].reset();
        world_.gathererDied(now(), g);
    }
    template <class F>
    void each(F f) {
        for (const auto& g : gatherers_)
            if (g) f(*g);
    }

    const VirtualOptions& options_;
    std::uint64_t seed_;
    Clock clock_;
    RulesChecker checker_;
    World world_;
    std::vector<std::unique_ptr<VirtualGatherer>> gatherers_;
    std::vector<Listing> remembered_;  // the list as each last had it when it ended
    std::vector<std::uint64_t> starts_;
};

}  // namespace

MakeGatherer moduleGatherer() {
    return [](World& world, const Clock& clock, int gatherer, std::uint64_t seed) {
        return std::make_unique<ModuleGatherer>(world, clock, gatherer, seed);
    };
}

Results runVirtual(const Scenario& scenario, std::uint64_t seed, const VirtualOptions& options) {
    return VirtualRun(scenario, seed, options).run();
}

}  // namespace beechpoint::emulator
