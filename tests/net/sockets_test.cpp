// One test with real sockets for each rule.
#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

std::string change(const std::string& address, const std::string& state, int generation) {
    return "{\"generation\":" + std::to_string(generation) +
           R"(,"reset":false,"instances":[{"instanceId":"h0","hostPort":")" + address +
           R"(","zone":"a","machineType":"m","cell":0,"lifecycle":")" + state +
           R"(","weight":1.0,"startedAtMs":0}]})";
}
std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }
const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Pair {
    FrameHost a{Rig::loop()}, b{Rig::loop()};
    std::vector<std::string> addresses() { return {a.address(), b.address()}; }
    void onPart(const std::function<void(const FrameHost::Part&)>& f) { a.onPart = b.onPart = f; }
};

// The first calm day: a request that follows another on a kept connection was lost. Sent ahead here, too.
void keepsConnections() {
    Pair hosts;
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    client.send(query("t1", {0, 1}) + query("t2", {2}).substr(0, 40));
    until(rig.io, [&] { return client.answers.size() == 1; });
    client.send(query("t2", {2}).substr(40) + query("t3", {3}));
    until(rig.io, [&] { return client.answers.size() == 3; });
    CHECK(client.answers[0].status == 200 && client.answers[0].has(R"("whole":true)"));
    CHECK(client.answers[0].has(R"({"partition":1,"value":"v1"})"));
    CHECK(client.answers[2].has(R"("value":"v3")"));
    CHECK(client.ask("GET /up HTTP/1.1\r\n\r\n").status == 200);
    CHECK(client.ask("GET /counters HTTP/1.1\r\n\r\n").has("answeredWhole=3"));
    CHECK(!client.ask("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").keepAlive);
    until(rig.io, [&] { return client.peer->ended; });
}

void answersBadInput() {
    Pair hosts;
    Rig rig(hosts.addresses());
    const std::pair<std::string, int> cases[] = {
        {post("/pallet-lookup/k", "", "{"), 400},
        {post("/no-such-class/k", "X-Qos: no-such-class\r\n", "{}"), 400},
        {query("t", {9}), 400},
        {query("t", {1, 1}), 400},
        {"GET /pallet-lookup/k HTTP/1.1\r\n\r\n", 405},
        {post("/up", "", ""), 405},
        {"GET /nowhere HTTP/1.1\r\n\r\n", 404},
        {post("/pallet-lookup/k", "Padding: x\r\n", std::string(65537, 'x')), 413},
        {"nonsense\r\n\r\n", 400}};
    for (const auto& [bytes, status] : cases) {
        Client client(rig.io, rig.gatherer->endpoint());
        CHECK(client.ask(bytes).status == status);
    }
    CHECK(rig.count(Counter::queriesTaken) == 0 && hosts.a.got.empty() && hosts.b.got.empty());
}

void refusesOverTheCap() {
    Pair hosts;
    hosts.onPart([](const FrameHost::Part&) {});
    Rig rig(hosts.addresses(), [](Config& c) { c.settings.openCap = 4; });
    Client first(rig.io, rig.gatherer->endpoint()), second(rig.io, rig.gatherer->endpoint());
    first.send(query("t1", {0, 1}));
    until(rig.io, [&] { return rig.gatherer->exchange().live() == 1; });
    const Answer refused = second.ask(query("t2", {0, 1}));
    CHECK(refused.status == 429 && refused.has("Retry-After: 0.500"));
}

void endsBeforeTheTimeIsUp() {
    Pair hosts;
    hosts.onPart([](const FrameHost::Part&) {});
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    const Millis began = rig.clock.now();
    const Answer answer = client.ask(query("t", {0, 1}, 300));
    CHECK(answer.status == 429 && answer.has("Retry-After") && rig.clock.now() - began <= 350);
    until(rig.io, [&] {  // what was out is given up
        for (const FrameHost* h : {&hosts.a, &hosts.b})
            for (const std::string& f : h->got)
                if (f == "Ct.0") return true;
        return false;
    });
}

