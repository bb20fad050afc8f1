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
    o.holdsRoles = s.holds;
    o.proberDuty = s.proberDuty;
    return o;
}

}  // namespace

// The folder's: two processes that were started with the same folder and name are never both the member.
class ClusterMember::FolderLock {
public:
    explicit FolderLock(const std::string& path)
        : fd_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {}
    ~FolderLock() {
        if (fd_ >= 0) ::close(fd_);
    }
    FolderLock(const FolderLock&) = delete;
    FolderLock& operator=(const FolderLock&) = delete;
    bool isOpen() const { return fd_ >= 0; }
    bool tryLock() const { return fd_ >= 0 && ::flock(fd_, LOCK_EX | LOCK_NB) == 0; }

private:
    int fd_;
};

ClusterMember::DurableStore::DurableStore(asio::io_context& io, const Settings& settings,
                                          const std::string& self,
                                          raft::ProcessIncarnation processIncarnation)
    : folder(disk, settings.folder, settings.name, self),
      encoder(settings.name, self, processIncarnation),
      thread(io) {}

ClusterMember::ClusterMember(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
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
    lock_ = std::make_unique<FolderLock>(settings_.folder + "/" + self_ + ".lock");
    if (!lock_->isOpen())
        throw std::invalid_argument("group: the folder " + settings_.folder + " can't be written");
}
ClusterMember::~ClusterMember() = default;

void ClusterMember::start() {
    tryToJoin();
    started_ = true;
}

// ---- becoming the member

bool ClusterMember::bind(asio::error_code& error) {
    if (lock_ && !lock_->tryLock()) return false;
    socket_.open(settings_.listen.protocol(), error);
    if (!error) socket_.bind(settings_.listen, error);
    if (!error) return true;
    asio::error_code ignored;
    socket_.close(ignored);
    return false;
}
void ClusterMember::tryToJoin() {
    if (closed_ || handingOver_) return;
    asio::error_code error;
    if (bind(error)) return becomeMember();
    // At the start a wrong address is an error of the file. Later the process serves, and goes on without the group.
    if (error && error != asio::error::address_in_use && !started_) throw asio::system_error(error, "group");
    if (!std::exchange(loggedAddressInUse_, true))
        log_.info("group: address {}:{} or the folder is in use by another process; joining once it is free",
                  field("address", settings_.listen.address().to_string()),
                  field("port", settings_.listen.port()));
    waitTimer_.expires_after(kWait);
    waitTimer_.async_wait([this](asio::error_code error) {
        if (!error) tryToJoin();
    });
}
// Reads what was kept, once, before anything is said. What can't be used is as good as nothing: this member then asks the
// others.
void ClusterMember::becomeMember() {
    std::optional<raft::PersistentState> kept;
    if (!settings_.folder.empty()) {
        store_ = std::make_unique<DurableStore>(io_, settings_, self_, processIncarnation_);
        std::string note;
        kept = store_->folder.load(note).state;
        if (!note.empty()) log_.info("group: persistent state in {}", field("what", note));
        lease_sessions::SessionTable trial;
        if (kept && !raft::RaftConsensus::isReadable(*kept, trial)) {
            log_.warn("group: the persistent state is of another version; this member starts without state");
            kept.reset();
        }
    }
    core_.emplace(optionsOf(settings_, self_), processIncarnation_, chance(), clock_.now(), kept);
    socket_.non_blocking(true);
    log_.info("group {}: member {} at {}:{}, {} members", field("group", settings_.name),
              field("name", self_), field("address", endpoint().address().to_string()),
              field("port", endpoint().port()), field("members", settings_.members.size()));
    receive();
    armTimer();
}

// ---- leaving

void ClusterMember::leave(bool forGood) {
    leftForGood_ = leftForGood_ || forGood;
    endSession(forGood);
}
void ClusterMember::endSession(bool forGood) {
    if (!isMember()) return;
    Step out;
    core_->leave(clock_.now(), out, forGood);
    carryOut(out);
}
void ClusterMember::resume() {
    if (!isMember() || handingOver_) return;
    Step out;
    core_->resume(clock_.now(), out);
    carryOut(out);
}
void ClusterMember::handOver() {
    if (std::exchange(handingOver_, true) || closed_) return;
    endSession(true);
    if (isMember()) log_.info("group: handed over; another process of this gatherer is now the member");
    waitTimer_.expires_after(kLastWords);
    waitTimer_.async_wait([this](asio::error_code error) {
        if (!error) close();
    });
}
void ClusterMember::takeBack() {
    if (!handingOver_ || leftForGood_) return;
    if (!closed_ || store_) {  // its last words, or its last write, are still under way
        waitTimer_.expires_after(closed_ ? kWait : kLastWords);
        waitTimer_.async_wait([this](asio::error_code error) {
            if (error) return;
            close();
            takeBack();
        });
        return;
    }
    log_.info("group: the other process of this gatherer has exited; this one joins again");
    handingOver_ = closed_ = failed_ = loggedAddressInUse_ = false;
    core_.reset();
    outbox_ = Outbox();
    defineRolesAt_ = -1e300;
    countedConflicts_ = countedRefused_ = 0;
    processIncarnation_ = chance() | 1;
    if (!settings_.folder.empty())
        lock_ = std::make_unique<FolderLock>(settings_.folder + "/" + self_ + ".lock");
    tryToJoin();
}
// The folder is free once all that was begun is written, and the loop waits for no disk.
void ClusterMember::close() {
    if (std::exchange(closed_, true)) return;
    timer_.cancel();
    waitTimer_.cancel();
    for (const auto& [request, then] : std::exchange(operatorCalls_, {})) then({});
    asio::error_code ignored;
    socket_.close(ignored);
    const auto free = [this](bool) {
        store_.reset();
        lock_.reset();
    };
    store_ ? store_->thread->post([] { return true; }, free) : free(true);
}

