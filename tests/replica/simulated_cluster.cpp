#include "simulated_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::replica::simulation {

namespace {

constexpr std::size_t kTraceLines = 400;
constexpr Millis kForcedLow = 1;
// A fresh member shows all that was acknowledged so long ago.
constexpr Millis kFreshLag = 1'300;

std::string text(Position position) { return fmt::format("{}.{}", position.epoch, position.sequence); }

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(options), random_(options.seed * 7919 + 17) {
    for (std::size_t index = 0; index < options_.nodes; ++index) {
        Node& node = nodes_.emplace_back();
        node.member.name = fmt::format("core-{}", index);
        node.member.internalAddress = fmt::format("10.0.0.{}:7660", index + 1);
        node.member.controlAddress = fmt::format("10.0.0.{}:8146", index + 1);
        node.member.zone = fmt::format("zone-{}", index % options_.zones);
        node.member.counted = !options_.uncounted.contains(index);
        byAddress_[node.member.internalAddress] = index;
    }
    for (Node& node : nodes_)
        for (std::size_t seed = 0; seed < std::min(options_.seeds, options_.nodes); ++seed)
            node.seeds.push_back(nodes_[seed].member.controlAddress);
    for (std::size_t index = 0; index < options_.nodes; ++index)
        at(now_ + draw(0, options_.startSpread), [this, index] { start(index, true); });
}

Cluster::~Cluster() = default;

// ---- Time

void Cluster::at(Millis time, std::function<void()> action) {
    steps_.push_back(Step{std::max(time, now_), ++order_, std::move(action)});
    std::ranges::push_heap(steps_, std::greater<>{});
}

void Cluster::runFor(Millis span) {
    const Millis end = now_ + span;
    runUntil(span, [] { return false; });
    if (!failed()) now_ = end;
}

bool Cluster::runUntil(Millis span, const std::function<bool()>& condition) {
    const Millis end = now_ + span;
    while (!failed()) {
        if (condition()) return true;
        if (steps_.empty() || steps_.front().time > end) {
            now_ = end;
            return condition();
        }
        std::ranges::pop_heap(steps_, std::greater<>{});
        const Step step = std::move(steps_.back());
        steps_.pop_back();
        now_ = step.time;
        step.action();
    }
    return false;
}

// ---- Processes

void Cluster::start(std::size_t index, bool bootstrap) {
    Node& node = nodes_[index];
    if (node.replica || node.gone) return;
    Settings settings;
    settings.self = node.member;
    if (!bootstrap) node.seeds = currentSeeds();  // a process starts with the settings of the moment
    settings.seeds = node.seeds;
    settings.bootstrap = bootstrap;
    settings.tolerance = options_.tolerance;
    ++node.life;
    node.shown = Position{};
    checkDisk(index);
    node.replica = std::make_unique<Replica>(settings, node.written, random_.bits(), now_);
    note(fmt::format("start {}", index));
    deliver(index, Tick{});
}

void Cluster::endProcess(std::size_t index) {
    Node& node = nodes_[index];
    node.replica.reset();
    node.frozen = node.leaving = false;
    node.waiting.clear();
    // The update on its way to the disk may or may not have got there.
    if (!node.persists.empty() && node.diskBusy && !node.diskFails && random_() < 0.5) {
        apply(node.persists.front().update, node.written);
        if (node.persists.front().update.force && random_() < 0.5) node.synced = node.written;
    }
    node.persists.clear();
    node.diskBusy = false;
    ++node.diskOrder;
    ++node.life;
}

void Cluster::kill(std::size_t index) {
    if (!up(index)) return;
    note(fmt::format("kill {}", index));
    endProcess(index);
}

void Cluster::losePower(std::size_t index) {
    if (!up(index)) return;
    note(fmt::format("power {}", index));
    endProcess(index);
    Node& node = nodes_[index];
    if (random_() < 0.7)
        node.written = node.synced;
    else
        node.synced = node.written;
}

void Cluster::leave(std::size_t index, Millis most) {
    if (!up(index) || leaving(index)) return;
    note(fmt::format("leave {}", index));
    nodes_[index].leaving = true;
    at(now_ + most, [this, index, life = nodes_[index].life] {
        if (nodes_[index].life == life) kill(index);
    });
    deliver(index, Leave{});
}

void Cluster::wipe(std::size_t index) {
    Node& node = nodes_[index];
    if (node.replica) return;
    note(fmt::format("wipe {}", index));
    node.written = node.synced = DurableState{};
    ++counters_.wipes;
}

std::size_t Cluster::addReplacement(std::size_t index, bool sameName) {
    const std::size_t added = nodes_.size();
    std::vector<std::string> seeds = currentSeeds();
    Node& node = nodes_.emplace_back();
    node.member.name = sameName ? nodes_[index].member.name : fmt::format("core-{}", added);
    node.member.internalAddress = fmt::format("10.0.0.{}:7660", added + 1);
    node.member.controlAddress = fmt::format("10.0.0.{}:8146", added + 1);
    node.member.zone = nodes_[index].member.zone;
    node.seeds = std::move(seeds);
    byAddress_[node.member.internalAddress] = added;
    note(fmt::format("replacement {} for {}", added, index));
    return added;
}

std::vector<std::string> Cluster::currentSeeds() const {
    std::vector<std::string> seeds;
    for (const Node& node : nodes_)
        if (!node.gone && seeds.size() < options_.seeds) seeds.push_back(node.member.controlAddress);
    return seeds;
}

void Cluster::freeze(std::size_t index) {
    if (!up(index)) return;
    note(fmt::format("freeze {}", index));
    nodes_[index].frozen = true;
}

void Cluster::thaw(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.replica || !node.frozen) return;
    note(fmt::format("thaw {}", index));
    node.frozen = false;
    std::deque<Event> waiting = std::exchange(node.waiting, {});
    const std::uint64_t life = node.life;
    checkNode(index);  // what it would answer before it has handled anything
    for (Event& event : waiting)
        if (nodes_[index].life == life) deliver(index, std::move(event));
    if (nodes_[index].life == life && up(index)) deliver(index, Tick{});
}