void triesAgainElsewhere() {
    Pair hosts;
    int failures = 0;
    hosts.onPart([&](const FrameHost::Part& p) { p.answer(failures++ == 0 ? "failed" : "done", "v"); });
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    CHECK(client.ask(query("t", {0})).status == 200);
    CHECK(rig.count(Counter::attemptsSent) == 2 && rig.count(Counter::attemptsError) == 1);
}

void brokenConnections() {
    Pair hosts;
    int dropped = 0;
    hosts.onPart([&](const FrameHost::Part& p) { dropped++ == 0 ? p.peer.close() : p.answer("done", "v"); });
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    CHECK(client.ask(query("t", {0})).status == 200);
    CHECK(rig.count(Counter::attemptsConnectionLost) == 1 && rig.count(Counter::attemptsNoConnection) == 0);

    tcp::acceptor none(rig.io, kAnyPort);  // refuses once closed
    const std::string nowhere = "127.0.0.1:" + std::to_string(none.local_endpoint().port());
    none.close();
    Rig deaf({nowhere, hosts.a.address()});
    Client other(deaf.io, deaf.gatherer->endpoint());
    for (int i = 0; i < 20 && deaf.count(Counter::attemptsNoConnection) == 0; ++i)
        CHECK(other.ask(query("t" + std::to_string(i), {0, 1, 2, 3})).status == 200);
    CHECK(deaf.count(Counter::attemptsNoConnection) > 0 && deaf.count(Counter::attemptsConnectionLost) == 0);
}

void badFramesCloseOnlyTheirConnection() {
    Pair hosts;
    int bad = 0;
    hosts.onPart([&](const FrameHost::Part& p) {
        bad++ == 0 ? p.peer.send("\xff\xff\xff\xff") : p.answer("done", "v");
    });
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    CHECK(client.ask(query("t", {0})).status == 200 && rig.count(Counter::badFrames) == 1);
}

// Hundreds that say nothing, or half of something, do not shut real clients out, and are gone within 3 s.
void shedsThoseWhoSayNothing() {
    Pair hosts;
    Rig rig(hosts.addresses(), [](Config& c) { c.sockets = 48; });  // 16 of them for clients
    std::vector<std::unique_ptr<Client>> silent;
    const auto add = [&](const std::string& text) {
        rig.clock.set(rig.clock.now() + 10);
        silent.push_back(std::make_unique<Client>(rig.io, rig.gatherer->endpoint()));
        if (!text.empty()) silent.back()->send(text);
        rig.io.restart();
        while (rig.io.poll() > 0) rig.io.restart();
    };
    Client regular(rig.io, rig.gatherer->endpoint());
    CHECK(regular.ask(query("t0", {0, 1})).status == 200);
    for (int i = 0; i < 60; ++i) add(i % 2 == 0 ? "" : query("half", {0}).substr(0, 80));
    Client late(rig.io, rig.gatherer->endpoint());
    CHECK(late.ask(query("t1", {0, 1})).status == 200 && regular.ask(query("t2", {2})).status == 200);
    until(rig.io, [&] { return silent[0]->peer->ended; });
    CHECK(!regular.peer->ended && rig.gatherer->clients() <= 16);
    rig.clock.set(rig.clock.now() + 2300);  // of 3 s from their connecting
    until(rig.io, [&] {
        return std::all_of(silent.begin(), silent.end(), [](const auto& c) { return c->peer->ended; });
    });
    CHECK(std::any_of(silent.begin(), silent.end(), [](const auto& c) {  // half a request is told why
        return c->answers.size() == 1 && c->answers[0].status == 408 && !c->answers[0].keepAlive;
    }));
    CHECK(!regular.peer->ended);
    rig.clock.set(rig.clock.now() + 11'000);  // between requests for too long
    until(rig.io, [&] { return regular.peer->ended && rig.gatherer->clients() == 0; });
}

// Who asks and stays would shut out who comes later: from half of the places on, an answer ends its connection.
void sendsAskersAwayInOrderWhenPlacesRunShort() {
    Pair hosts;
    Rig rig(hosts.addresses(), [](Config& c) { c.sockets = 48; });  // 16 of them for clients
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<Client>(rig.io, rig.gatherer->endpoint()));
        const Answer a = clients.back()->ask(query("t" + std::to_string(i), {0}));
        CHECK(a.status == 200 && a.keepAlive == (i < 8));
        if (!a.keepAlive) clients.back()->peer->close();
        if (i >= 8) until(rig.io, [&] { return rig.gatherer->clients() == 8; });
    }
    for (int i = 0; i < 8; ++i) CHECK(!clients[static_cast<std::size_t>(i)]->peer->ended);
}

