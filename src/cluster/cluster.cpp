#include "cluster/cluster.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

namespace beechpoint::cluster {

namespace {

using asio::ip::udp;

constexpr auto kWait = std::chrono::milliseconds(50);  // between looks at an address that another process has
constexpr auto kLastWords =
    std::chrono::milliseconds(300);  // from giving up all duties to freeing the address

constexpr std::size_t kMostCalls = 16;  // of operators, at once

std::uint64_t chance() {
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}
Options optionsOf(const Settings& s, const std::string& self) {
    Options o;
    o.group = s.name;
    o.self = self;
    for (const auto& [name, address] : s.members) o.members.push_back(name);
    o.voters = s.voters;
    o.willing = s.holds;
    o.proberDuty = s.proberDuty;
    return o;
}

}  // namespace

// The folder's: two processes that were started with the same folder and name are never both the member.
class Group::Lock {
public:
    explicit Lock(const std::string& path) : fd_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {}
    ~Lock() {
        if (fd_ >= 0) ::close(fd_);
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    bool there() const { return fd_ >= 0; }
    bool take() const { return fd_ >= 0 && ::flock(fd_, LOCK_EX | LOCK_NB) == 0; }

private:
    int fd_;
};

Group::Store::Store(asio::io_context& io, const Settings& settings, const std::string& self,
                    raft::ProcessIncarnation processIncarnation)
    : folder(disk, settings.folder, settings.name, self),
      journal(settings.name, self, processIncarnation),
      thread(io) {}

Group::Group(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
             const Settings& settings, const std::string& self)
    : io_(io),
      clock_(clock),
      counters_(counters),
      log_(log),
      settings_(settings),
      self_(self),
      socket_(io),
      timer_(io),
      waitTimer_(io),
      processIncarnation_(chance() | 1) {
    Core(optionsOf(settings, self), processIncarnation_, 0,
         clock.now());  // what can't work is said at the start
    if (settings_.folder.empty()) return;
    lock_ = std::make_unique<Lock>(settings_.folder + "/" + self_ + ".lock");
    if (!lock_->there())
        throw std::invalid_argument("group: the folder " + settings_.folder + " can't be written");
}
Group::~Group() = default;

void Group::start() {
    tryAgain();
    started_ = true;
}

// ---- becoming the member

bool Group::bind(asio::error_code& error) {
    if (lock_ && !lock_->take()) return false;
    socket_.open(settings_.listen.protocol(), error);
    if (!error) socket_.bind(settings_.listen, error);
    if (!error) return true;
    asio::error_code ignored;
    socket_.close(ignored);
    return false;
}
void Group::tryAgain() {
    if (closed_ || handing_) return;
    asio::error_code error;
    if (bind(error)) return begin();
    // At the start a wrong address is an error of the file. Later the process serves, and goes on without the group.
    if (error && error != asio::error::address_in_use && !started_) throw asio::system_error(error, "group");
    if (!std::exchange(said_, true))
        log_.info("group: another process has {}:{} or the folder; this one joins once it is free",
                  field("address", settings_.listen.address().to_string()),
                  field("port", settings_.listen.port()));
    waitTimer_.expires_after(kWait);
    waitTimer_.async_wait([this](asio::error_code error) {
        if (!error) tryAgain();
    });
}
// Reads what was kept, once, before anything is said. What can't be used is as good as nothing: this member then asks the
// others.
void Group::begin() {
    std::optional<raft::PersistentState> kept;
    if (!settings_.folder.empty()) {
        store_ = std::make_unique<Store>(io_, settings_, self_, processIncarnation_);
        std::string note;
        kept = store_->folder.load(note).kept;
        if (!note.empty()) log_.info("group: kept state in {}", field("what", note));
        lease_sessions::Table trial;
        if (kept && !raft::RaftConsensus::readable(*kept, trial)) {
            log_.warn("group: the kept state is of another version; this member begins with nothing");
            kept.reset();
        }
    }
    core_.emplace(optionsOf(settings_, self_), processIncarnation_, chance(), clock_.now(), kept);
    socket_.non_blocking(true);
    log_.info("group {}: member {} at {}:{}, {} members", field("group", settings_.name),
              field("name", self_), field("address", endpoint().address().to_string()),
              field("port", endpoint().port()), field("members", settings_.members.size()));
    receive();
    wake();
}

// ---- leaving

void Group::leave(bool forGood) {
    ended_ = ended_ || forGood;
    giveUpAll(forGood);
}
void Group::giveUpAll(bool forGood) {
    if (!in()) return;
    Step out;
    core_->leave(clock_.now(), out, forGood);
    carry(out);
}
void Group::resume() {
    if (!in() || handing_) return;
    Step out;
    core_->resume(clock_.now(), out);
    carry(out);
}
void Group::handOver() {
    if (std::exchange(handing_, true) || closed_) return;
    giveUpAll(true);
    if (in()) log_.info("group: another process of this gatherer is the member from now on");
    waitTimer_.expires_after(kLastWords);
    waitTimer_.async_wait([this](asio::error_code error) {
        if (!error) close();
    });
}
void Group::takeBack() {
    if (!handing_ || ended_) return;
    if (!closed_ || store_) {  // its last words, or its last write, are still under way
        waitTimer_.expires_after(closed_ ? kWait : kLastWords);
        waitTimer_.async_wait([this](asio::error_code error) {
            if (error) return;
            close();
            takeBack();
        });
        return;
    }
    log_.info("group: the other process of this gatherer has gone; this one joins anew");
    handing_ = closed_ = failed_ = said_ = false;
    core_.reset();
    outbox_ = Outbox();
    wantAt_ = -1e300;
    conflictsSaid_ = refusedSaid_ = 0;
    processIncarnation_ = chance() | 1;
    if (!settings_.folder.empty()) lock_ = std::make_unique<Lock>(settings_.folder + "/" + self_ + ".lock");
    tryAgain();
}
// The folder is free once all that was begun is written, and the loop waits for no disk.
void Group::close() {
    if (std::exchange(closed_, true)) return;
    timer_.cancel();
    waitTimer_.cancel();
    for (const auto& [request, then] : std::exchange(calls_, {})) then({});
    asio::error_code ignored;
    socket_.close(ignored);
    const auto free = [this](bool) {
        store_.reset();
        lock_.reset();
    };
    store_ ? store_->thread->post([] { return true; }, free) : free(true);
}

std::optional<std::uint64_t> Group::mayAct(const std::string& singletonRole) const {
    return in() ? core_->holder().mayAct(clock_.now(), singletonRole) : std::nullopt;
}
bool Group::found(std::uint64_t number) {
    if (number >> 31 != 0 || !in()) return false;
    Step out;
    const bool begun = core_->found(clock_.now(), number, out);
    log_.info("an operator founds the group under number {}: {}", field("number", number),
              field("reply", begun ? "asking the others" : "no"));
    carry(out);
    return begun;
}

bool Group::away(const std::string& host) {
    if (!in()) return false;
    Step out;
    const bool yes = core_->away(clock_.now(), host, out);
    send(outbox_.put(std::move(out.send), false));
    return yes;
}
void Group::saw(const std::string& host, bool there) {
    if (in()) core_->saw(clock_.now(), host, there);
}

// ---- operators' requests, through the ledger

void Group::await(std::uint64_t request, std::function<void(Settled)> then) {
    calls_[request] = std::move(then);
    Step out;
    core_->advance(clock_.now(), out);
    carry(out);
}
void Group::take(const std::string& singletonRole, std::function<void(Settled)> then) {
    if (!in() || calls_.size() >= kMostCalls || singletonRole.size() > lease_sessions::kMaxRoleNameBytes)
        return then({true, false, 0});
    await(core_->holder().take(singletonRole), std::move(then));
}
void Group::give(const std::string& singletonRole, const std::string& to, std::function<void(Settled)> then) {
    const auto fencingToken = mayAct(singletonRole);
    if (!fencingToken || calls_.size() >= kMostCalls || (!to.empty() && !settings_.members.contains(to)))
        return then({true, false, 0});
    // The ledger's answer to a hand-over names the next one's number.
    await(core_->holder().giveUp(singletonRole, to),
          [then = std::move(then), fencingToken = *fencingToken](Settled end) {
              end.fencingToken = fencingToken;
              then(end);
          });
}
void Group::answer() {
    for (const lease_sessions::Outcome& o : core_->holder().takeOutcomes()) {
        const auto call = calls_.find(o.request);
        if (call == calls_.end()) continue;
        const auto then = std::move(call->second);
        calls_.erase(call);
        // Handed to one that is in no session: it is given up all the same, and free.
        then({o.known,
              o.result.verdict == lease_sessions::Verdict::yes ||
                  o.result.verdict == lease_sessions::Verdict::wait,
              o.result.fencingToken});
    }
}

// ---- datagrams and time

void Group::receive() {
    socket_.async_receive_from(asio::buffer(buffer_), from_, [this](asio::error_code error, std::size_t n) {
        if (!in() || error == asio::error::operation_aborted) return;
        if (!error) {
            const bool known = std::any_of(settings_.members.begin(), settings_.members.end(),
                                           [&](const auto& m) { return m.second == from_; });
            counters_.add(known ? Counter::groupReceived : Counter::groupRefused);
            if (known) {
                Step out;
                core_->receive(clock_.now(), {buffer_.data(), n}, out);
                carry(out);
            } else {
                ++strangers_;
            }
        }
        receive();
    });
}
void Group::carry(const Step& step) {
    for (const std::string& note : step.notes) log_.info("group: {}", field("what", note));
    counters_.add(Counter::groupPresenceChanges, step.presenceChanges);
    raft::Write write;
    if (store_ && step.keep) write = store_->journal.changes(core_->raft());
    const bool keeps = !write.bytes.empty();
    if (keeps)
        store_->thread->post(
            [store = store_.get(), write = std::move(write)] { return store->folder.keep(write); },
            [this](bool done) { written(done); });
    send(outbox_.put(step.send, keeps));
    answer();
    changed();
    wake();
}
void Group::send(const std::vector<Datagram>& datagrams) {
    for (const Datagram& d : datagrams) {
        const auto to = settings_.members.find(d.to);
        if (to == settings_.members.end()) continue;
        asio::error_code error;
        socket_.send_to(asio::buffer(d.bytes), to->second, 0, error);
        counters_.add(Counter::groupSent);
        if (error) ++notSent_;  // as if it had been lost on its way
    }
}
void Group::written(bool done) {
    if (!in()) return;
    if (done) return send(outbox_.written());
    failed_ = true;
    outbox_.clear();
    timer_.cancel();
    log_.warn("group: the folder {} can't be written: this member takes no part until it is started again",
              field("folder", settings_.folder));
}
void Group::wake() {
    if (!in()) return;
    const Millis wait = std::clamp(core_->next() - clock_.now(), 0.0, 60'000.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<long long>(wait * 1000) + 50));
    timer_.async_wait([this](asio::error_code error) {
        if (error || !in()) return;
        Step out;
        core_->advance(clock_.now(), out);
        carry(out);
    });
}
// One line for each change that staff would ask about, and duties asked for once there is a session.
void Group::changed() {
    if (const Millis now = clock_.now(); core_->holder().inSession(now) && now >= wantAt_) {
        wantAt_ = now + kWantAgain;
        for (const std::string& singletonRole : settings_.singletonRoles)
            if (core_->table().singletonRole(singletonRole) == nullptr) core_->holder().want(singletonRole);
    }
    if (const std::string& leader = core_->raft().leader(); leader != leaderSaid_) {
        leaderSaid_ = leader;
        counters_.add(Counter::groupLeaderChanges);
        log_.info("group: leader {} in term {}", field("leader", leader.empty() ? "none" : leader),
                  field("term", core_->raft().term()));
    }
    const auto& held = core_->holder().held();
    for (const auto& [singletonRole, fencingToken] : held)
        if (const auto said = heldSaid_.find(singletonRole);
            said == heldSaid_.end() || said->second != fencingToken) {
            counters_.add(Counter::groupDutiesTaken);
            log_.info("group: holds duty {} under {}", field("duty", singletonRole),
                      field("fence", fencingToken));
        }
    for (const auto& [singletonRole, fencingToken] : heldSaid_)
        if (!held.contains(singletonRole)) {
            counters_.add(Counter::groupDutiesEnded);
            log_.info("group: no longer holds duty {} under {}", field("duty", singletonRole),
                      field("fence", fencingToken));
        }
    if (heldSaid_ != held) heldSaid_ = held;
    counters_.add(Counter::groupConflicts, core_->raft().counters().conflicts - conflictsSaid_);
    conflictsSaid_ = core_->raft().counters().conflicts;
    std::uint64_t refused = core_->traffic().unreadable;
    for (const auto& [reason, n] : core_->traffic().refused) refused += n;
    counters_.add(Counter::groupRefused, refused - refusedSaid_);
    refusedSaid_ = refused;
}

std::string Group::show() const {
    using Json = nlohmann::json;
    if (!core_)
        return Json{
            {"group", settings_.name}, {"self", self_}, {"role", "waiting"}, {"mayAct", Json::object()}}
            .dump();
    const Millis now = clock_.now();
    const raft::RaftConsensus& l = core_->raft();
    Json members = Json::array(), singletonRoles = Json::array(), acts = Json::object();
    for (const auto& [name, address] : settings_.members) {
        const lease_sessions::Session* s = core_->table().session(name);
        const Millis heard = core_->membership().heard(name);
        Json age;  // null: itself, or never heard
        if (name != self_ && heard > 0) age = now - heard;
        members.push_back({{"name", name},
                           {"presence", nameOf(core_->membership().of(name))},
                           {"heardMsAgo", age},
                           {"voter", l.isVoter(name)},
                           {"session", s != nullptr ? s->number : 0}});
    }
    for (const auto& [name, d] : core_->table().singletonRoles())
        singletonRoles.push_back({{"name", name}, {"holder", d.holder}, {"fence", d.fencingToken}});
    for (const auto& [name, fencingToken] : core_->holder().held())
        if (mayAct(name)) acts[name] = fencingToken;
    const Traffic& t = core_->traffic();
    return Json{
        {"group", settings_.name},
        {"number", l.number()},
        {"self", self_},
        {"role", failed_   ? "failed"
                 : closed_ ? "left"
                           : nameOf(l.role())},
        {"folder", settings_.folder.empty() ? "none"
                   : failed_                ? "failed"
                                            : "kept"},
        {"term", l.term()},
        {"leader", l.leader()},
        {"leaderHeardMsAgo", l.leads() ? 0 : std::min(1e9, std::max(0.0, now - l.leaderHeard()))},
        {"entry", l.commit()},
        {"digest", fmt::format("{:016x}", l.digestAt(l.commit()))},
        {"conflicts", l.counters().conflicts},
        {"members", std::move(members)},
        {"duties", std::move(singletonRoles)},
        {"mayAct", std::move(acts)},
        {"sessionEndsInMs", core_->holder().inSession(now) ? core_->holder().sessionUntil() - now : 0},
        {"datagrams",
         {{"sent", t.sent},
          {"received", t.received},
          {"strangers", strangers_},
          {"notSent", notSent_},
          {"unreadable", t.unreadable},
          {"heldBack", outbox_.waiting()},
          {"dropped", outbox_.dropped()}}}}
        .dump();
}

}  // namespace beechpoint::cluster