// ---- Disks

void Cluster::stallDisk(std::size_t index, Millis until) {
    note(fmt::format("stall {}", index));
    nodes_[index].diskStalledUntil = until;
}

void Cluster::failDisk(std::size_t index, bool failing) {
    note(fmt::format("fail disk {} {}", index, failing));
    nodes_[index].diskFails = failing;
}

void Cluster::startPersist(std::size_t index) {
    Node& node = nodes_[index];
    if (node.diskBusy || node.persists.empty()) return;
    node.diskBusy = true;
    Millis done = std::max(now_, node.diskStalledUntil);
    done += node.persists.front().update.force ? draw(kForcedLow, disks_.slowest) : draw(0.05, 0.3);
    at(done, [this, index, order = ++node.diskOrder] {
        if (nodes_[index].diskOrder == order && nodes_[index].diskBusy) finishPersist(index);
    });
}

void Cluster::finishPersist(std::size_t index) {
    Node& node = nodes_[index];
    if (now_ < node.diskStalledUntil) {  // the stall began meanwhile
        node.diskBusy = false;
        startPersist(index);
        return;
    }
    const QueuedPersist persist = std::move(node.persists.front());
    node.persists.pop_front();
    node.diskBusy = false;
    const bool fails = node.diskFails || random_() < disks_.failure;
    if (!fails) {
        apply(persist.update, node.written);
        if (persist.update.force) node.synced = node.written;
    } else if (random_() < disks_.failedThere) {
        apply(persist.update, node.written);  // a sync that failed: it may be there
        if (random_() < 0.5) node.synced = node.written;
    }
    startPersist(index);
    if (fails)
        deliver(index, PersistFailed{persist.token, "disk full"});
    else
        deliver(index, Persisted{persist.token});
}

// ---- Network

void Cluster::cut(std::size_t from, std::size_t to, bool isCut) {
    note(fmt::format("cut {}>{} {}", from, to, isCut));
    if (isCut)
        cuts_.insert({from, to});
    else
        cuts_.erase({from, to});
}

void Cluster::joinAll() { cuts_.clear(); }