// Closing while a client still sends would reset its connection before it reads why.
void answersWhoStillSends() {
    Pair hosts;
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    client.send("POST /pallet-lookup/k HTTP/1.1\r\nContent-Length: 8388608\r\n\r\n");
    const std::string piece(32768, 'x');
    for (int i = 0; i < 256; ++i) {
        asio::error_code error;
        asio::write(client.peer->socket, asio::buffer(piece), error);
        CHECK(!error);
        rig.io.restart();
        while (rig.io.poll() > 0) rig.io.restart();
    }
    until(rig.io, [&] { return client.answers.size() == 1; });
    CHECK(client.answers[0].status == 413 && !client.answers[0].keepAlive);
}

// What is sent ahead waits behind the answer before it, while its own time passes already.
void countsTheTimeInTheBuffer() {
    Pair hosts;
    std::vector<FrameHost::Part> held;
    hosts.onPart([&](const FrameHost::Part& p) { held.push_back(p); });
    Rig rig(hosts.addresses());
    Client client(rig.io, rig.gatherer->endpoint());
    const Millis began = rig.clock.now();
    client.send(query("t1", {0}) + query("t2", {0}, 200));
    until(rig.io, [&] { return held.size() == 1 && rig.clock.now() - began > 220; });
    held[0].answer("done", "v");
    until(rig.io, [&] { return client.answers.size() == 2; });
    CHECK(client.answers[0].status == 200 && client.answers[1].status == 429 && held.size() == 1);
}

// One host that holds all, so that whatever fails is asked there again.
struct Single {
    explicit Single(const std::function<void(Config&)>& change = {})
        : rig({host.address()}, [&](Config& c) {
              c.settings.cells = c.settings.span = 1;
              c.connections.calls = 32;
              if (change) change(c);
          }) {}
    FrameHost host{Rig::loop()};
    Rig rig;
    Client client{rig.io, rig.gatherer->endpoint()};
};

// A spoilt answer is one failed attempt. What else was out on its connection is asked again at once, and the
// module hears nothing of a host that is down.
void spoiltAnswers() {
    const std::function<std::string(const std::string&)> spoils[] = {
        [](const std::string&) { return std::string("\xff\xff\xff\xff"); },
        [](const std::string&) { return std::string("\0\0\0\x40QQ", 6); },
        [](const std::string& id) { return std::string("\0\0\0\x40R", 5) + id + " done 1 -\nv"; },  // no end
        [](const std::string& id) { return std::string("\xb2\xd0\x5e\0R", 5) + id + " done 1 -\nv"; },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " done without end"; },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " maybe 1 -\nvv"; },
        [](const std::string&) { return std::string("\0\0\0\x10Rx.9 done 1 -\nvv", 20); },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " done 1 -\n\xff\xfe"; }};
    for (const auto& spoil : spoils) {
        Single s;
        int parts = 0;
        s.host.onPart = [&](const FrameHost::Part& p) {
            if (++parts > 2) return p.answer("done", "good");
            if (parts == 2) p.peer.send(spoil(p.id));  // and nothing for the other
        };
        const Millis began = s.rig.clock.now();
        const Answer answer = s.client.ask(query("t", {0, 1}));
        CHECK(answer.status == 200 && !answer.has("vv") && s.rig.clock.now() - began < 200);
        CHECK(s.rig.count(Counter::badFrames) == 1 && s.host.peers[0]->ended);
        CHECK(s.rig.count(Counter::attemptsConnectionLost) + s.rig.count(Counter::attemptsNoConnection) == 0);
    }
}

