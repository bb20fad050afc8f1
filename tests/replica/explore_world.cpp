#include "explore_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <variant>

namespace beechpoint::replica::exploration {

namespace {

constexpr Millis kMessageDelay = 1;
constexpr Millis kForcedWriteDelay = 6;  // longer than the round trip of a batch through the chain
constexpr Millis kUnforcedWriteDelay = 0.2;
constexpr Millis kLateMessageDelay = 900;
constexpr Millis kOutageDuration = 2'400;  // partition or freeze; longer than a view change takes
constexpr Millis kMessageLossDuration = 600;
constexpr Millis kDiskStallDuration = 1'500;
constexpr Millis kRestartDelay = 300;  // restart delay after a power loss
constexpr Millis kFoundingTimeout = 5'000;
constexpr Millis kWarmUpDuration = 400;     // writes before the scenario starts
constexpr Millis kDeviationWindow = 3'000;  // deviations are allowed for this long after the start
constexpr Millis kRecoveryTimeout = 6'000;
constexpr Millis kScenarioDuration = 5'000;  // duration of the scenario

std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
    std::uint64_t value = left * 0x9E3779B97F4A7C15ULL + right + 0x7F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}
std::uint64_t hashOf(Position position) { return mix(position.epoch, position.sequence); }

std::uint64_t hashOf(const Message& message) {
    return mix(mix(message.from.session, message.epoch), message.body.index());
}

}  // namespace

World::World(const Scenario& scenario, Plan plan, std::unordered_set<std::uint64_t>& states)
    : scenario_(scenario), plan_(std::move(plan)), states_(states) {
    for (std::size_t index = 0; index < kNodes; ++index) {
        Node& node = nodes_.emplace_back();
        node.member.name = fmt::format("core-{}", index);
        node.member.internalAddress = fmt::format("10.0.0.{}:7660", index + 1);
        node.member.controlAddress = fmt::format("10.0.0.{}:8146", index + 1);
        node.member.zone = fmt::format("zone-{}", index);
    }
    for (std::size_t index = 0; index < kFounders; ++index)
        at(now_ + static_cast<Millis>(index), [this, index] { start(index); });
}

World::~World() = default;

Outcome World::run() {
    client();
    if (!runUntil(now_ + kFoundingTimeout, [this] { return outcome_.acknowledged > 0; })) fail("no founding");
    runUntil(now_ + kWarmUpDuration, [] { return false; });
    begunAt_ = now_;
    if (!failed() && scenario_.begin) scenario_.begin(*this);
    runUntil(now_ + kScenarioDuration, [] { return false; });
    runUntil(now_ + kRecoveryTimeout, [this] { return isComplete(); });
    const std::size_t before = outcome_.acknowledged;
    const bool writes = runUntil(now_ + 200, [&] { return outcome_.acknowledged > before; });
    clientRuns_ = false;
    runUntil(now_ + kFreshLag, [] { return false; });
    outcome_.complete = writes && isComplete();
    for (std::size_t index = 0; outcome_.complete && index < kNodes; ++index)
        if (nodes_[index].replica && nodes_[index].replica->committedPosition() < acknowledged_)
            fail("an acknowledged write is missing in the end");
    return std::move(outcome_);
}

// ---- Time

void World::at(Millis time, std::function<void()> action) {
    due_.push_back(Due{std::max(time, now_), ++order_, std::move(action)});
    std::ranges::push_heap(due_, std::greater<>{});
}

void World::after(Millis delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

bool World::runUntil(Millis end, const std::function<bool()>& condition) {
    while (!failed()) {
        if (condition()) return true;
        if (due_.empty() || due_.front().time > end) {
            now_ = end;
            return condition();
        }
        std::ranges::pop_heap(due_, std::greater<>{});
        const Due due = std::move(due_.back());
        due_.pop_back();
        now_ = due.time;
        due.action();
    }
    return false;
}

std::size_t World::pass(Step step, bool message) {
    outcome_.points.push_back({step, message, now_ >= begunAt_ && now_ < begunAt_ + kDeviationWindow});
    return outcome_.points.size() - 1;
}

const Deviation* World::planned(std::size_t point) const {
    const auto found = plan_.find(point);
    return found == plan_.end() ? nullptr : &found->second;
}

// ---- Processes

void World::start(std::size_t index) {
    Node& node = nodes_[index];
    if (node.replica || node.gone) return;
    Settings settings;
    settings.self = node.member;
    for (std::size_t founder = 0; founder < kFounders; ++founder)
        settings.seeds.push_back(nodes_[founder].member.controlAddress);
    settings.bootstrap = node.session == 0 && index < kFounders;
    const std::uint64_t seed = index * 1'000 + ++node.session;
    node.lastShown = Position{};
    node.replica = std::make_unique<Replica>(settings, node.written, seed, now_);
    deliver(index, Tick{});
}

void World::losePower(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.replica) return;
    node.replica.reset();
    node.frozenUntil = 0;
    node.waiting.clear();
    node.persists.clear();
    node.diskBusy = false;
    ++node.diskOrder;
    node.diskStalledUntil = 0;
    node.written = node.synced;
    ++node.session;
    remember(index);
}