void Cluster::heal() {
    note("heal");
    network_ = NetworkTrouble{};
    disks_ = DiskTrouble{};
    onSend_ = nullptr;
    joinAll();
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index].diskFails = false;
        if (nodes_[index].diskStalledUntil > now_) {
            nodes_[index].diskStalledUntil = 0;
            nodes_[index].diskBusy = false;
            startPersist(index);
        }
        if (nodes_[index].frozen) thaw(index);
        if (!up(index)) start(index);
    }
}

Millis Cluster::copyTime(const Message& message) const {
    const auto* reply = std::get_if<SyncReply>(&message.body);
    return reply && reply->update.whole ? options_.wholeCopy : 0;
}

void Cluster::send(std::size_t from, const Send& send) {
    const auto found = byAddress_.find(send.address);
    if (found == byAddress_.end()) return;
    const std::size_t to = found->second;
    if (onSend_) onSend_(from, send.message.body);
    const int copies = random_() < network_.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (random_() < network_.loss) continue;
        const bool sameZone = nodes_[from].member.zone == nodes_[to].member.zone;
        const Millis delay = (sameZone ? 0.5 : draw(0.9, 13)) + draw(0, 0.5) + draw(0, network_.extraDelay) +
                             (random_() < network_.late ? draw(0, 3'000) : 0) + copyTime(send.message);
        at(now_ + delay, [this, from, to, message = send.message]() mutable {
            if (!cuts_.contains({from, to})) deliver(to, MessageReceived{std::move(message)});
        });
    }
}

// ---- Events and actions

void Cluster::deliver(std::size_t index, Event event) {
    Node& node = nodes_[index];
    if (!node.replica || failed()) return;
    if (node.frozen) {
        node.waiting.push_back(std::move(event));
        return;
    }
    std::vector<Action> actions;
    node.replica->handle(now_, event, actions);
    carryOut(index, actions);
    if (up(index)) checkNode(index);
}

void Cluster::carryOut(std::size_t index, const std::vector<Action>& actions) {
    const std::uint64_t life = nodes_[index].life;
    for (const Action& action : actions) {
        if (nodes_[index].life != life) return;  // a fault was due at this very step
        if (const auto* sent = std::get_if<Send>(&action)) send(index, *sent);
        if (const auto* persist = std::get_if<Persist>(&action)) {
            nodes_[index].persists.push_back({persist->token, persist->update});
            startPersist(index);
        }
        if (const auto* done = std::get_if<WriteDone>(&action)) onWriteDone(index, *done);
        if (const auto* done = std::get_if<ReadDone>(&action)) onReadDone(index, *done);
        if (const auto* committed = std::get_if<Committed>(&action)) onCommitted(index, committed->batch);
        if (const auto* timer = std::get_if<SetTimer>(&action)) armTimer(index, timer->at);
        if (const auto* changed = std::get_if<ViewChanged>(&action)) {
            ++counters_.viewChanges;
            if (afterView_) at(now_ + draw(0, 60), std::exchange(afterView_, nullptr));
            std::string names;
            for (const Member& member : changed->view.members)
                names += fmt::format(" {}", byAddress_[member.internalAddress]);
            note(fmt::format("node {} view {} start {} :{}", index, changed->view.epoch,
                             text(changed->view.start), names));
        }
        if (const auto* log = std::get_if<Log>(&action)) note(fmt::format("node {} {}", index, log->text));
    }
}

void Cluster::armTimer(std::size_t index, Millis time) {
    nodes_[index].timer = time;
    at(time, [this, index, time, life = nodes_[index].life] {
        if (nodes_[index].life == life && nodes_[index].timer == time) deliver(index, Tick{});
    });
}

// ---- Client

void Cluster::startClient() {
    clientRuns_ = true;
    clientStep();
}

void Cluster::clientStep() {
    if (!clientRuns_) return;
    write();
    if (++clientSteps_ % 2 == 0) readOnce();
    at(now_ + draw(options_.writeEvery / 2, options_.writeEvery * 1.5), [this] { clientStep(); });
}

// Offers a write to every process that thinks it may take one, so that two heads at once would be found out.
void Cluster::write() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!up(index) || frozen(index) || !replica(index).writable()) continue;
        const std::uint64_t token = nextToken_++;
        const std::uint64_t value = nextValue_++;
        OpenWrite open{index, nodes_[index].life, fmt::format("key/{}", value % 50), std::to_string(value)};
        std::vector<Change> changes{{open.key, open.value}, {"meta/version", open.value}};
        if (value % 7 == 0) changes.push_back({fmt::format("key/{}", (value + 3) % 50), std::nullopt});
        openWrites_[token] = open;
        ++counters_.writesOffered;
        deliver(index, ClientWrite{token, std::move(changes)});
        if (afterWrite_) at(now_ + draw(0, 25), std::exchange(afterWrite_, nullptr));
    }
}