// Good answers count, whatever comes behind them; their connection takes nothing new.
void goodAnswersWithMore() {
    const std::pair<std::string, std::size_t> cases[] = {
        {"noise", 2}, {"copy", 2}, {std::string("\0\0\0\x40R", 5), 2}, {"report", 1}};
    for (const auto& [more, connections] : cases) {
        Single s;
        s.host.onPart = [&, more = more](const FrameHost::Part& p) {
            std::string all;
            backend::writeFrame(all, 'R',
                                p.id + " done 1 " + (more == "report" ? "a=b=c,,\xff" : "-") + "\nv");
            p.peer.send(all + (more == "copy" ? all : more == "report" ? "" : more));
        };
        CHECK(s.client.ask(query("t1", {0})).has(R"("value":"v")"));
        CHECK(s.client.ask(query("t2", {1})).has(R"("value":"v")"));
        CHECK(s.host.peers.size() == connections && s.rig.count(Counter::attemptsSent) == 2);
    }
}

// A connection falls silent while its host is well: the next part finds another way, and when that is
// answered what was out is asked again at once, not when its time is up.
void silentConnections() {
    Single s;
    s.host.onPart = [&](const FrameHost::Part& p) {
        if (&p.peer != s.host.peers[0].get()) p.answer("done", "v");
    };
    Client other(s.rig.io, s.rig.gatherer->endpoint());
    const Millis began = s.rig.clock.now();
    s.client.send(query("t1", {0}));
    until(s.rig.io, [&] { return s.rig.clock.now() - began > 150; });
    CHECK(s.client.answers.empty() && other.ask(query("t2", {1})).status == 200);
    until(s.rig.io, [&] { return s.client.answers.size() == 1; });
    CHECK(s.client.answers[0].status == 200 && s.rig.clock.now() - began < 800);
    CHECK(s.host.peers.size() == 2 && s.rig.count(Counter::silentConnections) == 1);

    Single slow;  // a host that takes long for all it does has no dead connections
    std::vector<FrameHost::Part> held;
    slow.host.onPart = [&](const FrameHost::Part& p) { held.push_back(p); };
    for (int i = 0; i < 60; ++i) {
        held.clear();
        slow.client.send(query("w" + std::to_string(i), {0}));
        until(slow.rig.io, [&] { return held.size() == 1; });
        slow.rig.clock.set(slow.rig.clock.now() + 40);
        held[0].answer("done", "v");
        until(slow.rig.io, [&] { return slow.client.answers.size() == static_cast<std::size_t>(i) + 1; });
    }
    held.clear();
    slow.client.send(query("w", {0}));
    until(slow.rig.io, [&] { return held.size() == 1; });
    slow.rig.clock.set(slow.rig.clock.now() + 100);
    Client more(slow.rig.io, slow.rig.gatherer->endpoint());
    more.send(query("x", {1}));
    until(slow.rig.io, [&] { return held.size() == 2; });
    CHECK(slow.host.peers.size() == 1 && slow.rig.count(Counter::silentConnections) == 0);

    Single given;  // where all that is out was given up, nothing new goes there either
    given.host.onPart = [&](const FrameHost::Part& p) {
        if (&p.peer != given.host.peers[0].get()) p.answer("done", "v");
    };
    CHECK(given.client.ask(query("t3", {0}, 200)).status == 429);
    CHECK(given.client.ask(query("t4", {0}, 1000)).status == 200);
}

// An answer to what was given up is late, and harms nobody; one to what never was asked is not.
void lateAnswers() {
    Single s;
    std::vector<FrameHost::Part> held;
    s.host.onPart = [&](const FrameHost::Part& p) { held.push_back(p); };
    {
        Client leaves(s.rig.io, s.rig.gatherer->endpoint());
        leaves.send(query("t", {0}));
        until(s.rig.io, [&] { return held.size() == 1; });
    }
    until(s.rig.io, [&] { return s.rig.count(Counter::attemptsCancelled) == 1; });
    held[0].answer("done", "late");
    until(s.rig.io, [&] { return s.rig.count(Counter::lateFrames) == 1; });
    s.host.onPart = [](const FrameHost::Part& p) { p.answer("done", "v"); };
    CHECK(s.client.ask(query("t2", {0})).status == 200 && s.rig.count(Counter::badFrames) == 0);
}

