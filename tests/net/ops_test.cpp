// The operators' parts on real sockets: one test for each promise.
#include <fcntl.h>
#include <sys/file.h>
#include <sys/inotify.h>
#include <unistd.h>

#include <algorithm>
#include <asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n"; }
std::string put(const std::string& target) {
    return "PUT " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

// Gatherers with an operators' endpoint, in front of one host.
struct Staff {
    explicit Staff(const std::function<void(Config&)>& change = {})
        : rig({host.address()}, [&](Config& c) {
              c.settings.cells = c.settings.span = 1;
              c.operatorEndpoint = kAnyPort;
              if (change) change(c);
          }) {}
    Answer call(const std::string& bytes) {
        Client caller(rig.io, rig.gatherer->operatorAddress());
        const Answer answer = caller.ask(bytes);
        until(rig.io, [&] { return caller.peer->ended; });  // one call to a connection
        return answer;
    }
    // A figure of /ops/stats by its path.
    double stat(const std::string& path) {
        const Answer answer = call(get("/ops/stats"));
        CHECK(answer.status == 200 && answer.has("application/json"));
        return nlohmann::json::parse(answer.body).at(nlohmann::json::json_pointer("/" + path)).get<double>();
    }
    int up() { return Client(rig.io, rig.gatherer->endpoint()).ask(get("/up")).status; }
    FrameHost host{Rig::loop()};
    Rig rig;
};

void badCallsGetOneClearError() {
    Staff staff;
    const std::pair<std::string, int> cases[] = {
        {get("/ops/readiness"), 200},
        {get("/ops/nothing"), 404},
        {get("/up"), 404},
        {put("/ops/track-hosts/sideways/h0"), 404},
        {put("/ops/track-hosts/down"), 404},
        {put("/ops/track-hosts/down/"), 400},
        {put("/ops/track-hosts/down/h%2"), 400},
        {put("/ops/track-hosts/down/a/b"), 400},
        {put("/ops/track-hosts/down/h7"), 404},
        {put("/ops/track-hosts/up/h7"), 404},
        {"nonsense\r\n\r\n", 400},
        {"GET /ops/stats HTTP/1.1\r\nPadding: " + std::string(24000, 'x') + "\r\n\r\n", 431}};
    for (const auto& [bytes, status] : cases) {
        const Answer a = staff.call(bytes);
        if (a.status != status) std::fprintf(stderr, "%s: %d\n", bytes.substr(0, 40).c_str(), a.status);
        CHECK(a.status == status);
    }
    const Answer wrong = staff.call(put("/ops/stats"));
    CHECK(wrong.status == 405 && wrong.has("Allow: GET"));
    CHECK(staff.call(get("/ops/drain/start")).has("Allow: PUT"));
    CHECK(staff.up() == 200);  // nothing was changed by any of them
}

// Callers who finish no call take no place from those who do, and are gone after a while.
void slowCallersKeepNobodyOut() {
    Staff staff;
    std::vector<std::unique_ptr<Client>> slow;
    for (int i = 0; i < 40; ++i) {
        slow.push_back(std::make_unique<Client>(staff.rig.io, staff.rig.gatherer->operatorAddress()));
        if (i % 2 == 0) slow.back()->send("GET /ops/rea");
        CHECK(staff.call(get("/ops/readiness")).status == 200);
    }
    staff.rig.clock.set(staff.rig.clock.now() + 2300);
    until(staff.rig.io, [&] {
        return std::all_of(slow.begin(), slow.end(), [](const auto& c) { return c->peer->ended; });
    });
}

void drainsAndIsUndone() {
    Staff staff;
    asio::io_context& io = staff.rig.io;
    staff.rig.clock.set(staff.rig.clock.now());  // time passes as the test says
    std::vector<FrameHost::Part> held;
    staff.host.onPart = [&](const FrameHost::Part& p) { held.push_back(p); };
    Client busy(io, staff.rig.gatherer->endpoint()), idle(io, staff.rig.gatherer->endpoint());
    CHECK(idle.ask(get("/up")).status == 200);
    busy.send(query("t1", {0}));
    until(io, [&] { return held.size() == 1; });

    CHECK(staff.call(put("/ops/drain/start")).status == 200);
    CHECK(staff.call(put("/ops/drain/start")).status == 200);  // twice is as once
    CHECK(staff.up() == 503 && staff.call(get("/ops/readiness")).status == 200);
    staff.host.onPart = [](const FrameHost::Part& p) { p.answer("done", "v"); };
    Client late(io, staff.rig.gatherer->endpoint());  // the front hears of it a little later
    const Answer served = late.ask(query("t2", {0}));
    CHECK(served.status == 200 && !served.keepAlive && !idle.peer->ended);
    const Answer crossed = idle.ask(query("t3", {0}));  // a request on a connection kept from before
    CHECK(crossed.status == 200 && !crossed.keepAlive);
    late.peer->close();
    idle.peer->close();
    until(io, [&] { return staff.rig.gatherer->clients() == 1; });  // the busy one
    Client silent(io, staff.rig.gatherer->endpoint());
    until(io, [&] { return staff.rig.gatherer->clients() == 2; });
    staff.rig.clock.set(staff.rig.clock.now() + 1000);
    until(io, [&] { return silent.peer->ended; });
    CHECK(staff.rig.gatherer->clients() == 1 && !busy.peer->ended);
    held[0].answer("done", "v");
    until(io, [&] { return busy.answers.size() == 1 && busy.peer->ended; });
    CHECK(busy.answers[0].status == 200 && !busy.answers[0].keepAlive);

    CHECK(staff.call(put("/ops/drain/stop")).status == 200 && staff.up() == 200);
    Client back(io, staff.rig.gatherer->endpoint());
    CHECK(back.ask(query("t4", {0})).keepAlive);
    staff.rig.clock.set(staff.rig.clock.now() + 3000);
    CHECK(back.ask(query("t5", {0})).keepAlive && !back.peer->ended);
}

// A folder of its own beside the test's program, whatever folder it is started in; gone with the test, unless a
// check ended the process.
struct Folder {
    Folder() { CHECK(::mkdtemp(path.data()) != nullptr); }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string file() const { return path + "/beechpoint-n0.bans"; }
    std::string path = std::filesystem::canonical("/proc/self/exe").parent_path() / "beechpoint-state-XXXXXX";
};

// Taken out, a host gets nothing: in this process, in one beside it, in one that comes after; put back, it does.
void hostsOutByHandOutliveTheProcess() {
    Folder folder;
    const auto kept = [&](Config& c) { c.stateFolder = folder.path; };
    const std::string ids[] = {"t1", "t2", "t3", "t4"};
    {
        Staff old(kept), beside(kept);
        CHECK(old.call(put("/ops/track-hosts/down/%68%30")).status == 200);
        CHECK(old.call(put("/ops/track-hosts/down/h0")).status == 200);
        until(beside.rig.io, [&] { return beside.stat("hosts_down") == 1; });
        for (Staff* staff : {&old, &beside}) {
            Client client(staff->rig.io, staff->rig.gatherer->endpoint());
            CHECK(client.ask(query("t1", {0}, 200)).status == 429 && staff->host.got.empty());
        }
    }
    Staff next(kept);
    CHECK(next.stat("hosts_down") == 1 && next.stat("hosts_listed") == 1);
    CHECK(next.call(put("/ops/track-hosts/up/h0")).status == 200 && next.stat("hosts_down") == 0);
    Client client(next.rig.io, next.rig.gatherer->endpoint());
    CHECK(client.ask(query("t2", {0})).status == 200);
}

// The figures are what the peers saw, by class, from 0 on.
void figuresAreWhatPeersSaw() {
    Staff staff([](Config& c) { c.settings.openCap = 4; });
    asio::io_context& io = staff.rig.io;
    for (const char* figure : {"success", "busy", "failure"})
        for (const char* klass : {"pallet-lookup", "day-report"})
            CHECK(staff.stat(std::string(figure) + "/" + klass) == 0);
    Client client(io, staff.rig.gatherer->endpoint()), other(io, staff.rig.gatherer->endpoint());
    for (const char* id : {"t1", "t2"}) CHECK(client.ask(query(id, {0, 1})).status == 200);
    CHECK(client.ask(query("t3", {0}, 3000, "q", "day-report")).status == 200);
    CHECK(client.ask(query("t4", {9})).status == 400);
    std::vector<FrameHost::Part> held;
    staff.host.onPart = [&](const FrameHost::Part& p) { held.push_back(p); };
    client.send(query("t5", {0, 1}));
    until(io, [&] { return held.size() == 2; });
    CHECK(other.ask(query("t6", {0, 1})).status == 429);  // over the cap
    CHECK(staff.stat("inflight") == 1 && staff.stat("success/pallet-lookup") == 2);
    CHECK(staff.stat("success/day-report") == 1 && staff.stat("busy/pallet-lookup") == 1);
    CHECK(staff.stat("failure/pallet-lookup") == 1 && staff.stat("failure/day-report") == 0);
    CHECK(staff.stat("backend_calls") == 7 && staff.stat("hosts_listed") == 1);
    client.peer->close();  // leaves: counted nowhere
    until(io, [&] { return staff.rig.gatherer->exchange().live() == 0; });
    CHECK(staff.stat("inflight") == 0 && staff.stat("success/pallet-lookup") == 2);
}

// An upgrade under load: clients ask one request after another, each on its connection or on a new one; the old
// process ends, and nobody is left without an answer.
void everyRequestIsAnsweredOverAnUpgrade() {
    Folder folder;
    Staff old([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = old.rig.io;
    const tcp::endpoint at = old.rig.gatherer->endpoint();
    std::vector<std::unique_ptr<Client>> clients;
    int asked = 0, answered = 0;
    std::function<void(int)> ask = [&](int i) {
        clients[static_cast<std::size_t>(i)]->send(query("t" + std::to_string(asked++), {0, 1}));
    };
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<Client>(io, at));
        clients.back()->onAnswer = [&, i](const Answer& a) {
            CHECK(a.status == 200);
            ++answered;
            asio::post(io, [&, i, keep = a.keepAlive] {
                auto& client = clients[static_cast<std::size_t>(i)];
                if (!keep) {
                    auto next = std::make_unique<Client>(io, at);
                    next->onAnswer = client->onAnswer;
                    client = std::move(next);
                }
                if (asked < 2000) ask(i);
            });
        };
    }
    for (int i = 0; i < 4; ++i) ask(i);
    until(io, [&] { return answered >= 300; });
    Staff next([&](Config& c) {
        c.stateFolder = folder.path;
        c.listen = at;
    });
    until(io, [&] { return answered >= 600; });
    bool ended = false;
    old.rig.gatherer->stop([&] { ended = true; });
    until(io, [&] { return ended && answered == 2000; });
    CHECK(asked == 2000 &&
          old.rig.count(Counter::queriesTaken) + next.rig.count(Counter::queriesTaken) == 2000);
    CHECK(next.rig.count(Counter::queriesTaken) >= 1000);  // all connections moved over
}

// Both are one gatherer to the open cap, and one alone has it all again once the other is gone.
void twoProcessesShareTheOpenCap() {
    Folder folder;
    const auto change = [&](Config& c) {
        c.stateFolder = folder.path;
        c.settings.openCap = 8;
    };
    Staff old(change);
    old.host.onPart = [](const FrameHost::Part&) {};
    asio::io_context& io = old.rig.io;
    int id = 0;
    const auto taken = [&](int queries) {
        std::vector<std::unique_ptr<Client>> clients;
        for (int i = 0; i < queries; ++i) {
            clients.push_back(std::make_unique<Client>(io, old.rig.gatherer->endpoint()));
            clients.back()->send(query("t" + std::to_string(++id), {0, 1}));
        }
        const auto refused = [&] {
            return std::count_if(clients.begin(), clients.end(),
                                 [](const auto& c) { return !c->answers.empty(); });
        };
        until(io,
              [&] { return static_cast<int>(old.rig.gatherer->exchange().live() + refused()) == queries; });
        const auto live = old.rig.gatherer->exchange().live();
        clients.clear();
        until(io, [&] { return old.rig.gatherer->exchange().live() == 0; });
        return live;
    };
    CHECK(taken(4) == 2);
    {
        Staff beside(change);
        // Its record is seen once the old process looks again.
        until(io, [&] { return old.rig.gatherer->limitsShare() == 0.5; });
        CHECK(beside.rig.gatherer->limitsShare() == 0.5 && taken(4) == 1);
    }
    until(io, [&] { return old.rig.gatherer->limitsShare() == 1; });
    CHECK(taken(4) == 2);
}

// A file of the folder that another process of this gatherer holds locked.
struct Held {
    Held(const std::string& path, const std::string& text)
        : fd(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
        CHECK(fd >= 0 && ::flock(fd, LOCK_EX | LOCK_NB) == 0);
        write(text);
    }
    ~Held() { ::close(fd); }
    Held(const Held&) = delete;
    void write(const std::string& text) {
        CHECK(::ftruncate(fd, 0) == 0 &&
              ::pwrite(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }
    int fd;
};

// SIGTERM comes after the other process listens and before its record says so: this one takes newcomers until it does.
void stopsBetweenAnothersReadinessAndItsRecord() {
    Folder folder;
    Staff old([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = old.rig.io;
    Held record(folder.path + "/beechpoint-n0.other.process", R"({"started":1e15,"state":0})");
    until(io, [&] { return old.rig.gatherer->limitsShare() == 0.5; });
    old.rig.clock.set(
        old.rig.clock.now());  // half a second never passes: only the record can close the listener
    const tcp::endpoint at = old.rig.gatherer->endpoint();
    bool ended = false;
    old.rig.gatherer->stop([&] { ended = true; });
    {
        Client client(io, at);
        const Answer answer = client.ask(query("t", {0}));
        CHECK(answer.status == 200 && !answer.keepAlive && !ended && old.up() == 503);
    }
    record.write(R"({"started":1e15,"state":1})");
    until(io, [&] { return ended; });
    tcp::socket late(io);
    asio::error_code refused;
    late.connect(at, refused);
    CHECK(refused == asio::error::connection_refused);
}

// The process ends while a call waits for the lock on the file: nothing is changed, then or later.
void stopsWhileACallWaitsForTheLock() {
    Folder folder;
    Held record(folder.path + "/beechpoint-n0.other.process", R"({"started":1e15,"state":1})");
    auto old = std::make_unique<Staff>([&](Config& c) { c.stateFolder = folder.path; });
    asio::io_context& io = Rig::loop();
    auto lock = std::make_unique<Held>(folder.file() + ".lock", "");
    const int opened = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    CHECK(opened >= 0 && ::inotify_add_watch(opened, (folder.file() + ".lock").c_str(), IN_OPEN) >= 0);
    Client caller(io, old->rig.gatherer->operatorAddress());
    caller.send(put("/ops/track-hosts/down/h0"));
    char event[512];
    until(io, [&] { return ::read(opened, event, sizeof event) > 0; });  // it has been tried for
    ::close(opened);
    bool ended = false, passed = false;
    old->rig.gatherer->stop([&] { ended = true; });
    until(io, [&] { return ended && caller.peer->ended; });
    CHECK(caller.answers.empty());
    lock.reset();  // now it could be had
    old.reset();
    asio::steady_timer later(
        io, std::chrono::milliseconds(50));  // behind the next try, which is due within 10 ms
    later.async_wait([&](asio::error_code) { passed = true; });
    until(io, [&] { return passed; });
    CHECK(!std::filesystem::exists(folder.file()));
}

void aCallThatCantBeStoredChangesNothing() {
    Staff staff([](Config& c) { c.stateFolder = "no-such-folder"; });
    CHECK(staff.call(put("/ops/track-hosts/down/h0")).status == 503 && staff.stat("hosts_down") == 0);
}

void damagedFilesAreIgnored() {
    const std::string sound = admin::writeBans({"h0", "h1"});
    CHECK(admin::readBans(sound) == admin::HostBans::Hosts({"h0", "h1"}));
    for (std::size_t cut = 0; cut + 2 < sound.size(); ++cut) CHECK(!admin::readBans(sound.substr(0, cut)));
    std::string other = sound;
    other.replace(other.find("h0"), 2, "h2");  // the checksum is another one's
    for (const std::string& text :
         {other, std::string("{\"version\":2}"), std::string("[]"), std::string("null")})
        CHECK(!admin::readBans(text));
    Folder folder;
    std::ofstream(folder.file()) << other;
    Staff staff([&](Config& c) { c.stateFolder = folder.path; });
    CHECK(staff.stat("hosts_down") == 0);
    CHECK(staff.call(put("/ops/track-hosts/down/h0")).status == 200);  // and written anew
    std::ifstream file(folder.file());
    CHECK(admin::readBans(std::string(std::istreambuf_iterator<char>(file), {})) ==
          admin::HostBans::Hosts({"h0"}));
}

}  // namespace

int main() {
    badCallsGetOneClearError();
    slowCallersKeepNobodyOut();
    drainsAndIsUndone();
    hostsOutByHandOutliveTheProcess();
    figuresAreWhatPeersSaw();
    everyRequestIsAnsweredOverAnUpgrade();
    twoProcessesShareTheOpenCap();
    stopsBetweenAnothersReadinessAndItsRecord();
    stopsWhileACallWaitsForTheLock();
    aCallThatCantBeStoredChangesNothing();
    damagedFilesAreIgnored();
}