bool Cluster::writeInFlight() const {
    return std::ranges::any_of(openWrites_, [&](const auto& entry) {
        const OpenWrite& open = entry.second;
        return nodes_[open.node].life == open.life && nodes_[open.node].replica;
    });
}

void Cluster::countFault() {
    ++counters_.faults;
    if (writeInFlight()) ++counters_.faultsWithWriteInFlight;
}

void Cluster::readOnce() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!up(index) || frozen(index) || !replica(index).isTail()) continue;
        const std::uint64_t token = nextToken_++;
        openReads_[token] = {index, nodes_[index].life, acknowledged_};
        deliver(index, ReadBarrier{token});
    }
}

void Cluster::onWriteDone(std::size_t index, const WriteDone& done) {
    const auto found = openWrites_.find(done.token);
    if (found == openWrites_.end()) return fail("a write was answered twice");
    const OpenWrite open = found->second;
    openWrites_.erase(found);
    if (done.outcome != WriteOutcome::committed) return;
    ++counters_.writesAcknowledged;
    const Replica& head = replica(index);
    const auto entry = head.committedTable().find(open.key);
    if (entry == head.committedTable().end() || entry->second != open.value)
        return fail(fmt::format("node {} acknowledged a write that its table lacks", index));
    // An answer may come late, from a head that slept: then it must be part of the history meanwhile.
    checkState(index);
    if (head.committedPosition() > acknowledged_) {
        acknowledged_ = head.committedPosition();
        acknowledgements_.emplace_back(now_, acknowledged_);
    }
    if (afterAcknowledgement_) std::exchange(afterAcknowledgement_, nullptr)();
}

void Cluster::onReadDone(std::size_t index, const ReadDone& done) {
    const auto found = openReads_.find(done.token);
    if (found == openReads_.end()) return fail("a read was answered twice");
    const OpenRead open = found->second;
    openReads_.erase(found);
    if (!done.ok) return;
    ++counters_.readsDone;
    if (replica(index).committedPosition() < open.floor)
        fail(fmt::format("node {} reads {} though {} was acknowledged", index,
                         text(replica(index).committedPosition()), text(open.floor)));
}

// ---- Checks

void Cluster::onCommitted(std::size_t index, const Batch& batch) {
    const auto before = canon_.find(batch.position.sequence - 1);
    if (before == canon_.end()) return;
    Table expected = before->second.table;
    beechpoint::apply(batch.changes, expected);
    const auto known = canon_.find(batch.position.sequence);
    if (known == canon_.end())
        canon_[batch.position.sequence] = {batch.position, expected};
    else if (known->second.position != batch.position || known->second.table != expected)
        fail(fmt::format("node {} committed another batch {} than was committed there", index,
                         text(batch.position)));
}

// One history: at each sequence one position and one table, whoever shows it.
void Cluster::checkState(std::size_t index) {
    const Replica& replica = *nodes_[index].replica;
    const Position position = replica.committedPosition();
    if (position == Position{}) {
        if (!replica.committedTable().empty()) fail("a table without a position");
        return;
    }
    const auto [entry, added] =
        canon_.try_emplace(position.sequence, Canon{position, replica.committedTable()});
    if (added) return;
    if (entry->second.position != position || entry->second.table != replica.committedTable())
        fail(fmt::format("node {} shows {} where {} was committed", index, text(position),
                         text(entry->second.position)));
}