// Where all connections are full, parts wait for a place: no fault of the host's.
void waitsForAPlace() {
    Single s([](Config& c) { c.connections.calls = c.connections.perHost = 1; });
    CHECK(s.client.ask(query("t", {0, 1, 2, 3})).status == 200);
    CHECK(s.host.peers.size() == 1 && s.rig.count(Counter::attemptsNoConnection) == 0);
    CHECK(s.rig.count(Counter::attemptsSent) == 4);
}

// Descriptors are few: an idle connection to one host makes room for one to another.
void keepsToItsDescriptors() {
    Pair hosts;
    Rig rig(hosts.addresses(), [](Config& c) {
        c.sockets = 2;  // one of them for track hosts
        c.settings.span = 1;
    });
    Client client(rig.io, rig.gatherer->endpoint());
    for (int i = 0; i < 4; ++i) CHECK(client.ask(query("t" + std::to_string(i), {i % 2})).status == 200);
    CHECK(hosts.a.peers.size() == 2 && hosts.b.peers.size() == 2);
    until(rig.io, [&] { return hosts.a.peers[1]->ended; });
}

void keepsToTheCallsOfAConnection() {
    FrameHost host(Rig::loop());
    std::vector<FrameHost::Part> held;
    host.onPart = [&](const FrameHost::Part& p) { held.push_back(p); };
    Rig rig({host.address()}, [](Config& c) {
        c.connections.calls = 2;
        c.settings.cells = c.settings.span = 1;
    });
    Client client(rig.io, rig.gatherer->endpoint());
    client.send(query("t", {0, 1, 2, 3}));
    until(rig.io, [&] { return held.size() == 4; });
    CHECK(host.peers.size() == 2);
    std::map<Peer*, int> on;
    for (const auto& p : held) ++on[&p.peer];
    for (const auto& [peer, count] : on) CHECK(count == 2);
    for (const auto& p : held) p.answer("done", "v");
    until(rig.io, [&] { return client.answers.size() == 1; });
}

void closesIdleConnectionsFirst() {
    FrameHost host(Rig::loop());
    Rig rig({host.address()}, [](Config& c) {
        c.connections.idle = 100;
        c.settings.cells = c.settings.span = 1;
    });
    Client client(rig.io, rig.gatherer->endpoint());
    CHECK(client.ask(query("t", {0})).status == 200);
    until(rig.io, [&] { return host.peers[0]->ended; });
    CHECK(client.ask(query("t2", {0})).status == 200 && host.peers.size() == 2);
}

void clientsThatLeave() {
    Pair hosts;
    hosts.onPart([](const FrameHost::Part&) {});
    Rig rig(hosts.addresses());
    {
        Client client(rig.io, rig.gatherer->endpoint());
        client.send(query("t", {0}));
        until(rig.io, [&] { return hosts.a.got.size() + hosts.b.got.size() == 1; });
    }
    until(rig.io, [&] { return hosts.a.got.size() + hosts.b.got.size() == 2; });
    CHECK((hosts.a.got.empty() ? hosts.b : hosts.a).got.back() == "Ct.0");
    CHECK(rig.count(Counter::clientsGone) == 1 && rig.gatherer->exchange().live() == 0);
}