std::optional<std::uint64_t> ClusterMember::mayAct(const std::string& singletonRole) const {
    return isMember() ? core_->leaseClient().mayAct(clock_.now(), singletonRole) : std::nullopt;
}
bool ClusterMember::foundGroup(std::uint64_t number) {
    if (number >> 31 != 0 || !isMember()) return false;
    Step out;
    const bool begun = core_->foundGroup(clock_.now(), number, out);
    log_.info("an operator founds the group under number {}: {}", field("number", number),
              field("reply", begun ? "asking the others" : "no"));
    carryOut(out);
    return begun;
}

bool ClusterMember::isTakenAsUnreachable(const std::string& host) {
    if (!isMember()) return false;
    Step out;
    const bool yes = core_->isTakenAsUnreachable(clock_.now(), host, out);
    send(outbox_.enqueue(std::move(out.send), false));
    return yes;
}
void ClusterMember::recordProbe(const std::string& host, bool there) {
    if (isMember()) core_->recordProbe(clock_.now(), host, there);
}

// ---- operators' requests, through the ledger

void ClusterMember::awaitOutcome(std::uint64_t request, std::function<void(OperationEnd)> then) {
    operatorCalls_[request] = std::move(then);
    Step out;
    core_->advance(clock_.now(), out);
    carryOut(out);
}
void ClusterMember::acquireRole(const std::string& singletonRole, std::function<void(OperationEnd)> then) {
    if (!isMember() || operatorCalls_.size() >= kMostCalls ||
        singletonRole.size() > lease_sessions::kMaxRoleNameBytes)
        return then({true, false, 0});
    awaitOutcome(core_->leaseClient().acquire(singletonRole), std::move(then));
}
void ClusterMember::releaseRole(const std::string& singletonRole, const std::string& to,
                                std::function<void(OperationEnd)> then) {
    const auto fencingToken = mayAct(singletonRole);
    if (!fencingToken || operatorCalls_.size() >= kMostCalls ||
        (!to.empty() && !settings_.members.contains(to)))
        return then({true, false, 0});
    // The ledger's answer to a hand-over names the next one's number.
    awaitOutcome(core_->leaseClient().release(singletonRole, to),
                 [then = std::move(then), fencingToken = *fencingToken](OperationEnd end) {
                     end.fencingToken = fencingToken;
                     then(end);
                 });
}
void ClusterMember::answerOperators() {
    for (const lease_sessions::CommandOutcome& o : core_->leaseClient().takeOutcomes()) {
        const auto call = operatorCalls_.find(o.request);
        if (call == operatorCalls_.end()) continue;
        const auto then = std::move(call->second);
        operatorCalls_.erase(call);
        // Handed to one that is in no session: it is given up all the same, and free.
        then({o.known,
              o.result.verdict == lease_sessions::Verdict::done ||
                  o.result.verdict == lease_sessions::Verdict::retryLater,
              o.result.fencingToken});
    }
}

// ---- datagrams and time