// The table on disk is the one of its position, if that was ever committed.
void Cluster::checkDisk(std::size_t index) {
    const DurableState& disk = nodes_[index].written;
    const auto known = canon_.find(disk.position.sequence);
    if (known == canon_.end() || known->second.position != disk.position) return;
    if (known->second.table != disk.table)
        fail(fmt::format("the disk of node {} holds another table at {}", index, text(disk.position)));
}

void Cluster::checkNode(std::size_t index) {
    Node& node = nodes_[index];
    const Position position = node.replica->committedPosition();
    if (position < node.shown)
        fail(fmt::format("node {} went back from {} to {}", index, text(node.shown), text(position)));
    if (position != node.shown) checkState(index);
    node.shown = position;
    if (node.leaving && node.replica->hasLeft(now_)) checkLeft(index);
    if (!node.replica->fresh(now_)) return;
    while (acknowledgements_.size() > 1 && acknowledgements_[1].first < now_ - kFreshLag)
        acknowledgements_.pop_front();
    if (acknowledgements_.empty() || acknowledgements_.front().first >= now_ - kFreshLag) return;
    if (position < acknowledgements_.front().second)
        fail(fmt::format("node {} calls {} fresh though {} was acknowledged long ago", index, text(position),
                         text(acknowledgements_.front().second)));
}

// Nothing may hang on a process that says it has left: every member of the view without it holds all that was acknowledged.
void Cluster::checkLeft(std::size_t index) {
    Node& node = nodes_[index];
    node.leaving = false;
    ++leftByAgreement_;
    note(fmt::format("left {}", index));
    at(now_, [this, index, life = node.life] {
        if (nodes_[index].life == life) kill(index);
    });
    const View& view = node.replica->view();
    if (view.epoch > 0 && view.findDisk(node.member) && view.members.size() > 1)
        fail(fmt::format("node {} left the view of epoch {} that lists it", index, view.epoch));
    for (const Member& member : view.members) {
        const DurableState& disk = nodes_[byAddress_[member.internalAddress]].written;
        const Position stored = disk.pending ? disk.pending->position : disk.position;
        if (disk.control.incarnation != member.incarnation) continue;  // was emptied since
        if (disk.syncedEpoch < view.epoch || stored < acknowledged_)
            fail(fmt::format("node {} left before {} held the state of epoch {}", index, member.name,
                             view.epoch));
    }
}

bool Cluster::whole() const {
    return std::ranges::all_of(nodes_, [&](const Node& node) {
        if (node.gone) return true;
        const bool vouches = node.replica && !node.frozen && node.replica->fresh(now_);
        const std::size_t size = vouches ? node.replica->view().members.size() : 0;
        return vouches && size == options_.nodes;
    });
}

void Cluster::fail(const std::string& text) {
    if (failure_.empty()) failure_ = fmt::format("at {:.1f}: {}", now_, text);
    note("FAILED " + text);
}

void Cluster::note(const std::string& text) {
    trace_.push_back(fmt::format("{:.1f} {}", now_, text));
    if (trace_.size() > kTraceLines) trace_.pop_front();
}

std::string Cluster::trace() const {
    std::string all;
    for (const std::string& line : trace_) all += line + "\n";
    return all;
}

std::string Cluster::describe() const {
    std::string all;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        const Node& node = nodes_[index];
        all += fmt::format("node {} {}", index, node.gone ? "gone" : node.replica ? "up" : "down");
        if (node.replica)
            all += fmt::format(" epoch {} in view {} head {} tail {} writable {} fresh {} at {}",
                               node.replica->view().epoch, node.replica->inView(), node.replica->isHead(),
                               node.replica->isTail(), node.replica->writable(), node.replica->fresh(now_),
                               text(node.replica->committedPosition()));
        all += fmt::format(" disk: epoch {} synced {} at {}{}\n", node.written.control.view.epoch,
                           node.written.syncedEpoch, text(node.written.position),
                           node.written.pending ? " pending " + text(node.written.pending->position) : "");
    }
    return all;
}

}  // namespace beechpoint::replica::simulation
