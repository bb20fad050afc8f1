// What comes between two lines: a client's leaving, a host's end, a late timer or answer, a signal's last moment. Each crossing is
// forced on real sockets, and each test asserts that it took place.
#include <deque>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

constexpr Millis kNoticed = 300;  // after a client has left nothing of its request is sent on
enum class Leave { end, reset, behindBytes, whilePaused };
constexpr Leave kLeaves[] = {Leave::end, Leave::reset, Leave::behindBytes, Leave::whilePaused};

void settle(asio::io_context& io) {
    io.restart();
    while (io.poll() > 0) io.restart();
}

void leave(Rig& rig, Client& client, Leave how) {
    asio::error_code ignored;
    if (how == Leave::reset) client.peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    if (how == Leave::behindBytes) client.send(std::string(20'000, 'x'));
    if (how == Leave::whilePaused)  // far more than is kept while a request is in hand
        for (int i = 0; i < 16; ++i) client.send(std::string(20'000, 'x')), settle(rig.io);
    client.peer->close();
}

void searchFront(Config& c) { c.search = Config::Search{kAnyPort, {{"pallets", "pallet-lookup"}}}; }

// What a sound host of the query API says.
constexpr const char* kFound = R"({"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}})";

// A query of one slice that carries the mark, on either front.
std::string asks(bool search, const std::string& mark) {
    return search ? post("/pallets/_search?preference=_shards:0", "Content-Type: application/json\r\n",
                         R"({"query":{"term":{"n":")" + mark + R"("}}})")
                  : query(mark.size() < 40 ? mark : "long", {0}, 10'000'000, mark);
}
tcp::endpoint to(Rig& rig, bool search) {
    return search ? rig.gatherer->searchEndpoint() : rig.gatherer->endpoint();
}

// One client for each way of leaving on each front; each one's query carries a mark that no other has.
struct Leavers {
    struct One {
        std::unique_ptr<Client> client;
        Leave how;
        std::string mark;
        bool search;
    };
    explicit Leavers(Rig& r) : Leavers(r, {}) {
        sendAll();
        until(rig.io, [&] { return rig.gatherer->exchange().live() == before + all.size(); });
    }
    Leavers(Rig& r, std::optional<std::pair<bool, Leave>> one)
        : rig(r), before(r.gatherer->exchange().live()) {
        for (const bool search : {false, true})
            for (const Leave how : kLeaves) {
                if (one && *one != std::pair(search, how)) continue;
                all.push_back({std::make_unique<Client>(rig.io, to(rig, search)), how,
                               "leaver" + std::to_string(all.size()) + "x", search});
            }
    }
    void sendAll() {
        for (One& one : all) one.client->send(asks(one.search, one.mark));
    }
    void leaveAll() {
        for (One& one : all) leave(rig, *one.client, one.how);
    }
    void noticed(Counter which = Counter::goneBeforeSent) {
        const auto began = std::chrono::steady_clock::now();
        until(rig.io, [&] { return rig.count(which) == all.size(); });
        CHECK(std::chrono::steady_clock::now() - began < std::chrono::duration<double, std::milli>(kNoticed));
        CHECK(rig.count(Counter::clientsGone) == all.size() && rig.gatherer->exchange().live() == before);
    }
    std::size_t sentIn(const std::string& seen) const {
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const One& one) {
            return seen.find(one.mark) != std::string::npos;
        }));
    }
    Rig& rig;
    std::size_t before;
    std::vector<One> all;
};

// A host whose sockets are the test's: it accepts, reads and answers when it is told to.
struct RawHost {
    explicit RawHost(int backlog, int receive = 0) : acceptor(Rig::loop(), kAnyPort.protocol()) {
        if (receive > 0) acceptor.set_option(asio::socket_base::receive_buffer_size(receive));
        acceptor.bind(kAnyPort);
        acceptor.listen(backlog);
    }
    ~RawHost() {
        for (const PeerPtr& peer : peers) peer->close();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void accept(bool reads, bool again = true) {
        acceptor.async_accept([this, reads, again](asio::error_code error, tcp::socket socket) {
            if (error) return;
            peers.push_back(std::make_shared<Peer>(std::move(socket)));
            if (reads) read(peers.size() - 1);
            if (again) accept(reads);
        });
    }
    void fill() {  // its backlog, so that the next handshake doesn't end
        for (int i = 0; i < 4; ++i) {
            filling.emplace_back(acceptor.get_executor(), kAnyPort.protocol());
            filling.back().async_connect(acceptor.local_endpoint(), [](asio::error_code) {});
        }
    }
    std::size_t readAllNow() {  // of the first one, without a turn of the loop
        std::string some(8192, '\0');
        std::size_t got = 0;
        peers[0]->socket.non_blocking(true);
        for (asio::error_code error; !error;) got += peers[0]->socket.read_some(asio::buffer(some), error);
        return got;
    }
    void read(std::size_t i) {
        peers[i]->read([this, raw = peers[i].get()] {
            seen += raw->in.view();
            raw->in.consume(raw->in.size());
        });
    }
    tcp::acceptor acceptor;
    std::vector<PeerPtr> peers;
    std::vector<tcp::socket> filling;
    std::string seen;
};

struct HoldingHost : FrameHost {  // answers nothing by itself
    HoldingHost() : FrameHost(Rig::loop()) {
        onPart = [this](const Part& p) { held.push_back(p); };
    }
    std::vector<Part> held;
};

std::string all(const std::vector<std::string>& frames, char letter = 'S') {
    std::string text;
    for (const std::string& f : frames)
        if (f[0] == letter) text += f;
    return text;
}

void oneHost(Config& c) {
    c.settings.cells = c.settings.span = 1;
    c.connections.perHost = 1;
    searchFront(c);
}

// A host that doesn't read, of either wire, behind small buffers: a large part is cut.
struct CutRig {
    explicit CutRig(bool searchHost)
        : host(16, 4096), rig({host.address()}, [&](Config& c) {
              oneHost(c);
              c.searchTrackHosts = searchHost;
              c.connections.calls = 1;
              c.connections.sendBuffer = 4096;
              for (auto& k : c.settings.classes) k.aim = k.deadline = 10'000'000'000'000;
          }) {
        host.accept(false);
    }
    void untilCut() {
        until(rig.io, [&] { return rig.count(Counter::attemptsSent) == 1 && host.peers.size() == 1; });
        settle(rig.io);
        CHECK(rig.count(Counter::attemptsWritten) == 0);
    }
    RawHost host;
    Rig rig;
};

// ---- the client has left: not sent, by whatever way

void waitsForADial() {
    asio::io_context& io = Rig::loop();
    RawHost host(0);
    host.fill();
    settle(io);
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.connections.dialTimeout = 15'000;
    });
    Leavers leavers(rig);
    CHECK(rig.count(Counter::dials) == 1 && rig.count(Counter::attemptsSent) == 0);
    leavers.leaveAll();
    leavers.noticed();
    Client after(io, rig.gatherer->endpoint());
    after.send(query("after", {0}, 20'000, "after", "day-report"));
    until(io, [&] { return rig.gatherer->exchange().live() == 1; });
    CHECK(rig.count(Counter::attemptsSent) == 0);  // still dialling
    host.accept(true);
    until(io, [&] { return host.seen.find("after") != std::string::npos || !after.answers.empty(); });
    CHECK(rig.count(Counter::dials) == 1 && after.answers.empty() && leavers.sentIn(host.seen) == 0);
}

void waitsForAPlace() {
    HoldingHost host;
    auto& held = host.held;
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.connections.calls = 1;
    });
    Client first(rig.io, rig.gatherer->endpoint()), after(rig.io, rig.gatherer->endpoint());
    first.send(query("first", {0}));
    until(rig.io, [&] { return held.size() == 1; });
    Leavers leavers(rig);
    CHECK(rig.count(Counter::attemptsSent) == 1);
    leavers.leaveAll();
    leavers.noticed();
    held[0].answer("done", "v");
    after.send(query("after", {0}));
    until(rig.io, [&] { return held.size() == 2; });
    CHECK(held[1].id == "after.0" && leavers.sentIn(all(host.got)) == 0);
}

