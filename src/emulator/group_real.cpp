#include "emulator/group_real.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace beechpoint::emulator {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

constexpr Millis kFresh = 250;      // what a member said is believed for so long
constexpr Millis kAskAgain = 1000;  // an unanswered question is put anew
constexpr std::size_t kOld = 200;
constexpr std::uint64_t kNumber = 17;

double steady() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
std::string nameOf(int member) { return fmt::format("g{}", member); }

}  // namespace

// ---- the relay

struct GroupRelay::Path {
    Path(asio::io_context& io, int a, int b)
        : from(a), to(b), socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
    int from, to;
    udp::socket socket;
    udp::endpoint sender;
    std::array<char, 2048> buffer{};
};

GroupRelay::GroupRelay(asio::io_context& io, const GroupScenario& scenario, std::uint64_t seed)
    : io_(io), scenario_(scenario), random_(seed), loss_(scenario.loss) {
    for (int a = 0; a < scenario.members; ++a)
        for (int b = 0; b < scenario.members; ++b) {
            if (a == b) continue;
            const auto path = std::make_shared<Path>(io, a, b);
            paths_[{a, b}] = path;
            receive(*path);
        }
}
std::string GroupRelay::at(int from, int to) const {
    return fmt::format("127.0.0.1:{}", paths_.at({from, to})->socket.local_endpoint().port());
}
void GroupRelay::receive(Path& p) {
    p.socket.async_receive_from(
        asio::buffer(p.buffer), p.sender, [this, &p](asio::error_code error, std::size_t n) {
            if (error == asio::error::operation_aborted) return;
            if (!error) {
                longest_ = std::max<std::uint64_t>(longest_, n);
                bytes_ += n;
                if (n > 3) ++rooms_[p.buffer[3]];
                home_[p.from] = p.sender;
                std::string bytes(p.buffer.data(), n);
                if (unit() < 0.02) {
                    if (old_.size() >= kOld) old_.erase(old_.begin());
                    old_.emplace_back(std::pair{p.from, p.to}, bytes);
                }
                if (!cuts_.contains({p.from, p.to}) && unit() >= loss_) {
                    if (unit() < scenario_.twice) pass(p.from, p.to, bytes);
                    if (n > 0 && unit() < scenario_.spoilt)
                        bytes[static_cast<std::size_t>(unit() * static_cast<double>(n))] ^= 1;
                    pass(p.from, p.to, std::move(bytes));
                }
            }
            receive(p);
        });
}
void GroupRelay::pass(int from, int to, std::string bytes) {
    const double ms = scenario_.delayMs[0] + (scenario_.delayMs[1] - scenario_.delayMs[0]) * unit() +
                      (spike_ > 0 && unit() < 0.3 ? spike_ * unit() : 0);
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<long long>(ms * 1000)));
    timer->async_wait([this, timer, from, to, bytes = std::move(bytes)](asio::error_code error) {
        if (error || !home_.contains(to)) return;
        asio::error_code ignored;
        paths_.at({to, from})->socket.send_to(asio::buffer(bytes), home_.at(to), 0, ignored);
        ++carried_;
    });
}
// Since it was asked last.
std::string GroupRelay::rooms() {
    const char* const names[] = {"", "membership", "ledger", "duties", "lookout"};
    std::string out = "datagrams:";
    for (const auto& [room, n] : std::exchange(rooms_, {}))
        out += fmt::format(" {} {}", room > 0 && room < 5 ? names[static_cast<int>(room)] : "spoilt", n);
    return out;
}
void GroupRelay::replayOld() {
    for (int i = 0; i < 20 && !old_.empty(); ++i) {
        const auto& [path, bytes] = old_[static_cast<std::size_t>(unit() * static_cast<double>(old_.size()))];
        pass(path.first, path.second, bytes);
    }
}

// ---- the processes

GroupReal::GroupReal(const GroupScenario& scenario, std::uint64_t seed, std::string program,
                     std::string folder)
    : scenario_(scenario),
      program_(std::move(program)),
      folder_(std::move(folder)),
      relay_(io_, scenario, seed ^ 0x5bd1e995) {
    for (int i = 0; i < scenario_.members; ++i) members_.push_back(std::make_unique<Member>());
    director_ = std::make_unique<GroupDirector>(scenario_, seed, *this);
    began_ = steady();
    for (int i = 0; i < scenario_.members; ++i) start(i);
}
GroupReal::~GroupReal() {
    for (int i = 0; i < scenario_.members; ++i) kill(i);
}
Millis GroupReal::now() const { return steady() - began_; }
// Loopback addresses of this process's own: two runs side by side must not meet.
std::string GroupReal::host(int member) const {
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 64 + pid % 60, pid / 60 % 250, member + 1);
}
std::string GroupReal::base(int member) const { return folder_ + "/" + nameOf(member); }

