#include "emulator/real_run.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "emulator/gatherer_settings.hpp"
#include "emulator/real_agent.hpp"
#include "emulator/real_clients.hpp"
#include "emulator/real_hosts.hpp"
#include "emulator/real_process.hpp"
#include "emulator/real_stage.hpp"

namespace beechpoint::emulator {

namespace {

constexpr Millis kStartWithin = 10'000;
constexpr Millis kStopWithin = 6'000;
constexpr Millis kLinger = 20'000;
constexpr std::chrono::milliseconds kAskAgain(10);

std::chrono::microseconds micros(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(std::clamp(ms, 0.0, 1e6) * 1000));
}

// A port that was free a moment ago; with a port base the caller knows which it wants.
tcp::endpoint freePort(asio::io_context& io, tcp::endpoint wanted) {
    tcp::acceptor acceptor(io);
    bindTo(acceptor, wanted);
    return wanted;
}

class RealRun final : public Stage {
public:
    RealRun(const Scenario& scenario, std::uint64_t seed, const RealOptions& options)
        : scenario_(scenario),
          seed_(seed),
          options_(options),
          checker_(scenario),
          world_(scenario, seed, [this](const RunEvent& event) { checker_.on(event); }),
          timer_(io_),
          second_(io_),
          children_(io_, SIGCHLD),
          hosts_(*this) {
        for (int g = 0; g < scenario.gathererCount(); ++g) {
            Gatherer& one = gatherers_.emplace_back();
            one.listen = freePort(io_, addressFor(kGatherers, g));
            one.agent = std::make_unique<RealAgent>(*this, g,
                                                    [this, g](int host) { return hosts_.address(host, g); });
            one.remembered = world_.directory().told(g);
        }
        std::vector<tcp::endpoint> to;
        for (const Gatherer& g : gatherers_) to.push_back(g.listen);
        clients_ = std::make_unique<RealClients>(*this, to, static_cast<std::size_t>(scenario.sockets) / 3);
        awaitChildren();
    }

    Results run() {
        pump();  // hosts listen, gatherers start
        const auto limit = clock_.now() + kStartWithin;
        while (ready_ < gatherers_.size()) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(20));
            if (!failure_.empty()) throw RunFailed(failure_);
            if (clock_.now() > limit) throw RunFailed("the gatherers did not start in time: see their logs");
        }
        base_ = clock_.now();
        begun_ = true;
        tellSecond();
        arm();
        while (!over() && failure_.empty()) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(20));
        }
        if (!failure_.empty()) throw RunFailed(failure_);
        checker_.finish(now());
        stopAll();
        if (options_.atEnd) options_.atEnd(hosts_.parts());
        return collect(world_, checker_, lateness());
    }

    asio::io_context& io() override { return io_; }
    World& world() override { return world_; }
    const Clock& clock() override { return clock_; }
    Millis now() const override { return begun_ ? clock_.now() - base_ : 0; }

    void enter(const std::function<void(Millis)>& work) override {
        if (stopped_) return;  // the run is over: what sockets still say is nobody's business
        // Called while happenings are carried out: the call further up goes on with what comes of it.
        if (!pumping_) pump();
        work(now());
        if (!pumping_) pump();
    }

    tcp::endpoint addressFor(int kind, int number) override {
        const unsigned long address = 127UL << 24 | static_cast<unsigned long>(kind) << 16 |
                                      static_cast<unsigned long>(number / 250) << 8 |
                                      static_cast<unsigned long>(1 + number % 250);
        const auto port = scenario_.portBase > 0 ? scenario_.portBase + ports_++ : 0;
        return {asio::ip::address_v4(static_cast<asio::ip::address_v4::uint_type>(address)),
                static_cast<unsigned short>(port)};
    }