// The same towards a host of the query API, which has one search at a time on a connection.
void waitsForAPlaceAtASearchHost() {
    HttpHost host(Rig::loop());
    std::string seen;
    std::vector<HttpHost::Ask> held;
    host.onAsk = [&](const HttpHost::Ask& ask) {
        seen += ask.body;
        held.push_back(ask);
    };
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.searchTrackHosts = true;
        c.connections.calls = 1;
    });
    Client first(rig.io, rig.gatherer->endpoint()), after(rig.io, rig.gatherer->endpoint());
    first.send(query("first", {0}));
    until(rig.io, [&] { return held.size() == 1; });
    Leavers leavers(rig);
    CHECK(rig.count(Counter::attemptsSent) == 1);
    leavers.leaveAll();
    leavers.noticed();
    held[0].answer(200, kFound);
    after.send(query("after", {0}, 3000, "after"));
    until(rig.io, [&] { return held.size() == 2; });
    CHECK(held[1].body == "after" && first.answers.size() == 1 && leavers.sentIn(seen) == 0 &&
          host.peers.size() == 1);
}

// The connection under those that wait is lost, as they leave or after it: what waited there goes to a further one.
void handedBack() {
    for (const bool atOnce : {true, false}) {
        FrameHost host(Rig::loop());
        std::vector<FrameHost::Part> held;
        host.onPart = [&](const FrameHost::Part& p) {
            held.empty() ? held.push_back(p) : p.answer("done", "v");
        };
        Rig rig({host.address()}, [](Config& c) {
            oneHost(c);
            c.connections.calls = 1;
        });
        Client first(rig.io, rig.gatherer->endpoint()), after(rig.io, rig.gatherer->endpoint());
        first.send(query("first", {0}));
        until(rig.io, [&] { return held.size() == 1; });
        Leavers leavers(rig);
        for (auto& one : leavers.all)
            if (atOnce && one.how != Leave::reset) one.how = Leave::end;  // the others need the loop
        leavers.leaveAll();
        if (!atOnce) leavers.noticed();
        host.peers[0]->close();
        until(rig.io, [&] { return first.answers.size() == 1; });  // lost, and sent again
        after.send(query("after", {0}));
        until(rig.io, [&] { return after.answers.size() == 1; });
        CHECK(rig.count(Counter::attemptsConnectionLost) == 1 && rig.count(Counter::dials) == 2);
        CHECK(rig.count(Counter::goneBeforeSent) == leavers.all.size() && leavers.sentIn(all(host.got)) == 0);
    }
}