void GroupReal::start(int i) {
    if (runs(i)) return;
    if (!scenario_.folder) wipe(i);
    members_[static_cast<std::size_t>(i)]->stopped = false;
    launch(i);
}
// A second process beside the first, at the same addresses but for the operators' endpoint; the first is told nothing yet.
void GroupReal::upgrade(int i) {
    const Member& m = *members_[static_cast<std::size_t>(i)];
    if (m.processes.size() == 1 && !m.stopped) launch(i);
}
void GroupReal::launch(int i) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    const auto p = std::make_shared<Process>();
    p->port = m.next;
    m.next = m.next == 7102 ? 7103 : 7102;
    std::filesystem::create_directories(base(i) + "/kept");
    Json all, voters = Json::array(), singletonRoles = Json::array();
    for (int j = 0; j < scenario_.members; ++j) all[nameOf(j)] = j == i ? host(i) + ":7101" : relay_.at(i, j);
    for (int j = 0; j < scenario_.voters; ++j) voters.push_back(nameOf(j));
    for (int d = 0; d < scenario_.singletonRoles; ++d)
        singletonRoles.push_back(GroupWorld::singletonRoleName(d));
    Json group = {{"listen", host(i) + ":7101"},
                  {"members", all},
                  {"voters", voters},
                  {"duties", singletonRoles},
                  {"holds", i < scenario_.willing}};
    if (scenario_.folder) group["folder"] = base(i) + "/kept";
    const Json config = {
        {"name", nameOf(i)},
        {"listen", host(i) + ":7100"},
        {"discovery", host(i) + ":7999"},
        {"operator", fmt::format("{}:{}", host(i), p->port)},
        {"seed", "1"},
        {"peers", Json::object()},
        {"limits", {{"sockets", 256}}},
        {"known", {{"generation", 1}, {"reset", true}, {"instances", Json::array()}}},
        {"settings",
         {{"classes",
           {{{"name", "c"}, {"promise", 1000000000}, {"deadline", 2000000000}, {"effect", "safe"}}}},
          {"familyInfo", {{"shards", 4}, {"cells", 2}, {"span", 2}, {"bundleMax", 1}}},
          {"permissions", {{"maxAttempts", 3}, {"peerMessages", true}}},
          {"rules", Json::object()}}}};
    std::ofstream(base(i) + "/config.json") << config.dump();
    std::ofstream(base(i) + "/operator.json") << Json{{"group", group}}.dump();
    p->process.start(program_, base(i) + "/config.json", folder_ + "/" + nameOf(i) + ".log", 256,
                     base(i) + "/operator.json", base(i));
    m.processes.push_back(p);
}
void GroupReal::kill(int i) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    for (const auto& p : std::exchange(m.processes, {})) p->process.kill();
    m.stopped = false;
}
void GroupReal::end(int i) {  // the oldest: in an upgrade the newer one goes on
    const Member& m = *members_[static_cast<std::size_t>(i)];
    if (!m.processes.empty()) m.processes.front()->process.signal(SIGTERM);
}
void GroupReal::endNewest(int i) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    if (m.processes.size() < 2) return;
    m.processes.back()->process.kill();
    m.processes.pop_back();
}
void GroupReal::stop(int i) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    if (!runs(i)) return;
    for (const auto& p : m.processes) p->process.signal(SIGSTOP);
    m.stopped = true;
}
void GroupReal::proceed(int i) {
    Member& m = *members_[static_cast<std::size_t>(i)];
    if (!std::exchange(m.stopped, false)) return;
    for (const auto& p : m.processes) p->process.signal(SIGCONT);
}
void GroupReal::wipe(int i) {
    std::error_code error;
    std::filesystem::remove_all(base(i), error);
}
bool GroupReal::runs(int i) const { return newest(i) != nullptr; }
const GroupReal::Process* GroupReal::newest(int i) const {
    const Member& m = *members_[static_cast<std::size_t>(i)];
    return m.processes.empty() ? nullptr : m.processes.back().get();
}
bool GroupReal::fresh(const Process& p) const {
    return p.process.runs() && p.shown.is_object() && now() < p.shownAt + kFresh;
}
std::string GroupReal::roleOf(int i) const {
    const Process* p = newest(i);
    return p != nullptr && p->shown.is_object() ? p->shown.value("role", "") : "";
}
bool GroupReal::whole(int i) const {
    if (!fresh(i)) return false;
    const std::string role = roleOf(i);
    return role == "follower" || role == "leader" || role == "candidate" || role == "pre-candidate" ||
           role == "learner";
}
int GroupReal::leads() const {
    for (int i = 0; i < scenario_.members; ++i)
        if (fresh(i) && roleOf(i) == "leader") return i;
    return -1;
}
int GroupReal::holds(int singletonRole) const {
    const std::string name = GroupWorld::singletonRoleName(singletonRole);
    for (int i = 0; i < scenario_.members; ++i)
        for (const auto& p : members_[static_cast<std::size_t>(i)]->processes)
            if (fresh(*p) && p->mayAct(name)) return i;
    return -1;
}