void World::losePowerAndReturn(std::size_t index) {
    if (nodes_[index].session == 0) return;  // a spare that was not started
    losePower(index);
    after(kRestartDelay, [this, index] { start(index); });
}

void World::wipe(std::size_t index) {
    losePower(index);
    nodes_[index].written = nodes_[index].synced = DurableState{};
}

void World::partition(std::size_t from, std::size_t to, Millis span) {
    partitionedUntil_[{from, to}] = now_ + span;
    partitionedUntil_[{to, from}] = now_ + span;
}

void World::isolate(std::size_t node, Millis span) {
    for (std::size_t other = 0; other < kNodes; ++other)
        if (other != node) partition(node, other, span);
}

void World::freeze(std::size_t index, Millis span) {
    nodes_[index].frozenUntil = now_ + span;
    after(span, [this, index, session = nodes_[index].session] {
        if (nodes_[index].session == session) thaw(index);
    });
}

void World::leave(std::size_t index) {
    nodes_[index].leaving = true;
    deliver(index, Leave{});
}

void World::endIfLeft(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.leaving || !node.replica || !node.replica->hasLeft(now_)) return;
    checkCopies(node.replica->view());
    node.gone = true;
    losePower(index);
}

// When a member has left, all members of the remaining view must hold its starting state, except those whose disk was wiped.
void World::checkCopies(const View& view) {
    for (const Member& member : view.members)
        for (const Node& node : nodes_) {
            const DurableState& disk = node.synced;
            const bool listed =
                node.member.name == member.name && disk.control.incarnation == member.incarnation;
            if (listed && disk.syncedEpoch < view.epoch)
                fail(fmt::format("a member left before {} held the state of epoch {}", member.name,
                                 view.epoch));
        }
}

void World::thaw(std::size_t index) {
    Node& node = nodes_[index];
    node.frozenUntil = 0;
    std::deque<Event> waiting = std::exchange(node.waiting, {});
    const std::uint64_t session = node.session;
    if (node.replica) check(index);
    for (Event& event : waiting)
        if (nodes_[index].session == session) deliver(index, std::move(event));
    if (nodes_[index].session == session) deliver(index, Tick{});
}

std::size_t World::head() const {
    const std::string& name = views_.rbegin()->second.members.front().name;
    return static_cast<std::size_t>(name.back() - '0');
}

std::size_t World::tail() const {
    const std::string& name = views_.rbegin()->second.members.back().name;
    return static_cast<std::size_t>(name.back() - '0');
}

// ---- Disks

void World::startPersist(std::size_t index) {
    Node& node = nodes_[index];
    if (node.diskBusy || node.persists.empty()) return;
    node.diskBusy = true;
    const QueuedPersist& persist = node.persists.front();
    const Deviation* deviation = planned(persist.point);
    if (deviation && *deviation == Deviation::slow) node.diskStalledUntil = now_ + kDiskStallDuration;
    const Millis done = std::max(now_, node.diskStalledUntil) +
                        (persist.update.force ? kForcedWriteDelay : kUnforcedWriteDelay);
    at(done, [this, index, order = ++node.diskOrder] {
        if (nodes_[index].diskOrder == order && nodes_[index].diskBusy) finishPersist(index);
    });
}

void World::finishPersist(std::size_t index) {
    Node& node = nodes_[index];
    const QueuedPersist persist = std::move(node.persists.front());
    node.persists.pop_front();
    node.diskBusy = false;
    if (injectDiskFault(index, persist)) return;
    apply(persist.update, node.written);
    if (persist.update.force) node.synced = node.written;
    startPersist(index);
    deliver(index, Persisted{persist.token});
}

// Whether the update's deviation takes effect now.
bool World::injectDiskFault(std::size_t index, const QueuedPersist& persist) {
    const Deviation* deviation = planned(persist.point);
    if (!deviation || *deviation == Deviation::slow || ofMessage(*deviation)) return false;
    Node& node = nodes_[index];
    const bool there = *deviation == Deviation::powerAfter || *deviation == Deviation::allPowerAfter ||
                       *deviation == Deviation::failedThere;
    if (there) {
        apply(persist.update, node.written);
        node.synced = node.written;
    }
    if (*deviation == Deviation::failed || *deviation == Deviation::failedThere) {
        startPersist(index);
        deliver(index, PersistFailed{persist.token, "disk full"});
    } else if (*deviation == Deviation::wiped) {
        wipe(index);
        after(kRestartDelay, [this, index] { start(index); });
    } else if (*deviation == Deviation::allPowerBefore || *deviation == Deviation::allPowerAfter) {
        for (std::size_t each = 0; each < kNodes; ++each) losePowerAndReturn(each);
    } else {
        losePowerAndReturn(index);
    }
    return true;
}