// The host doesn't read: what was given leave to go stands in front of a full socket. One frame is cut, and its client leaves too.
void standsBeforeAFullSocket() {
    for (const bool cutToo : {false, true}) {
        RawHost host(16, 4096);
        host.accept(false);
        Rig rig({host.address()}, [](Config& c) {
            oneHost(c);
            c.settings.openCap = 100'000;
            for (auto& k : c.settings.classes)
                k.aim = k.deadline = 10'000'000'000'000;  // all of them are let in
            c.connections.calls = 1000;
            c.sockets = 4096;
        });
        std::vector<std::unique_ptr<Client>> clients;
        while (rig.count(Counter::attemptsWritten) == 4 * clients.size()) {
            CHECK(clients.size() < 100);
            const std::string n = std::to_string(clients.size());
            clients.push_back(std::make_unique<Client>(rig.io, rig.gatherer->endpoint()));
            clients.back()->send(
                query("big" + n, {0, 1, 2, 3}, 10'000'000, std::string(60'000, 'x') + "end" + n + "x"));
            until(rig.io, [&] {
                return rig.gatherer->exchange().live() == clients.size() &&
                       rig.count(Counter::attemptsWritten) > 0;
            });
        }
        const std::string cut = "end" + std::to_string(clients.size() - 1) + "x";
        const std::size_t whole = rig.count(Counter::attemptsWritten) - 4 * (clients.size() - 1);
        Leavers leavers(rig);
        CHECK(rig.count(Counter::attemptsWritten) == whole + 4 * (clients.size() - 1));
        leavers.leaveAll();
        leavers.noticed();
        if (cutToo) {
            clients.back()->peer->close();
            until(rig.io, [&] { return rig.count(Counter::clientsGone) == leavers.all.size() + 1; });
        }
        Client after(rig.io, rig.gatherer->endpoint());
        after.send(query("after", {0}, 10'000'000, "after"));
        until(rig.io, [&] { return rig.gatherer->exchange().live() == clients.size() + (cutToo ? 0 : 1); });
        host.read(0);
        if (cutToo)  // half of it is out: the connection ends, and a further one brings what is wanted
            until(rig.io, [&] { return host.peers.size() == 2 && host.peers[0]->ended; }), host.read(1);
        until(rig.io, [&] { return host.seen.find("after") != std::string::npos; });
        std::size_t seen = 0;
        for (auto at = host.seen.find(cut); at != std::string::npos; at = host.seen.find(cut, at + 1)) ++seen;
        CHECK(leavers.sentIn(host.seen) == 0 && seen == (cutToo ? whole : 4));
    }
}

// A little room, and all that waits is given leave in one turn; what finds no room even so is asked about again.
void claimedInOneTurn() {
    RawHost host(16, 4096);
    host.accept(false);
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        for (auto& k : c.settings.classes) k.aim = k.deadline = 10'000'000'000'000;
        c.connections.calls = 1000;
    });
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<Client>(rig.io, rig.gatherer->endpoint()));
        clients.back()->send(query("big" + std::to_string(i), {0}, 10'000'000, std::string(60'000, 'x')));
        until(rig.io, [&] {
            return rig.gatherer->exchange().live() == i + 1 && rig.count(Counter::attemptsWritten) > 0;
        });
    }
    Leavers leavers(rig);
    const std::size_t all = clients.size() + leavers.all.size();
    CHECK(rig.count(Counter::attemptsSent) < clients.size());
    std::string some(8192, '\0');
    while (rig.count(Counter::attemptsSent) < all)
        host.peers[0]->socket.read_some(asio::buffer(some)), settle(rig.io);
    CHECK(rig.count(Counter::attemptsWritten) < clients.size());
    leavers.leaveAll();
    leavers.noticed();
    host.read(0);
    Client after(rig.io, rig.gatherer->endpoint());
    after.send(query("after", {0}, 10'000'000, "after"));
    until(rig.io, [&] { return host.seen.find("after") != std::string::npos; });
    CHECK(rig.count(Counter::attemptsWritten) == clients.size() + 1 && leavers.sentIn(host.seen) == 0);
}

// ---- the loop is late: the client's end stands unread in its socket when its turn comes

// All has come before the loop turns once: the request, and its client's end. Accepted by then, or in the backlog.
void leftBeforeItWasRead() {
    for (const bool accepted : {true, false}) {
        HoldingHost host;
        Rig rig({host.address()}, oneHost);
        Leavers leavers(rig, {});
        for (auto& one : leavers.all)
            if (one.how == Leave::whilePaused)
                one.how = Leave::behindBytes;  // nothing is in hand that could pause its reading
        if (accepted) until(rig.io, [&] { return rig.gatherer->clients() == leavers.all.size(); });
        leavers.sendAll();
        leavers.leaveAll();
        settle(rig.io);
        const auto taken = rig.count(Counter::queriesTaken);  // a reset may take the request with it
        CHECK(taken >= leavers.all.size() - 2 && rig.count(Counter::goneBeforeSent) == taken);
        CHECK(rig.gatherer->clients() == 0 && rig.gatherer->exchange().live() == 0);
        Client after(rig.io, rig.gatherer->endpoint());
        after.send(query("after", {0}));
        until(rig.io, [&] { return host.held.size() == 1; });
        CHECK(rig.count(Counter::attemptsSent) == 1 && leavers.sentIn(all(host.got)) == 0);
    }
}

// A further request stands behind the one whose answer goes out, and its client's end behind that.
void leftBehindItsAnswer() {
    for (const bool search : {false, true})
        for (const Leave how : {Leave::end, Leave::reset, Leave::behindBytes}) {
            HoldingHost host;
            Rig rig({host.address()}, oneHost);
            Client client(rig.io, to(rig, search));
            client.send(asks(search, "t1"));
            until(rig.io, [&] { return host.held.size() == 1; });
            client.send(asks(search, "t2"));
            settle(rig.io);
            host.held[0].answer("done", kFound);  // handled first
            leave(rig, client, how);
            settle(rig.io);
            CHECK(rig.count(Counter::answeredWhole) == 1 && host.held.size() == 1 &&
                  rig.count(Counter::attemptsSent) == 1);
            // A reset ends the answer as well, and nothing behind it is taken.
            const auto taken = rig.count(Counter::queriesTaken);
            CHECK((how == Leave::reset || taken == 2) && rig.count(Counter::goneBeforeSent) == taken - 1);
        }
}

// What lets a waiting part go comes first, its client's end right behind it, and the loop is 0.4 s late for both.
void lateLoop(const std::string& way, bool search, Leave how) {
    const bool cut = way == "behind a cut frame";
    HoldingHost host, other;
    RawHost raw(16, 4096);
    raw.accept(false);
    Rig rig(cut ? std::vector{raw.address()} : std::vector{host.address(), other.address()}, [&](Config& c) {
        oneHost(c);
        c.settings.cells = c.settings.span = cut || way == "place" ? 1 : 2;
        for (auto& k : c.settings.classes) k.aim = k.deadline = 10'000'000'000'000;
        c.connections.calls = way == "place" ? 1 : 1000;
        c.connections.sendBuffer = 4096;
    });
    Client first(rig.io, rig.gatherer->endpoint()), after(rig.io, rig.gatherer->endpoint());
    if (cut || way == "place") {
        first.send(query("first", {0}, 10'000'000, std::string(cut ? 60'000 : 1, 'x')));
        until(rig.io, [&] {
            return cut ? rig.count(Counter::attemptsSent) == 1 : host.held.size() + other.held.size() == 1;
        });
        settle(rig.io);
    }
    Leavers leavers(rig, std::pair(search, how));
    leavers.sendAll();
    const bool again = way == "further attempt";
    until(rig.io, [&] {
        if (again) return host.held.size() + other.held.size() == 1;
        return rig.gatherer->exchange().live() == (cut || way == "place" ? 2 : 1);
    });
    const auto sent = rig.count(Counter::attemptsSent);
    CHECK(sent == (way == "dial" ? 0 : 1) &&
          rig.count(Counter::attemptsWritten) == (cut || way == "dial" ? 0 : 1));
    auto& held = host.held.empty() ? other.held : host.held;
    if (again || way == "place") held[0].answer(again ? "failed" : "done", "v");
    if (cut) CHECK(raw.readAllNow() > 0);
    leavers.leaveAll();
    rig.clock.set(rig.clock.now() + 400);
    settle(rig.io);
    CHECK(rig.count(again ? Counter::goneAfterSent : Counter::goneBeforeSent) == 1 &&
          rig.count(Counter::attemptsSent) == sent);
    if (again) CHECK(rig.count(Counter::attemptsError) == 1);
    if (way == "place") CHECK(first.answers.size() == 1);
    if (way == "dial") CHECK(rig.count(Counter::dials) == 1);
    if (cut) raw.read(0);
    after.send(query("after", {0}, 10'000'000, "after"));
    until(rig.io,
          [&] { return (all(host.got) + all(other.got) + raw.seen).find("after") != std::string::npos; });
    CHECK(leavers.sentIn(all(host.got) + all(other.got) + raw.seen) == (again ? 1 : 0));
    CHECK(host.held.size() + other.held.size() == (cut ? 0 : way == "dial" ? 1 : 2));
}

void lateLoops() {
    for (const char* way : {"dial", "place", "behind a cut frame", "further attempt"})
        for (const bool search : {false, true})
            for (const Leave how : {Leave::end, Leave::reset, Leave::behindBytes}) lateLoop(way, search, how);
}

// The same with its own frame or search, half of which is out: no byte more follows, and the connection ends.
void lateLoopCutInTheMiddle() {
    for (const auto& [search, front] : {std::pair{false, false}, {false, true}, {true, false}, {true, true}})
        for (const Leave how : {Leave::end, Leave::reset, Leave::behindBytes}) {
            CutRig s(search);
            Client client(s.rig.io, to(s.rig, front));
            client.send(asks(front, std::string(60'000, 'x') + "end"));
            s.untilCut();
            const std::size_t got = s.host.readAllNow();  // there is room for more
            CHECK(got > 0 && got < 60'000);
            leave(s.rig, client, how);
            s.rig.clock.set(s.rig.clock.now() + 400);
            settle(s.rig.io);
            CHECK(s.rig.count(Counter::goneBeforeSent) == 1 && s.rig.count(Counter::attemptsWritten) == 0);
            s.host.read(0);
            until(s.rig.io, [&] { return s.host.peers[0]->ended; });
            CHECK(s.host.seen.empty());
        }
}

// The host gives it back once the client has left: there is no further attempt.
void furtherAttempts() {
    HoldingHost host;
    auto& held = host.held;
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.connections.calls = 32;
    });
    Leavers leavers(rig);
    until(rig.io, [&] { return held.size() == leavers.all.size(); });
    leavers.leaveAll();
    leavers.noticed(Counter::goneAfterSent);
    const auto failed = held;
    for (const FrameHost::Part& p : failed) p.answer("failed", "");
    until(rig.io, [&] { return rig.count(Counter::lateFrames) == failed.size(); });
    Client after(rig.io, rig.gatherer->endpoint());
    after.send(query("after", {0}));
    until(rig.io, [&] { return held.size() == failed.size() + 1; });
    CHECK(held.back().id == "after.0");
}

// Hosts that keep what they have: who stays gets a second copy, or a further attempt once the first is given up; who left doesn't.
void copiesAndAttemptsAfterATimeOut() {
    for (const bool copies : {true, false}) {
        FrameHost a(Rig::loop()), b(Rig::loop());
        std::vector<std::string> held;
        std::deque<std::pair<Millis, FrameHost::Part>> due;
        Rig rig({a.address(), b.address()}, [&](Config& c) {
            searchFront(c);
            c.settings.parallelTries = copies;
        });
        rig.clock.set(rig.clock.now());
        a.onPart = b.onPart = [&](const FrameHost::Part& p) {
            p.id[0] == 'o' ? due.push_back({rig.clock.now() + 30, p}) : held.push_back(p.id + p.text);
        };
        Client stays(rig.io, rig.gatherer->endpoint()), other(rig.io, rig.gatherer->endpoint());
        std::size_t asked = 0;
        const auto passUntil = [&](auto done) {  // a millisecond a turn; the hosts are heard all the time
            for (int i = 0; !done(); ++i) {
                CHECK(i < 5000);
                if (other.answers.size() == asked)
                    other.send(query("o" + std::to_string(asked++), {static_cast<int>(asked % 4)}));
                rig.clock.set(rig.clock.now() + 1);
                rig.gatherer->exchange().tick();
                settle(rig.io);
                for (; !due.empty() && due.front().first <= rig.clock.now(); due.pop_front())
                    due.front().second.answer("done", "v");
                settle(rig.io);
            }
        };
        passUntil([&] { return asked == 20; });
        Leavers leavers(rig);
        stays.send(query("stay", {0}));
        until(rig.io, [&] { return held.size() == leavers.all.size() + 1; });
        leavers.before += 1;
        leavers.leaveAll();
        leavers.noticed(Counter::goneAfterSent);
        passUntil([&] { return held.size() == leavers.all.size() + 2; });
        CHECK(held.back().starts_with("stay.0") && rig.count(Counter::attemptsTimedOut) == (copies ? 0 : 1));
        passUntil([&] {
            return stays.answers.size() == 1;
        });  // what they would have had, they would have had before
        CHECK(std::count_if(held.begin(), held.end(), [](const std::string& h) {
                  return !h.starts_with("stay");
              }) == static_cast<std::ptrdiff_t>(leavers.all.size()));
    }
}

// Far more ahead than is kept costs its sender its connection, after its answer.
void sendsFarAhead() {
    HoldingHost host;
    auto& held = host.held;
    Rig rig({host.address()}, oneHost);
    Client client(rig.io, rig.gatherer->endpoint());
    client.send(query("t", {0}));
    until(rig.io, [&] { return held.size() == 1; });
    for (int i = 0; i < 100; ++i) client.send(std::string(20'000, 'x')), settle(rig.io);
    CHECK(rig.count(Counter::clientsFarAhead) == 1);
    held[0].answer("done", "v");
    until(rig.io, [&] { return client.peer->ended; });
    CHECK(client.answers.size() == 1 && client.answers[0].status == 200 && !client.answers[0].keepAlive);
}

// The same while its answer goes out: what came then is not whole, and is no request.
void sendsFarAheadOfItsAnswersEnd() {
    FrameHost host(Rig::loop());
    std::vector<FrameHost::Part> held;
    host.onPart = [&](const FrameHost::Part& p) {
        p.id.starts_with("t.") ? held.push_back(p) : p.answer("done", "v");
    };
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.settings.shards = 64;
        c.connections.calls = 100;
    });
    {
        Client warm(rig.io, rig.gatherer->endpoint());  // so that a query of many parts is let in
        for (int i = 0; i < 50; ++i) CHECK(warm.ask(query("w" + std::to_string(i), {0})).status == 200);
    }
    tcp::socket client(rig.io, kAnyPort.protocol());
    client.set_option(asio::socket_base::receive_buffer_size(4096));
    client.connect(rig.gatherer->endpoint());
    const auto ahead = [&](const std::string& text) {
        asio::write(client, asio::buffer(text));
        settle(rig.io);
    };
    std::vector<int> slices(64);  // more than the system's buffers take
    std::iota(slices.begin(), slices.end(), 0);
    ahead(query("t", slices));
    until(rig.io, [&] { return held.size() == slices.size(); });
    for (const auto& p : held) p.answer("done", std::string(120'000, 'v')), settle(rig.io);
    until(rig.io, [&] { return rig.count(Counter::answeredWhole) == 51; });
    settle(rig.io);
    CHECK(rig.gatherer->clients() == 1 && rig.count(Counter::clientsFarAhead) == 0);
    for (int i = 0; i < 30; ++i) ahead(query("u" + std::to_string(i), {0}, 3000, std::string(20'000, 'x')));
    CHECK(rig.count(Counter::clientsFarAhead) == 1);
    client.non_blocking(true);
    std::string answers, some(65536, '\0');
    for (asio::error_code error; error != asio::error::eof;) {
        answers.append(some, 0, client.read_some(asio::buffer(some), error));
        CHECK(!error || error == asio::error::would_block || error == asio::error::eof);
        settle(rig.io);
    }
    CHECK(answers.starts_with("HTTP/1.1 200") && answers.find("HTTP/1.1", 1) == std::string::npos &&
          answers.ends_with("\"whole\":true}"));
    CHECK(rig.count(Counter::queriesTaken) == 51);
}

// A request's rest stands in its socket when the time for it ends: this side is the late one.
void restComesAsItsTimeEnds() {
    HoldingHost host;
    Rig rig({host.address()}, oneHost);
    Client client(rig.io, rig.gatherer->endpoint());
    const std::string text =
        query("t", {0}, 10'000'000, std::string(20'000, 'x'));  // more than one look brings
    client.send(text.substr(0, 100));
    settle(rig.io);
    rig.clock.set(rig.clock.now() + 2100);
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(300))
        ;  // the look at all connections is due
    client.send(text.substr(100));
    until(rig.io, [&] { return host.held.size() == 1 || !client.answers.empty(); });
    CHECK(client.answers.empty());
    // But a rest that never ends has its end.
    Client endless(rig.io, rig.gatherer->endpoint());
    endless.send("POST /pallet-lookup/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    settle(rig.io);
    rig.clock.set(rig.clock.now() + 4100);
    until(rig.io, [&] {
        if (endless.answers.empty()) endless.send("1;" + std::string(5000, 'x') + "\r\nx\r\n");
        return !endless.answers.empty();
    });
    CHECK(endless.answers[0].status == 408);
}

// ---- cut frames and searches

// The answer comes before its request has gone: the next one waits for that, and no longer.
void searchAnsweredBeforeItHasGone() {
    CutRig s(true);
    Client client(s.rig.io, s.rig.gatherer->endpoint()), after(s.rig.io, s.rig.gatherer->endpoint());
    client.send(query("t", {0}, 10'000'000, std::string(60'000, 'x') + "end"));
    s.untilCut();
    after.send(query("after", {0}, 10'000'000, "after"));
    until(s.rig.io, [&] { return s.rig.gatherer->exchange().live() == 2; });
    s.host.peers[0]->send(net::response(200, "application/json", kFound, true));
    until(s.rig.io, [&] { return client.answers.size() == 1; });
    CHECK(client.answers[0].status == 200 && s.rig.count(Counter::attemptsWritten) == 0 &&
          s.rig.count(Counter::attemptsSent) == 1);
    s.host.read(0);
    until(s.rig.io, [&] { return s.host.seen.find("after") != std::string::npos; });
    CHECK(s.host.seen.find("end") != std::string::npos && s.host.peers.size() == 1);
}

// Half of a frame or a search is out when its client leaves: it is not ended, and its connection goes.
void cutAsItsClientLeaves() {
    for (const auto& [search, front] : {std::pair{false, false}, {false, true}, {true, false}, {true, true}})
        for (const Leave how : kLeaves) {
            CutRig s(search);
            Client client(s.rig.io, to(s.rig, front));
            client.send(asks(front, std::string(60'000, 'x') + "end"));
            s.untilCut();
            leave(s.rig, client, how);
            until(s.rig.io, [&] { return s.rig.count(Counter::goneBeforeSent) == 1; });
            CHECK(s.rig.count(Counter::attemptsWritten) == 0);
            s.host.read(0);
            until(s.rig.io, [&] { return s.host.peers[0]->ended; });
            CHECK(s.host.seen.find("xxx") != std::string::npos &&
                  s.host.seen.find("end") == std::string::npos);
        }
}

// ---- places and answers

// A host that goes on with what was given up reads nothing beyond the calls of a connection: a part behind it would be sent later.
void placesOfWhatWasGivenUp() {
    for (const std::size_t calls : {1U, 4U}) {
        HoldingHost host;
        auto& held = host.held;
        Rig rig({host.address()}, [&](Config& c) {
            c.settings.cells = c.settings.span = 1;
            c.connections.calls = calls;
        });
        const auto giveUp = [&](const std::string& id) {
            const std::size_t before = held.size(), gone = rig.count(Counter::clientsGone);
            Client client(rig.io, rig.gatherer->endpoint());
            client.send(query(id, {0}));
            until(rig.io, [&] { return held.size() == before + 1; });
            client.peer->close();
            until(rig.io, [&] { return rig.count(Counter::clientsGone) == gone + 1; });
        };
        Client client(rig.io, rig.gatherer->endpoint());
        if (calls == 4) {  // one is not many, and its late answer frees its place
            giveUp("t0");
            held[0].answer("done", "late");
            until(rig.io, [&] { return rig.count(Counter::lateFrames) == 1; });
            giveUp("t1");
            CHECK(host.peers.size() == 1 && rig.count(Counter::connectionsClogged) == 0);
        }
        giveUp("t2");
        until(rig.io, [&] { return host.peers[0]->ended; });
        CHECK(rig.count(Counter::connectionsClogged) == 1);
        const std::size_t before = held.size();
        client.send(query("t3", {0}));
        until(rig.io, [&] { return held.size() == before + 1; });
        CHECK(host.peers.size() == 2 && &held.back().peer == host.peers[1].get());
    }
}

// A host with one call a connection, of either wire: one connection holds a part, and the next handshake doesn't end.
struct LateDial {
    LateDial(bool searchHost, Millis dialTimeout)
        : search(searchHost), rig({host.address()}, [&](Config& c) {
              oneHost(c);
              c.searchTrackHosts = search;
              c.connections.perHost = search ? 4 : 8;
              c.connections.calls = search ? 4 : 1;
              c.connections.dialTimeout = dialTimeout;
          }) {
        host.accept(true, false);
        first.send(query("first", {0}, 3000, "first"));
        until(rig.io, [&] { return host.seen.find("first") != std::string::npos; });
        host.fill();
        settle(rig.io);
        next.send(query("next", {0}, 3000, "next"));
        until(rig.io, [&] { return rig.count(Counter::dials) == 2; });
        CHECK(rig.count(Counter::attemptsSent) == 1);
    }
    void answer(std::size_t peer, const std::string& id) {
        std::string frame;
        backend::writeFrame(frame, 'R', id + " done 1 -\nv");
        host.peers[peer]->send(search ? net::response(200, "application/json", kFound, true) : frame);
    }
    bool search;
    RawHost host{0};
    Rig rig;
    Client first{rig.io, rig.gatherer->endpoint()}, next{rig.io, rig.gatherer->endpoint()};
};

// A part waits for a dial when a place comes free on another connection: it goes there.
void waitsForADialAsAPlaceComesFree() {
    for (const bool search : {false, true}) {
        LateDial late(search, 15'000);
        late.answer(0, "first.0");
        until(late.rig.io, [&] { return late.host.seen.find("next") != std::string::npos; });
        CHECK(late.rig.count(Counter::callsTakenOver) == 1 && late.rig.count(Counter::dials) == 2);
        late.answer(0, "next.0");
        until(late.rig.io, [&] { return late.next.answers.size() == 1; });
        CHECK(late.next.answers[0].status == 200 && late.host.peers.size() == 1);
    }
}

// A handshake got lost, and its host is well: a second dial beside it brings the part there before the first has failed.
void dialsBesideALateDial() {
    for (const bool search : {false, true}) {
        LateDial late(search, 800);  // the system tries a lost handshake again after 1 s
        late.host.accept(true);
        until(late.rig.io, [&] { return late.host.seen.find("next") != std::string::npos; });
        CHECK(late.rig.count(Counter::dialsBeside) == 1 && late.rig.count(Counter::dialsFailed) == 0);
        CHECK(late.rig.count(Counter::dials) == 3 && late.rig.count(Counter::attemptsSent) == 2);
        late.answer(late.host.peers.size() - 1, "next.0");
        until(late.rig.io, [&] { return late.next.answers.size() == 1; });
        CHECK(late.next.answers[0].status == 200 && late.first.answers.empty());
        CHECK(late.rig.count(Counter::attemptsNoConnection) == 0);
    }
    for (const bool gone : {true, false}) {  // but none that nobody waits for, and none to a host that drains
        LateDial late(false, 800);
        if (gone)
            late.next.peer->close();
        else
            late.rig.gatherer->exchange().list(
                {coordinator::ListKind::changes,
                 {host("h0", late.host.address(), 0, coordinator::ServerState::draining)}});
        until(late.rig.io, [&] { return late.rig.count(Counter::dialsFailed) == 1; });
        CHECK(late.rig.count(Counter::dials) == 2 && late.rig.count(Counter::dialsBeside) == 0);
    }
}

// A part was given up, and is out again on the same connection: what comes first is the earlier's end, not the later's.
void lateAnswerMeetsTheNextAttempt() {
    FrameHost host(Rig::loop());
    std::vector<FrameHost::Part> held;
    host.onPart = [&](const FrameHost::Part& p) {
        p.id == "t.0" ? held.push_back(p) : p.answer("done", "v");
    };
    Rig rig({host.address()}, [](Config& c) {
        oneHost(c);
        c.settings.parallelTries = false;
        c.connections.calls = 32;
    });
    Client client(rig.io, rig.gatherer->endpoint()), other(rig.io, rig.gatherer->endpoint());
    client.send(query("t", {0}));
    std::size_t asked = 0;
    until(rig.io, [&] {  // the connection is heard all the time
        if (other.answers.size() == asked) other.send(query("o" + std::to_string(asked++), {1}));
        return held.size() == 2;
    });
    CHECK(rig.count(Counter::attemptsTimedOut) == 1 && &held[0].peer == &held[1].peer);
    held[0].answer("full", "");
    until(rig.io, [&] { return rig.count(Counter::lateFrames) == 1; });
    CHECK(rig.count(Counter::attemptsTurnedAway) == 0 && held.size() == 2);
    held[1].answer("done", "v");
    until(rig.io, [&] { return client.answers.size() == 1; });
    CHECK(client.answers[0].status == 200 && rig.count(Counter::attemptsSent) == 2 + asked);
}

// The host's end stands in the socket when a part is written: it was never sent, so a class that may not be repeated goes on.
void idleConnectionHasEnded() {
    for (int i = 0; i < 20; ++i) {
        FrameHost host(Rig::loop());
        Rig rig({host.address()}, [](Config& c) {
            oneHost(c);
            c.settings.classes[0].effect = coordinator::Effect::unsafe;
        });
        Client client(rig.io, rig.gatherer->endpoint());
        CHECK(client.ask(query("t1", {0})).status == 200);
        client.send(query("t2", {0}));  // first, so that it is handled first
        host.peers[0]->close();
        until(rig.io, [&] { return client.answers.size() == 2; });
        CHECK(client.answers[1].status == 200 && rig.count(Counter::dials) == 2);
        CHECK(rig.count(Counter::attemptsConnectionLost) == 0 && rig.count(Counter::attemptsWritten) == 2);
    }
}

// ---- watches

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }
std::string change(int generation, const std::string& state = "Ready") {
    return fmt::format(
        R"({{"generation":{},"reset":false,"instances":[{{"instanceId":"h{{\"}}","hostPort":"127.0.0.1:1",)"
        R"("cell":0,"lifecycle":"{}"}}]}})",
        generation, state);
}
std::string indented(const std::string& json) { return nlohmann::json::parse(json).dump(2); }

struct Watched {
    explicit Watched(discovery::WatchTimes times = {})
        : watch(
              io, clock, counters, log, agent.endpoint(), 3,
              [this](const HostList& l) { lists.push_back(l); }, times) {
        watch.start();
        until(io, [&] { return agent.targets.size() == 1; });
    }
    ~Watched() {
        watch.stop();
        settle(io);
    }
    asio::io_context& io = Rig::loop();
    Clock clock;
    Counters counters;
    Logger log{clock};
    HttpHost agent{io};
    std::vector<HostList> lists;
    discovery::Watch watch;
};

// Both are due before the loop turns: the silence's end and a line. The line is newer.
void lineAsSilenceEnds() {
    Watched w({60, 1000, 1});
    w.agent.peers[0]->send(kHead + chunk("\n") + chunk(change(4) + "\n"));
    until(w.io, [&] { return w.lists.size() == 1; });
    const auto began = std::chrono::steady_clock::now();
    w.agent.peers[0]->send(chunk("\n"));
    while (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(80))
        ;  // the loop stands still
    w.io.restart();
    w.io.poll_one();
    settle(w.io);
    CHECK(w.counters.get(Counter::watchesBroken) == 0);
    until(w.io, [&] { return w.counters.get(Counter::watchesBroken) == 1; });  // silent from then on
    until(w.io, [&] { return w.agent.targets.size() == 2; });
    CHECK(w.agent.targets[1] == "/discovery/hosts?watch=1&from=4");
}

// The timer to ask again has come due when the watch is moved.
void movedAsItAsksAgain() {
    HttpHost other(Rig::loop());
    Watched w({3000, 1000, 20});
    w.agent.peers[0]->close();
    until(w.io, [&] { return w.counters.get(Counter::watchesBroken) == 1; });
    bool moved = false;
    asio::steady_timer first(w.io, std::chrono::milliseconds(1));
    first.async_wait([&](asio::error_code) {
        w.watch.move(other.endpoint());
        moved = true;
    });
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(60))
        ;  // both are due by now
    until(w.io, [&] { return other.targets.size() == 1; });
    other.peers[0]->send(kHead + chunk(change(9) + "\n"));
    until(w.io, [&] { return w.lists.size() == 1; });
    settle(w.io);
    CHECK(moved && w.agent.targets.size() == 1 && other.targets.size() == 1 && other.peers.size() == 1);
}

// What can't be used ends its watch, so that nothing is jumped over; a list may be spread over lines, and need not end.
void badAndSpreadLists() {
    Watched w({3000, 1000, 1});
    w.agent.peers[0]->send(kHead + chunk(indented(change(4)) + "\n\n") +
                           chunk(indented(change(5, "Terminating")) + "\n"));
    until(w.io, [&] { return w.lists.size() == 2; });
    CHECK(w.lists[1].entries[0].entry.id == "h{\"}" && w.watch.generation() == 5);
    const std::string bads[] = {"nonsense\n", "{\"generation\":6}\n", change(6).substr(0, 40) + "\n\n",
                                "[]\n"};
    std::uint64_t bad = 0;
    for (const std::string& text : bads) {
        w.agent.peers.back()->send((bad == 0 ? "" : kHead) + chunk(text) + chunk(change(7) + "\n"));
        until(w.io, [&] { return w.agent.targets.size() == bad + 2; });
        CHECK(w.counters.get(Counter::badListUpdates) == ++bad && w.lists.size() == 2);
        CHECK(w.agent.targets.back() == "/discovery/hosts?watch=1&from=5");
    }
    w.agent.peers.back()->send(kHead + chunk(change(7) + "\n"));
    until(w.io, [&] { return w.lists.size() == 3; });
    // Without end: neither memory nor time is its sender's.
    Watched endless({60, 1000, 1});
    endless.agent.peers[0]->send(kHead + chunk("{\"a\":\n"));
    for (int i = 0; endless.counters.get(Counter::watchesBroken) == 0; ++i) {
        CHECK(i < 1'000'000);
        endless.agent.peers[0]->send(chunk("[\n"));
        settle(endless.io);
    }
    CHECK(endless.lists.empty());
}

// An agent that accepts and says nothing is asked again well before the silence of a watch that was heard, and before work may
// no longer go to a host whose drain it would tell.
void agentThatSaysNothing() {
    constexpr discovery::WatchTimes times;
    CHECK(times.connect + 2 * times.again < 1000);
    Watched w({20'000, 40, 1});
    until(w.io, [&] { return w.agent.targets.size() == 3; });
    CHECK(w.counters.get(Counter::watchesBroken) >= 2);
}

// ---- the end of the process

void longClass(Config& c) {
    c.settings.cells = c.settings.span = 1;
    for (auto& k : c.settings.classes) k.aim = k.deadline = 10'000'000'000;
}

// SIGKILL comes 3.7 s after SIGTERM at the soonest, however long the deadlines are: what is left by then has its answer.
void answersBeforeTheKill() {
    for (const bool unsafe : {false, true}) {
        HoldingHost host;
        auto& held = host.held;
        Rig rig({host.address()}, [&](Config& c) {
            longClass(c);
            if (unsafe) c.settings.classes[0].effect = coordinator::Effect::unsafe;
        });
        Client client(rig.io, rig.gatherer->endpoint());
        client.send(query("t", {0}, 10'000));
        until(rig.io, [&] { return held.size() == 1; });
        bool stopped = false;
        const Millis began = rig.clock.now();
        rig.clock.set(began);
        rig.gatherer->stop([&] { stopped = true; });
        rig.clock.set(began + 3300);
        settle(rig.io);
        CHECK(client.answers.empty() && !stopped);
        rig.clock.set(began + 3420);
        until(rig.io, [&] { return client.answers.size() == 1; });
        CHECK(client.answers[0].status == (unsafe ? 500 : 429) && !client.answers[0].keepAlive);
        client.peer->close();
        rig.clock.set(began + 3560);
        until(rig.io, [&] { return stopped; });
    }
}

// A deadline of 1 s brings SIGKILL after 1.7 s: a request of 1 s that comes on an idle connection after 0.7 s could not have it.
void closesWhoIsIdleInTime() {
    FrameHost host(Rig::loop());
    Rig rig({host.address()}, [](Config& c) {
        longClass(c);
        for (auto& k : c.settings.classes) k.aim = k.deadline = 1'000'000'000;
    });
    bool stopped = false;
    const Millis began = rig.clock.now();
    rig.clock.set(began);
    rig.gatherer->stop([&] { stopped = true; });
    rig.clock.set(began + 400);
    Client late(rig.io, rig.gatherer->endpoint());
    until(rig.io, [&] { return rig.gatherer->clients() == 1; });
    rig.clock.set(began + 690);
    settle(rig.io);
    CHECK(!late.peer->ended && !stopped);
    rig.clock.set(began + 701);
    until(rig.io, [&] { return late.peer->ended && stopped; });
}

}  // namespace

int main(int argc, char** argv) {  // one of them, where it is named
    const std::pair<const char*, void (*)()> tests[] = {
        {"waitsForADial", waitsForADial},
        {"waitsForAPlace", waitsForAPlace},
        {"waitsForAPlaceAtASearchHost", waitsForAPlaceAtASearchHost},
        {"handedBack", handedBack},
        {"standsBeforeAFullSocket", standsBeforeAFullSocket},
        {"claimedInOneTurn", claimedInOneTurn},
        {"leftBeforeItWasRead", leftBeforeItWasRead},
        {"leftBehindItsAnswer", leftBehindItsAnswer},
        {"lateLoops", lateLoops},
        {"lateLoopCutInTheMiddle", lateLoopCutInTheMiddle},
        {"furtherAttempts", furtherAttempts},
        {"copiesAndAttemptsAfterATimeOut", copiesAndAttemptsAfterATimeOut},
        {"sendsFarAhead", sendsFarAhead},
        {"sendsFarAheadOfItsAnswersEnd", sendsFarAheadOfItsAnswersEnd},
        {"restComesAsItsTimeEnds", restComesAsItsTimeEnds},
        {"searchAnsweredBeforeItHasGone", searchAnsweredBeforeItHasGone},
        {"cutAsItsClientLeaves", cutAsItsClientLeaves},
        {"placesOfWhatWasGivenUp", placesOfWhatWasGivenUp},
        {"waitsForADialAsAPlaceComesFree", waitsForADialAsAPlaceComesFree},
        {"dialsBesideALateDial", dialsBesideALateDial},
        {"lateAnswerMeetsTheNextAttempt", lateAnswerMeetsTheNextAttempt},
        {"idleConnectionHasEnded", idleConnectionHasEnded},
        {"lineAsSilenceEnds", lineAsSilenceEnds},
        {"movedAsItAsksAgain", movedAsItAsksAgain},
        {"badAndSpreadLists", badAndSpreadLists},
        {"agentThatSaysNothing", agentThatSaysNothing},
        {"answersBeforeTheKill", answersBeforeTheKill},
        {"closesWhoIsIdleInTime", closesWhoIsIdleInTime}};
    for (const auto& [name, test] : tests) {
        if (argc > 1 && std::string(argv[1]) != name) continue;
        std::fprintf(stderr, "%s\n", name);
        test();
    }
}