void sendsNothingToADrainingHost() {
    Pair hosts;
    PeerPtr watch;
    HttpHost* agent = nullptr;
    Rig rig(hosts.addresses());
    agent = &rig.agent;
    until(rig.io, [&] { return !agent->targets.empty(); });
    CHECK(agent->targets[0] == "/discovery/hosts?watch=1&from=0");
    watch = agent->peers.back();
    const std::string line = change(hosts.a.address(), "Terminating", 7) + "\n";
    watch->send(kWatchHead + chunk("\n"));
    for (const char c : line) watch->send(chunk(std::string(1, c)));  // split anywhere
    until(rig.io, [&] { return rig.count(Counter::listUpdates) == 2; });
    Client client(rig.io, rig.gatherer->endpoint());
    for (int i = 0; i < 20; ++i)
        CHECK(client.ask(query("t" + std::to_string(i), {0, 1, 2, 3})).status == 200);
    CHECK(hosts.a.got.empty());
    // A bad update changes nothing, is told, and ends its watch: what comes behind it there would jump over what was missed. The
    // next watch goes on from what was reached.
    watch->send(chunk("{\"generation\":8}\n") + chunk(change(hosts.a.address(), "Ready", 9) + "\n"));
    until(rig.io, [&] { return agent->targets.size() == 2; });
    CHECK(rig.count(Counter::badListUpdates) == 1 && rig.count(Counter::listUpdates) == 2);
    CHECK(agent->targets[1] == "/discovery/hosts?watch=1&from=7");
    watch = agent->peers.back();
    watch->send(kWatchHead + chunk(change(hosts.a.address(), "Ready", 9) + "\n"));
    until(rig.io, [&] { return rig.count(Counter::listUpdates) == 3; });
    watch->close();  // and the next watch goes on from there
    until(rig.io, [&] { return agent->targets.size() == 3; });
    CHECK(agent->targets[2] == "/discovery/hosts?watch=1&from=9");
}

void askAgainWhenTheWatchIsSilent() {
    Clock clock;
    Counters counters;
    Logger log(clock);
    HttpHost agent(Rig::loop());
    discovery::Watch watch(Rig::loop(), clock, counters, log, agent.endpoint(), 3, [](const HostList&) {},
                           {50, 1});
    watch.start();
    until(Rig::loop(), [&] { return agent.targets.size() == 3; });
    CHECK(agent.targets[2] == "/discovery/hosts?watch=1&from=3" && counters.get(Counter::watchesBroken) >= 2);
}

void stopsInOrder() {
    Pair hosts;
    std::vector<FrameHost::Part> held;
    hosts.onPart([&](const FrameHost::Part& p) { held.push_back(p); });
    Rig rig(hosts.addresses());
    Client busy(rig.io, rig.gatherer->endpoint()), idle(rig.io, rig.gatherer->endpoint());
    busy.send(query("t", {0}));
    until(rig.io, [&] { return held.size() == 1; });
    bool stopped = false;
    const Millis began = rig.clock.now();
    rig.gatherer->stop([&] { stopped = true; });
    {
        Client late(rig.io, rig.gatherer->endpoint());  // still taken in
        const Answer answer = late.ask("GET /up HTTP/1.1\r\n\r\n");
        CHECK(answer.status == 503 && !answer.keepAlive);
    }
    until(rig.io, [&] { return idle.peer->ended; });
    CHECK(!stopped && rig.clock.now() - began >= 400);
    held[0].answer("done", "v");
    until(rig.io, [&] { return stopped; });
    CHECK(busy.answers.size() == 1 && busy.answers[0].status == 200 && !busy.answers[0].keepAlive);
    CHECK(rig.clock.now() - began < 3400);
}

}  // namespace

int main() {
    keepsConnections();
    answersBadInput();
    refusesOverTheCap();
    endsBeforeTheTimeIsUp();
    triesAgainElsewhere();
    brokenConnections();
    badFramesCloseOnlyTheirConnection();
    sendsAskersAwayInOrderWhenPlacesRunShort();
    shedsThoseWhoSayNothing();
    answersWhoStillSends();
    countsTheTimeInTheBuffer();
    spoiltAnswers();
    goodAnswersWithMore();
    lateAnswers();
    silentConnections();
    waitsForAPlace();
    keepsToItsDescriptors();
    keepsToTheCallsOfAConnection();
    closesIdleConnectionsFirst();
    clientsThatLeave();
    sendsNothingToADrainingHost();
    askAgainWhenTheWatchIsSilent();
    stopsInOrder();
}