void ClusterMember::receive() {
    socket_.async_receive_from(asio::buffer(buffer_), sender_, [this](asio::error_code error, std::size_t n) {
        if (!isMember() || error == asio::error::operation_aborted) return;
        if (!error) {
            const bool known = std::any_of(settings_.members.begin(), settings_.members.end(),
                                           [&](const auto& m) { return m.second == sender_; });
            counters_.add(known ? Counter::groupReceived : Counter::groupRefused);
            if (known) {
                Step out;
                core_->receive(clock_.now(), {buffer_.data(), n}, out);
                carryOut(out);
            } else {
                ++strangers_;
            }
        }
        receive();
    });
}
void ClusterMember::carryOut(const Step& step) {
    for (const std::string& note : step.events) log_.info("group: {}", field("what", note));
    counters_.add(Counter::groupPresenceChanges, step.presenceChanges);
    raft::StateWrite write;
    if (store_ && step.mustPersist) write = store_->encoder.encodeChanges(core_->raft());
    const bool keeps = !write.bytes.empty();
    if (keeps)
        store_->thread->post(
            [store = store_.get(), write = std::move(write)] { return store->folder.persist(write); },
            [this](bool done) { writeFinished(done); });
    send(outbox_.enqueue(step.send, keeps));
    answerOperators();
    reportChanges();
    armTimer();
}
void ClusterMember::send(const std::vector<Datagram>& datagrams) {
    for (const Datagram& d : datagrams) {
        const auto to = settings_.members.find(d.to);
        if (to == settings_.members.end()) continue;
        asio::error_code error;
        socket_.send_to(asio::buffer(d.bytes), to->second, 0, error);
        counters_.add(Counter::groupSent);
        if (error) ++notSent_;  // as if it had been lost on its way
    }
}
void ClusterMember::writeFinished(bool done) {
    if (!isMember()) return;
    if (done) return send(outbox_.releaseOldestWrite());
    failed_ = true;
    outbox_.clear();
    timer_.cancel();
    log_.warn("group: the folder {} can't be written: this member takes no part until it is restarted",
              field("folder", settings_.folder));
}
void ClusterMember::armTimer() {
    if (!isMember()) return;
    const Millis wait = std::clamp(core_->nextDeadline() - clock_.now(), 0.0, 60'000.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<long long>(wait * 1000) + 50));
    timer_.async_wait([this](asio::error_code error) {
        if (error || !isMember()) return;
        Step out;
        core_->advance(clock_.now(), out);
        carryOut(out);
    });
}
// One line for each change that staff would ask about, and duties asked for once there is a session.
void ClusterMember::reportChanges() {
    if (const Millis now = clock_.now(); core_->leaseClient().inSession(now) && now >= defineRolesAt_) {
        defineRolesAt_ = now + kDefineRolesInterval;
        for (const std::string& singletonRole : settings_.singletonRoles)
            if (core_->table().singletonRole(singletonRole) == nullptr)
                core_->leaseClient().defineRole(singletonRole);
    }
    if (const std::string& leader = core_->raft().leader(); leader != loggedLeader_) {
        loggedLeader_ = leader;
        counters_.add(Counter::groupLeaderChanges);
        log_.info("group: leader {} in term {}", field("leader", leader.empty() ? "none" : leader),
                  field("term", core_->raft().currentTerm()));
    }
    const auto& held = core_->leaseClient().heldLeases();
    for (const auto& [singletonRole, fencingToken] : held)
        if (const auto said = loggedLeases_.find(singletonRole);
            said == loggedLeases_.end() || said->second != fencingToken) {
            counters_.add(Counter::groupDutiesTaken);
            log_.info("group: holds the lease of singleton role {} with fencing token {}",
                      field("singletonRole", singletonRole), field("fencingToken", fencingToken));
        }
    for (const auto& [singletonRole, fencingToken] : loggedLeases_)
        if (!held.contains(singletonRole)) {
            counters_.add(Counter::groupDutiesEnded);
            log_.info("group: no longer holds the lease of singleton role {} with fencing token {}",
                      field("singletonRole", singletonRole), field("fencingToken", fencingToken));
        }
    if (loggedLeases_ != held) loggedLeases_ = held;
    counters_.add(Counter::groupConflicts, core_->raft().counters().conflicts - countedConflicts_);
    countedConflicts_ = core_->raft().counters().conflicts;
    std::uint64_t refused = core_->traffic().unreadable;
    for (const auto& [reason, n] : core_->traffic().refused) refused += n;
    counters_.add(Counter::groupRefused, refused - countedRefused_);
    countedRefused_ = refused;
}

std::string ClusterMember::show() const {
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
        const Millis heard = core_->membership().lastHeard(name);
        Json age;  // null: itself, or never heard
        if (name != self_ && heard > 0) age = now - heard;
        members.push_back({{"name", name},
                           {"presence", nameOf(core_->membership().presenceOf(name))},
                           {"heardMsAgo", age},
                           {"voter", l.isVoter(name)},
                           {"session", s != nullptr ? s->number : 0}});
    }
    for (const auto& [name, d] : core_->table().singletonRoles())
        singletonRoles.push_back({{"name", name}, {"holder", d.holder}, {"fence", d.fencingToken}});
    for (const auto& [name, fencingToken] : core_->leaseClient().heldLeases())
        if (mayAct(name)) acts[name] = fencingToken;
    const Traffic& t = core_->traffic();
    return Json{
        {"group", settings_.name},
        {"number", l.groupNumber()},
        {"self", self_},
        {"role", failed_   ? "failed"
                 : closed_ ? "left"
                           : nameOf(l.role())},
        {"folder", settings_.folder.empty() ? "none"
                   : failed_                ? "failed"
                                            : "kept"},
        {"term", l.currentTerm()},
        {"leader", l.leader()},
        {"leaderHeardMsAgo", l.isLeader() ? 0 : std::min(1e9, std::max(0.0, now - l.lastLeaderContact()))},
        {"entry", l.commitIndex()},
        {"digest", fmt::format("{:016x}", l.digestAt(l.commitIndex()))},
        {"conflicts", l.counters().conflicts},
        {"members", std::move(members)},
        {"duties", std::move(singletonRoles)},
        {"mayAct", std::move(acts)},
        {"sessionEndsInMs",
         core_->leaseClient().inSession(now) ? core_->leaseClient().sessionUntil() - now : 0},
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