// ---- asking them, and operators' calls

struct GroupReal::Call : std::enable_shared_from_this<GroupReal::Call> {
    Call(asio::io_context& io, std::function<void(int, const std::string&)> done)
        : socket(io), then(std::move(done)) {}
    void ended() {
        const auto body = in.find("\r\n\r\n");
        int status = 0;
        if (body != std::string::npos && in.starts_with("HTTP/1.1 "))
            std::from_chars(in.data() + 9, in.data() + 12, status);
        then(status, status == 0 ? "" : in.substr(body + 4));
    }
    tcp::socket socket;
    std::function<void(int, const std::string&)> then;
    std::string out, in;
};
void GroupReal::call(int i, int port, const std::string& method, const std::string& path,
                     std::function<void(int, const std::string&)> then) {
    const auto c = std::make_shared<Call>(io_, std::move(then));
    c->out = fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", method, path);
    c->socket.async_connect({asio::ip::make_address(host(i)), static_cast<asio::ip::port_type>(port)},
                            [c](asio::error_code error) {
                                if (error) return c->ended();
                                asio::async_write(
                                    c->socket, asio::buffer(c->out), [c](asio::error_code, std::size_t) {
                                        asio::async_read(c->socket, asio::dynamic_buffer(c->in),
                                                         [c](asio::error_code, std::size_t) { c->ended(); });
                                    });
                            });
}
// One question at a time to each; its answer says what was so at a moment between asking and hearing.
void GroupReal::ask(int i, const std::shared_ptr<Process>& p) {
    if (!p->process.runs() || (p->asking && now() < p->askedAt + kAskAgain)) return;
    p->asking = true;
    p->askedAt = now();
    call(i, p->port, "GET", "/ops/group", [this, i, p, at = p->askedAt](int, const std::string& body) {
        if (p->askedAt == at) p->asking = false;
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object()) return;
        p->shown = json;
        p->shownAt = now();
        for (const auto& [singletonRole, fencingToken] : json["mayAct"].items())
            acted(i, singletonRole, fencingToken.get<std::uint64_t>(), at);
    });
}
void GroupReal::acted(int i, const std::string& singletonRole, std::uint64_t fencingToken, double asked) {
    ++report_.acts;
    Act& last = acts_[singletonRole];
    // Another's act under a higher number was heard of before this one was even asked about.
    if (fencingToken < last.fencingToken && asked > last.heard)
        violate("two holders", fmt::format("{}: g{} may act under {} after {}", singletonRole, i,
                                           fencingToken, last.fencingToken));
    if (fencingToken == last.fencingToken && last.by != i)
        violate("one number, two holders", fmt::format("{}: g{} and g{}", singletonRole, last.by, i));
    if (fencingToken == last.fencingToken) last.last = now();
    if (fencingToken <= last.fencingToken) return;
    if (last.by >= 0) ++report_.handOvers, report_.gaps.push_back(now() - last.last);
    last = {fencingToken, i, now(), now()};
}
void GroupReal::operate(int i, const std::string& singletonRole, DutyOp op, const std::string& path) {
    op.member = nameOf(i);
    op.from = now();
    ++calls_;
    call(i, newest(i)->port, "PUT", path,
         [this, singletonRole, op](int status, const std::string& body) mutable {
             --calls_;
             op.to = now();
             op.known = status == 200 || status == 409;
             op.yes = status == 200;
             if (const Json json = Json::parse(body, nullptr, false); op.yes && json.is_object())
                 op.fencingToken = json.value("fence", op.fencingToken);
             ++report_.outcomes[!op.known ? "not known" : op.yes ? "yes" : "no"];
             history_[singletonRole].push_back(op);
         });
}
void GroupReal::takeDuty(int i, int singletonRole) {
    const std::string name = GroupWorld::singletonRoleName(singletonRole);
    DutyOp op;
    op.kind = DutyOp::Kind::take;
    if (calls_ < 8 && runs(i) && !members_[static_cast<std::size_t>(i)]->stopped)
        operate(i, name, op, "/ops/group/take/" + name);
}
void GroupReal::giveDuty(int i, int singletonRole, int to) {
    const std::string name = GroupWorld::singletonRoleName(singletonRole);
    if (calls_ >= 8 || !fresh(i) || !newest(i)->mayAct(name)) return;
    DutyOp op;
    op.kind = DutyOp::Kind::giveUp;
    op.fencingToken = newest(i)->shown["mayAct"][name].get<std::uint64_t>();
    operate(i, name, op, "/ops/group/give/" + name + (to >= 0 ? "/" + nameOf(to) : ""));
}