private:
    struct Gatherer {
        tcp::endpoint listen;
        std::unique_ptr<RealAgent> agent;
        RealProcess process;
        Listing remembered;
        std::uint64_t starts = 0;
        bool wanted = false;      // the script has it run
        bool stopping = false;    // SIGTERM was sent
        bool startAgain = false;  // once it has ended
    };

    bool over() const { return world_.over() || now() > scenario_.length + kLinger; }

    // Brings the world up to now and carries out what comes of it, until nothing does.
    void pump() {
        pumping_ = true;
        while (true) {
            const Millis due = world_.next(), is = now();
            if (begun_ && due <= is) late_.push_back(static_cast<float>(is - due));
            Happenings happenings;
            world_.advance(is, happenings);
            if (happenings.empty()) break;
            for (const Happening& h : happenings) std::visit([this](const auto& what) { carry(what); }, h);
        }
        pumping_ = false;
        if (begun_) arm();
    }

    void arm() {
        timer_.expires_after(micros(world_.next() - now()));
        timer_.async_wait([this](asio::error_code error) {
            if (!error) pump();
        });
    }

    void tellSecond() {
        second_.expires_after(std::chrono::seconds(1));
        second_.async_wait([this](asio::error_code error) {
            if (error) return;
            if (options_.everySecond) options_.everySecond(world_, now());
            tellSecond();
        });
    }

    void carry(const QueryOut& a) { clients_->send(a.request); }
    void carry(const ClientLeft& a) { clients_->leave(a.request); }
    void carry(const ConnUp& a) { hosts_.up(a.conn); }
    void carry(const ConnRefused& a) { hosts_.drop(a.conn); }
    void carry(const ConnReset& a) { hosts_.drop(a.conn); }
    void carry(const PartAnswer& a) { hosts_.answer(a); }
    void carry(const ProbeAnswer& a) { hosts_.probed(a); }
    void carry(const ListTold& a) { at(a.gatherer).agent->told(a.listing); }
    void carry(const ListMuted& a) { at(a.gatherer).agent->muted(a.muted); }
    void carry(const HostPath& a) { hosts_.path(a); }
    void carry(const GathererOrder& a) {
        Gatherer& g = at(a.gatherer);
        switch (a.what) {
            case GathererOrder::What::start:
                if (g.process.runs()) {  // a planned stop that has not ended by now
                    g.startAgain = true;
                    g.stopping = true;
                    return g.process.signal(SIGKILL);
                }
                return start(a.gatherer);
            case GathererOrder::What::kill:
                g.wanted = false;
                return g.process.signal(SIGKILL);
            case GathererOrder::What::terminate:
                g.wanted = false;
                g.stopping = true;
                return g.process.signal(SIGTERM);
            case GathererOrder::What::reload:
                writeConfig(a.gatherer);
                return g.process.signal(SIGHUP);
        }
    }

    Gatherer& at(int g) { return gatherers_[static_cast<std::size_t>(g)]; }

    std::string file(int g, const char* ending) const {
        return (std::filesystem::path(options_.folder) / fmt::format("g{}.{}", g, ending)).string();
    }

    void writeConfig(int g) {
        Gatherer& one = at(g);
        using Json = nlohmann::json;
        const auto number = static_cast<std::uint64_t>(g);
        const Json config = {
            {"name", fmt::format("g{}", g)},
            {"listen", textOf(one.listen)},
            {"discovery", textOf(one.agent->endpoint())},
            {"seed", fmt::format("{:x}", Draw(seed_, Purpose::gathererSeed, number).bits(one.starts))},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", scenario_.sockets}}},
            {"known", Json::parse(one.agent->text(one.remembered))},
            {"settings", Json::parse(gathererSettings(scenario_, g))}};
        std::ofstream out(file(g, "json"), std::ios::trunc);
        out << config.dump(1) << '\n';
        out.flush();
        if (!out) throw RunFailed("can't write " + file(g, "json"));
    }

    void start(int g) {
        Gatherer& one = at(g);
        writeConfig(g);
        ++one.starts;
        one.wanted = true;
        one.stopping = one.startAgain = false;
        one.process.start(options_.gatherer, file(g, "json"), file(g, "log"), scenario_.sockets);
        askUp(g, one.starts);
    }

    // GET /up until it answers 200; a new start ends the asking of the one before.
    void askUp(int g, std::uint64_t life) {
        struct Ask {
            explicit Ask(asio::io_context& io) : socket(io), timer(io) {}
            tcp::socket socket;
            asio::steady_timer timer;
            std::string text = "GET /up HTTP/1.1\r\nHost: emulated\r\nConnection: close\r\n\r\n";
            char answer[64] = {};
        };
        const auto ask = std::make_shared<Ask>(io_);
        const auto again = [this, g, life, ask] {
            if (!at(g).process.runs() || at(g).starts != life) return;
            ask->timer.expires_after(kAskAgain);
            ask->timer.async_wait([this, g, life, ask](asio::error_code error) {
                if (!error) askUp(g, life);
            });
        };
        ask->socket.async_connect(at(g).listen, [this, g, life, ask, again](asio::error_code error) {
            if (error) return again();
            asio::async_write(ask->socket, asio::buffer(ask->text), [](asio::error_code, std::size_t) {});
            ask->socket.async_read_some(
                asio::buffer(ask->answer),
                [this, g, life, ask, again](asio::error_code failed, std::size_t got) {
                    if (failed || std::string_view(ask->answer, got).find(" 200 ") == std::string_view::npos)
                        return again();
                    if (at(g).starts != life) return;
                    ready_ += life == 1 ? 1 : 0;
                    enter([&](Millis then) { world_.gathererReady(then, g); });
                });
        });
    }

    void awaitChildren() {
        children_.async_wait([this](asio::error_code error, int) {
            if (error) return;
            for (int g = 0; g < static_cast<int>(gatherers_.size()); ++g) {
                int status = 0;
                if (at(g).process.reap(status)) ended(g, status);
            }
            awaitChildren();
        });
    }

    void ended(int g, int status) {
        Gatherer& one = at(g);
        if (stopped_) return;
        // What it was not told to do is the run's end: a gatherer that crashes is what nobody may overlook.
        if (one.wanted && !one.stopping) {
            failure_ = WIFSIGNALED(status) ? fmt::format("gatherer g{} died of signal {} unasked: see {}", g,
                                                         WTERMSIG(status), file(g, "log"))
                                           : fmt::format("gatherer g{} ended unasked with status {}: see {}",
                                                         g, WEXITSTATUS(status), file(g, "log"));
            return;
        }
        one.remembered = world_.directory().told(g);
        enter([&](Millis then) { world_.gathererDied(then, g); });
        if (one.startAgain) start(g);
    }

    void stopAll() {
        stopped_ = true;
        timer_.cancel();
        second_.cancel();
        for (Gatherer& g : gatherers_) g.process.signal(SIGTERM);
        const Millis limit = clock_.now() + kStopWithin;
        const auto running = [&] {
            return std::any_of(gatherers_.begin(), gatherers_.end(),
                               [](const Gatherer& g) { return g.process.runs(); });
        };
        while (running() && clock_.now() < limit) {
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(20));
        }
    }

    Lateness lateness() {
        Lateness l;
        l.steps = late_.size();
        if (late_.empty()) return l;
        std::sort(late_.begin(), late_.end());
        const auto quantile = [&](double share) {
            return static_cast<Millis>(late_[std::min(
                late_.size() - 1, static_cast<std::size_t>(share * static_cast<double>(late_.size())))]);
        };
        l.p50 = quantile(0.5);
        l.p99 = quantile(0.99);
        l.most = late_.back();
        l.isVoid = l.p99 > options_.latest;
        return l;
    }

    const Scenario& scenario_;
    std::uint64_t seed_;
    const RealOptions& options_;
    asio::io_context io_{1};
    Clock clock_;
    Millis base_ = 0;
    bool begun_ = false, pumping_ = false, stopped_ = false;
    int ports_ = 0;
    RulesChecker checker_;
    World world_;
    asio::steady_timer timer_, second_;
    asio::signal_set children_;
    RealHosts hosts_;
    std::deque<Gatherer> gatherers_;
    std::unique_ptr<RealClients> clients_;
    std::size_t ready_ = 0;
    std::string failure_;
    std::vector<float> late_;  // of each step, in ms
};

}  // namespace

std::string textOf(const tcp::endpoint& endpoint) {
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void bindTo(tcp::acceptor& acceptor, tcp::endpoint& endpoint) {
    asio::error_code error;
    acceptor.open(tcp::v4(), error);
    // With address reuse the kernel may hand out a free port that another bound socket shares: only a port
    // that is ours already, or the scenario's, is taken so, since what ran on it before may linger.
    const asio::socket_base::reuse_address reuse(true);
    if (!error && endpoint.port() != 0) acceptor.set_option(reuse, error);
    if (!error) acceptor.bind(endpoint, error);
    if (!error) acceptor.set_option(reuse, error);
    if (error) throw RunFailed(fmt::format("can't listen on {}: {}", textOf(endpoint), error.message()));
    endpoint = acceptor.local_endpoint();
}

Results runReal(const Scenario& scenario, std::uint64_t seed, const RealOptions& options) {
    return RealRun(scenario, seed, options).run();
}

}  // namespace beechpoint::emulator
