#include "explore_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <type_traits>
#include <variant>

namespace beechpoint::replica::exploration {

namespace {

constexpr Millis kDelay = 1;
constexpr Millis kForced = 6;  // longer than a batch takes down the chain and back
constexpr Millis kUnforced = 0.2;
constexpr Millis kLate = 900;
constexpr Millis kAway = 2'400;  // cut off or frozen: longer than the others need for a view
constexpr Millis kLostFor = 600;
constexpr Millis kStall = 1'500;
constexpr Millis kReturn = 300;  // of a machine that lost its power
constexpr Millis kClientEvery = 30;
constexpr Millis kFreshLag = 1'300;
constexpr Millis kFounding = 5'000;
constexpr Millis kBefore = 400;    // writes before the scenario begins
constexpr Millis kWindow = 3'000;  // deviations from then on
constexpr Millis kReturnWithin = 6'000;
constexpr Millis kPlay = 5'000;  // from then on to the end

std::string text(Position position) { return fmt::format("{}.{}", position.epoch, position.sequence); }

std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
    std::uint64_t value = left * 0x9E3779B97F4A7C15ULL + right + 0x7F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}
std::uint64_t hashOf(Position position) { return mix(position.epoch, position.sequence); }

template <class... Kinds>
bool isAny(const Body& body) {
    return (std::holds_alternative<Kinds>(body) || ...);
}

Step stepOf(const Body& body) {
    if (isAny<Heartbeat, HeartbeatReply>(body)) return Step::heartbeat;
    if (isAny<Join>(body)) return Step::joining;
    if (isAny<Prepare, Promise, Refuse, Accept, Accepted>(body)) return Step::vote;
    if (isAny<Decided>(body)) return Step::decision;
    if (isAny<SyncRequest, SyncReply>(body)) return Step::handOver;
    if (const auto* propose = std::get_if<Propose>(&body))
        return propose->opening ? Step::opening : Step::batch;
    return Step::commit;
}

Step stepOf(const DurableUpdate& update) {
    if (update.control && update.control->vote.promised.round > 0) return Step::voteRecord;
    if (update.control) return Step::decision;
    if (update.syncedEpoch)
        return update.table && !update.table->changes.empty() ? Step::handOver : Step::opening;
    if (update.pending) return Step::batch;
    return update.clearPending ? Step::commit : Step::otherRecord;
}

std::uint64_t hashOf(const Message& message) {
    return mix(mix(message.from.session, message.epoch), message.body.index());
}

}  // namespace

const char* nameOf(Deviation deviation) {
    static constexpr std::array<const char*, kDeviations> kNames{"lost",
                                                                 "lost for a while",
                                                                 "repeated",
                                                                 "late",
                                                                 "sender cut off",
                                                                 "sender frozen",
                                                                 "power before",
                                                                 "power after",
                                                                 "power of all before",
                                                                 "power of all after",
                                                                 "wiped",
                                                                 "failed",
                                                                 "failed, there",
                                                                 "slow"};
    return kNames.at(static_cast<std::size_t>(deviation));
}

const char* nameOf(Step step) {
    static constexpr std::array<const char*, kSteps> kNames{
        "heartbeat", "joining", "vote",   "vote record", "decision",
        "opening",   "batch",   "commit", "hand-over",   "other record"};
    return kNames.at(static_cast<std::size_t>(step));
}

bool ofMessage(Deviation deviation) { return deviation <= Deviation::senderFrozen; }

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
    if (!runUntil(now_ + kFounding, [this] { return outcome_.acknowledged > 0; })) fail("no founding");
    runUntil(now_ + kBefore, [] { return false; });
    begunAt_ = now_;
    if (!failed() && scenario_.begin) scenario_.begin(*this);
    runUntil(now_ + kPlay, [] { return false; });
    runUntil(now_ + kReturnWithin, [this] { return whole(); });
    const std::size_t before = outcome_.acknowledged;
    const bool writes = runUntil(now_ + 200, [&] { return outcome_.acknowledged > before; });
    clientRuns_ = false;
    runUntil(now_ + kFreshLag, [] { return false; });
    outcome_.whole = writes && whole();
    for (std::size_t index = 0; outcome_.whole && index < kNodes; ++index)
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
    outcome_.points.push_back({step, message, now_ >= begunAt_ && now_ < begunAt_ + kWindow});
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
    settings.bootstrap = node.life == 0 && index < kFounders;
    const std::uint64_t seed = index * 1'000 + ++node.life;
    node.shown = Position{};
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
    ++node.life;
    remember(index);
}