// ---- the run

void GroupReal::violate(const std::string& kind, const std::string& text) {
    if (++report_.broken[kind] == 1)
        report_.violations.push_back(fmt::format("{:.0f} ms: {}: {}", now(), kind, text));
}
// Why it is not at rest; empty: it is.
std::string GroupReal::restless() const {
    const int lead = leads();
    if (lead < 0) return "nobody leads";
    const Json& of = newest(lead)->shown;
    for (int i = 0; i < scenario_.members; ++i) {
        if (!fresh(i)) return fmt::format("g{} does not answer", i);
        const Json& s = newest(i)->shown;
        if (i < scenario_.voters && !whole(i)) return fmt::format("g{} is {}", i, roleOf(i));
        if (s["entry"] != of["entry"] || s["digest"] != of["digest"])
            return fmt::format("g{} has another copy", i);
        if (s["conflicts"] != 0) return fmt::format("g{} had conflicts", i);
    }
    for (int d = 0; d < scenario_.singletonRoles; ++d)
        if (holds(d) < 0) return fmt::format("nobody acts on {}", GroupWorld::singletonRoleName(d));
    return {};
}
GroupReport GroupReal::run() {
    director_->trace = trace;
    bool founded = false;
    Millis told = 0;
    const auto allShown = [this] {
        return std::all_of(members_.begin(), members_.end(), [](const auto& m) {
            return !m->processes.empty() && m->processes.back()->shown.is_object();
        });
    };
    std::string why = "not looked at";
    while (now() < scenario_.length) {
        for (int i = 0; i < scenario_.members; ++i) {
            Member& m = *members_[static_cast<std::size_t>(i)];
            std::erase_if(m.processes, [](const auto& p) {
                int status = 0;
                return p->process.reap(status);
            });
            for (const auto& p : m.processes) ask(i, p);
        }
        if (!founded && now() > 700 && allShown()) {
            founded = true;
            call(0, newest(0)->port, "PUT", fmt::format("/ops/group/found/{}", kNumber),
                 [](int, const std::string&) {});
        }
        director_->advance(now());
        if (trace && now() > told + 1000) {
            told = now();
            trace(now(), relay_.rooms());
        }
        io_.restart();
        io_.run_for(std::chrono::milliseconds(4));
        // At rest before the end is enough: the rest of the quiet part need not be waited for.
        if (now() > scenario_.length - scenario_.quiet + 3000 && calls_ == 0 && (why = restless()).empty())
            break;
    }
    report_.rested = why.empty();
    report_.restless = why;
    report_.datagrams = relay_.carried();
    report_.longest = relay_.longest();
    report_.bytes = relay_.bytes();
    if (report_.longest > 256) violate("datagram too long", fmt::format("{} bytes", report_.longest));
    report_.faults = director_->times().faults;
    report_.met = director_->times().met;
    for (const auto& [singletonRole, ops] : history_)
        if (!linearizable(ops))
            violate("not linearizable",
                    fmt::format("{}: {} operations\n{}", singletonRole, ops.size(), textOf(ops)));
    return report_;
}

}  // namespace beechpoint::emulator