// ---- Network

void World::send(std::size_t from, const Send& send) {
    const auto found = std::ranges::find_if(
        nodes_, [&](const Node& node) { return node.member.internalAddress == send.address; });
    if (found == nodes_.end()) return;
    const auto to = static_cast<std::size_t>(found - nodes_.begin());
    const Step step = stepOf(send.message.body);
    const Deviation* deviation = planned(pass(step, true));
    if (step == Step::stateTransfer && now_ < stateTransferLostUntil_) return;
    Millis& lostUntil = lostUntil_[{from, to, step}];
    if (deviation && *deviation == Deviation::lostForSomeTime) lostUntil = now_ + kMessageLossDuration;
    if (now_ < lostUntil || (deviation && *deviation == Deviation::lost)) return;
    const bool late = deviation && *deviation == Deviation::late;
    transmit(from, to, send.message, late ? kLateMessageDelay : kMessageDelay);
    if (!deviation) return;
    if (*deviation == Deviation::repeated) transmit(from, to, send.message, kLateMessageDelay);
    // The message itself is still sent.
    const std::uint64_t session = nodes_[from].session;
    if (*deviation == Deviation::senderIsolated)
        after(2 * kMessageDelay, [this, from] { isolate(from, kOutageDuration); });
    if (*deviation == Deviation::senderFrozen)
        after(0, [this, from, session] {
            if (nodes_[from].session == session) freeze(from, kOutageDuration);
        });
}

void World::transmit(std::size_t from, std::size_t to, const Message& message, Millis delay) {
    inFlight_ += hashOf(message);
    at(now_ + delay, [this, from, to, message] {
        inFlight_ -= hashOf(message);
        const auto cut = partitionedUntil_.find({from, to});
        if (cut != partitionedUntil_.end() && now_ < cut->second) return;
        deliver(to, MessageReceived{message});
    });
}

// ---- Events and actions

void World::deliver(std::size_t index, Event event) {
    Node& node = nodes_[index];
    if (!node.replica || failed()) return;
    if (now_ < node.frozenUntil) {
        node.waiting.push_back(std::move(event));
        return;
    }
    std::vector<Action> actions;
    node.replica->handle(now_, event, actions);
    carryOut(index, actions);
    if (nodes_[index].replica) check(index);
    endIfLeft(index);
    remember(index);
}

void World::carryOut(std::size_t index, const std::vector<Action>& actions) {
    Node& node = nodes_[index];
    for (const Action& action : actions) {
        if (const auto* sent = std::get_if<Send>(&action)) send(index, *sent);
        if (const auto* persist = std::get_if<Persist>(&action)) {
            node.persists.push_back({persist->token, persist->update, pass(stepOf(persist->update), false)});
            startPersist(index);
        }
        if (const auto* done = std::get_if<WriteDone>(&action)) onWriteDone(index, *done);
        if (const auto* done = std::get_if<ReadDone>(&action)) onReadDone(index, *done);
        if (const auto* committed = std::get_if<Committed>(&action)) onCommitted(index, committed->batch);
        if (const auto* changed = std::get_if<ViewChanged>(&action)) onView(changed->view);
        if (const auto* timer = std::get_if<SetTimer>(&action)) {
            node.timer = timer->at;
            at(timer->at, [this, index, time = timer->at, session = node.session] {
                if (nodes_[index].session == session && nodes_[index].timer == time) deliver(index, Tick{});
            });
        }
    }
}

// ---- States reached

// Records the hash of the current state: disks, views, votes, committed positions, heads, and messages and updates in flight.
void World::remember(std::size_t index) {
    Node& node = nodes_[index];
    std::uint64_t hash = mix(node.session, node.persists.size());
    for (const DurableState* disk : {&node.written, &node.synced}) {
        const Vote& vote = disk->control.vote;
        hash = mix(hash, mix(disk->control.incarnation, disk->control.view.epoch));
        hash = mix(hash, mix(vote.promised.round, vote.accepted.round));
        hash = mix(hash, mix(disk->syncedEpoch, hashOf(disk->position)));
        hash = mix(hash, disk->pending ? hashOf(disk->pending->position) : 0);
    }
    if (node.replica) {
        hash = mix(hash, mix(node.replica->view().epoch, hashOf(node.replica->committedPosition())));
        hash = mix(hash, (node.replica->isHead() ? 1 : 0) + (node.replica->isWritable() ? 2 : 0) +
                             (now_ < node.frozenUntil ? 4 : 0));
    }
    node.hash = hash;
    std::uint64_t all = inFlight_;
    for (const Node& each : nodes_) all = mix(all, each.hash);
    states_.insert(all);
}

}  // namespace beechpoint::replica::exploration