void World::losePowerAndReturn(std::size_t index) {
    if (nodes_[index].life == 0) return;  // a spare that nobody has started
    losePower(index);
    after(kReturn, [this, index] { start(index); });
}

void World::wipe(std::size_t index) {
    losePower(index);
    nodes_[index].written = nodes_[index].synced = DurableState{};
}

void World::cut(std::size_t from, std::size_t to, Millis span) {
    cutUntil_[{from, to}] = now_ + span;
    cutUntil_[{to, from}] = now_ + span;
}

void World::cutOff(std::size_t node, Millis span) {
    for (std::size_t other = 0; other < kNodes; ++other)
        if (other != node) cut(node, other, span);
}

void World::freeze(std::size_t index, Millis span) {
    nodes_[index].frozenUntil = now_ + span;
    after(span, [this, index, life = nodes_[index].life] {
        if (nodes_[index].life == life) thaw(index);
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

// All members of the view that a member leaves behind hold its starting state, but those that lost their disks since.
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
    const std::uint64_t life = node.life;
    if (node.replica) check(index);
    for (Event& event : waiting)
        if (nodes_[index].life == life) deliver(index, std::move(event));
    if (nodes_[index].life == life) deliver(index, Tick{});
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
    if (deviation && *deviation == Deviation::slow) node.diskStalledUntil = now_ + kStall;
    const Millis done = std::max(now_, node.diskStalledUntil) + (persist.update.force ? kForced : kUnforced);
    at(done, [this, index, order = ++node.diskOrder] {
        if (nodes_[index].diskOrder == order && nodes_[index].diskBusy) finishPersist(index);
    });
}

void World::finishPersist(std::size_t index) {
    Node& node = nodes_[index];
    const QueuedPersist persist = std::move(node.persists.front());
    node.persists.pop_front();
    node.diskBusy = false;
    if (strikeDisk(index, persist)) return;
    apply(persist.update, node.written);
    if (persist.update.force) node.synced = node.written;
    startPersist(index);
    deliver(index, Persisted{persist.token});
}

// Whether the update deviates, and does so now.
bool World::strikeDisk(std::size_t index, const QueuedPersist& persist) {
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
        after(kReturn, [this, index] { start(index); });
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
    if (step == Step::handOver && now_ < handOverLostUntil_) return;
    Millis& lostUntil = lostUntil_[{from, to, step}];
    if (deviation && *deviation == Deviation::lostForAWhile) lostUntil = now_ + kLostFor;
    if (now_ < lostUntil || (deviation && *deviation == Deviation::lost)) return;
    const bool late = deviation && *deviation == Deviation::late;
    transmit(from, to, send.message, late ? kLate : kDelay);
    if (!deviation) return;
    if (*deviation == Deviation::repeated) transmit(from, to, send.message, kLate);
    // The message itself still leaves.
    const std::uint64_t life = nodes_[from].life;
    if (*deviation == Deviation::senderCutOff) after(2 * kDelay, [this, from] { cutOff(from, kAway); });
    if (*deviation == Deviation::senderFrozen)
        after(0, [this, from, life] {
            if (nodes_[from].life == life) freeze(from, kAway);
        });
}

void World::transmit(std::size_t from, std::size_t to, const Message& message, Millis delay) {
    inFlight_ += hashOf(message);
    at(now_ + delay, [this, from, to, message] {
        inFlight_ -= hashOf(message);
        const auto cut = cutUntil_.find({from, to});
        if (cut != cutUntil_.end() && now_ < cut->second) return;
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
            at(timer->at, [this, index, time = timer->at, life = node.life] {
                if (nodes_[index].life == life && nodes_[index].timer == time) deliver(index, Tick{});
            });
        }
    }
}

// ---- Client

// Offers a write to every process that would take one, and a read to every one that believes to be the tail.
void World::client() {
    if (!clientRuns_) return;
    for (std::size_t index = 0; index < kNodes; ++index) {
        Node& node = nodes_[index];
        if (!node.replica || now_ < node.frozenUntil) continue;
        if (node.replica->writable()) {
            const std::uint64_t token = nextToken_++;
            openWrites_[token] = {index, std::to_string(token)};
            deliver(index, ClientWrite{token, {{fmt::format("key/{}", token % 7), std::to_string(token)}}});
        }
        if (node.replica && node.replica->isTail()) {
            const std::uint64_t token = nextToken_++;
            openReads_[token] = acknowledged_;
            deliver(index, ReadBarrier{token});
        }
    }
    after(kClientEvery, [this] { client(); });
}

void World::onWriteDone(std::size_t index, const WriteDone& done) {
    const auto found = openWrites_.find(done.token);
    if (found == openWrites_.end()) return fail("a write was answered twice");
    const OpenWrite open = found->second;
    openWrites_.erase(found);
    if (done.outcome != WriteOutcome::committed) return;
    ++outcome_.acknowledged;
    const Replica& replica = *nodes_[index].replica;
    const auto& table = replica.committedTable();
    if (std::ranges::none_of(table, [&](const auto& entry) { return entry.second == open.value; }))
        return fail(fmt::format("node {} acknowledged a write that its table lacks", index));
    know(index, replica.committedPosition(), table);
    if (replica.committedPosition() <= acknowledged_) return;
    acknowledged_ = replica.committedPosition();
    for (const auto& [epoch, view] : views_) checkStart(view, acknowledged_);
    acknowledgements_.emplace_back(now_, acknowledged_);
}

void World::onReadDone(std::size_t index, const ReadDone& done) {
    const auto found = openReads_.find(done.token);
    if (found == openReads_.end()) return fail("a read was answered twice");
    const Position floor = found->second;
    openReads_.erase(found);
    if (!done.ok) return;
    ++outcome_.reads;
    const Position position = nodes_[index].replica->committedPosition();
    if (position < floor)
        fail(fmt::format("node {} reads {} though {} was acknowledged", index, text(position), text(floor)));
}

// ---- Checks

void World::know(std::size_t index, Position position, const Table& table) {
    const auto [entry, added] = history_.try_emplace(position.sequence, Known{position, table});
    if (added || (entry->second.position == position && entry->second.table == table)) return;
    fail(fmt::format("node {} shows {} where {} was committed", index, text(position),
                     text(entry->second.position)));
}

void World::onCommitted(std::size_t index, const Batch& batch) {
    const auto before = history_.find(batch.position.sequence - 1);
    if (before == history_.end()) return;
    Table expected = before->second.table;
    beechpoint::apply(batch.changes, expected);
    know(index, batch.position, expected);
}

void World::onView(const View& view) {
    const auto [entry, added] = views_.try_emplace(view.epoch, view);
    if (!added && entry->second != view) fail(fmt::format("two views of epoch {}", view.epoch));
    if (added) checkStart(view, acknowledged_);
}

// What was acknowledged in an earlier epoch is part of the state that a view starts from.
void World::checkStart(const View& view, Position acknowledged) {
    if (acknowledged.epoch < view.epoch && view.start < acknowledged)
        fail(fmt::format("the view of epoch {} starts from {} though {} was acknowledged", view.epoch,
                         text(view.start), text(acknowledged)));
}

void World::check(std::size_t index) {
    Node& node = nodes_[index];
    const Position position = node.replica->committedPosition();
    if (position < node.shown)
        fail(fmt::format("node {} went back from {} to {}", index, text(node.shown), text(position)));
    if (position != node.shown) know(index, position, node.replica->committedTable());
    node.shown = position;
    if (!node.replica->fresh(now_)) return;
    while (acknowledgements_.size() > 1 && acknowledgements_[1].first < now_ - kFreshLag)
        acknowledgements_.pop_front();
    if (acknowledgements_.empty() || acknowledgements_.front().first >= now_ - kFreshLag) return;
    if (position < acknowledgements_.front().second)
        fail(fmt::format("node {} calls {} fresh though {} was acknowledged long ago", index, text(position),
                         text(acknowledgements_.front().second)));
}

bool World::whole() const {
    const auto running = static_cast<std::size_t>(
        std::ranges::count_if(nodes_, [](const Node& node) { return node.life > 0 && !node.gone; }));
    return std::ranges::all_of(nodes_, [&](const Node& node) {
        if (node.life == 0 || node.gone) return true;
        return node.replica && node.replica->fresh(now_) && node.replica->view().members.size() == running;
    });
}

void World::fail(const std::string& text) {
    if (outcome_.failure.empty()) outcome_.failure = fmt::format("at {:.1f}: {}", now_, text);
}

// Adds the hash of the present state: disks, views, votes, what is committed, who leads, messages and updates on their way.
void World::remember(std::size_t index) {
    Node& node = nodes_[index];
    std::uint64_t hash = mix(node.life, node.persists.size());
    for (const DurableState* disk : {&node.written, &node.synced}) {
        const Vote& vote = disk->control.vote;
        hash = mix(hash, mix(disk->control.incarnation, disk->control.view.epoch));
        hash = mix(hash, mix(vote.promised.round, vote.accepted.round));
        hash = mix(hash, mix(disk->syncedEpoch, hashOf(disk->position)));
        hash = mix(hash, disk->pending ? hashOf(disk->pending->position) : 0);
    }
    if (node.replica) {
        hash = mix(hash, mix(node.replica->view().epoch, hashOf(node.replica->committedPosition())));
        hash = mix(hash, (node.replica->isHead() ? 1 : 0) + (node.replica->writable() ? 2 : 0) +
                             (now_ < node.frozenUntil ? 4 : 0));
    }
    node.hash = hash;
    std::uint64_t all = inFlight_;
    for (const Node& each : nodes_) all = mix(all, each.hash);
    states_.insert(all);
}

// ---- Scenarios

void World::loseDiskBehindCut() {
    const std::size_t behind = tail();
    const std::size_t wiped = between();
    const std::size_t dark = head();
    cutOff(behind, kAway);
    after(1'900, [this, dark] { losePower(dark); });
    after(1'900, [this, wiped] { wipe(wiped); });
    after(kAway + 200, [this, wiped] { start(wiped); });
    after(kAway + 600, [this, dark] { start(dark); });
}

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> kScenarios{
        {"the head loses its power with a write in flight",
         [](World& world) {
             const std::size_t node = world.head();
             world.after(3, [&world, node] { world.losePower(node); });
             world.after(1'500, [&world, node] { world.start(node); });
         }},
        {"the tail is cut off", [](World& world) { world.cutOff(world.tail(), 2'400); }},
        {"two members don't hear each other, all go on",
         [](World& world) { world.cut(world.head(), world.tail(), 2'400); }},
        {"the member between is wiped and comes back",
         [](World& world) {
             const std::size_t node = world.between();
             world.wipe(node);
             world.after(200, [&world, node] { world.start(node); });
         },
         1},
        {"a member is away, another loses its disk, the third its power",
         [](World& world) { world.loseDiskBehindCut(); }, 1},
        {"two are wiped one after the other, states are not handed over, the last copy loses its power",
         [](World& world) {
             const std::size_t first = world.tail();
             const std::size_t second = world.between();
             const std::size_t kept = world.head();
             // A process that can't copy the state is taken in without it after 2 s.
             world.loseHandOver(8'000);
             world.wipe(first);
             world.after(100, [&world, first] { world.start(first); });
             world.after(2'700, [&world, second] { world.wipe(second); });
             world.after(2'800, [&world, second] { world.start(second); });
             world.after(5'600, [&world, kept] { world.losePower(kept); });
             world.after(8'000, [&world, kept] { world.start(kept); });
         },
         2},
        {"a spare machine joins while all others are up",
         [](World& world) { world.after(100, [&world] { world.start(kFounders); }); }},
        {"a spare machine takes the place of the head, which leaves",
         [](World& world) {
             const std::size_t node = world.head();
             world.after(100, [&world] { world.start(kFounders); });
             world.after(150, [&world, node] { world.leave(node); });
         }},
    };
    return kScenarios;
}

}  // namespace beechpoint::replica::exploration
