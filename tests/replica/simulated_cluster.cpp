#include "simulated_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "position_text.hpp"

namespace beechpoint::replica::simulation {

namespace {

constexpr std::size_t kTraceLines = 400;

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(options), random_(options.seed * 7919 + 17) {
    for (std::size_t index = 0; index < options_.nodes; ++index) {
        Node& node = nodes_.emplace_back();
        node.member.name = fmt::format("core-{}", index);
        node.member.internalAddress = fmt::format("10.0.0.{}:7660", index + 1);
        node.member.controlAddress = fmt::format("10.0.0.{}:8146", index + 1);
        node.member.zone = fmt::format("zone-{}", index % options_.zones);
        node.member.countsAsLoss = !options_.uncounted.contains(index);
        byAddress_[node.member.internalAddress] = index;
    }
    for (Node& node : nodes_)
        for (std::size_t seed = 0; seed < std::min(options_.seeds, options_.nodes); ++seed)
            node.seeds.push_back(nodes_[seed].member.controlAddress);
    for (std::size_t index = 0; index < options_.nodes; ++index)
        at(now_ + draw(0, options_.startSpread), [this, index] { start(index, true); });
    checkAvailability();
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

std::size_t Cluster::drawNode() {
    for (;;) {
        const std::size_t node = random_.below(nodes());
        if (!gone(node)) return node;
    }
}

namespace {

constexpr std::size_t kSmallChunkBytes =
    16;  // every other run sends full tables in chunks of one or two rows

}  // namespace

void Cluster::start(std::size_t index, bool bootstrap) {
    Node& node = nodes_[index];
    if (node.replica || node.gone) return;
    Settings settings;
    settings.self = node.member;
    if (!bootstrap) node.seeds = currentSeeds();  // a process starts with the current settings
    settings.seeds = node.seeds;
    settings.bootstrap = bootstrap;
    settings.tolerance = options_.tolerance;
    if (options_.fullTableDelay == 0 && options_.seed % 2 == 1) settings.syncChunkBytes = kSmallChunkBytes;
    ++node.session;
    node.lastShown = Position{};
    checkDisk(index);
    node.replica = std::make_unique<Replica>(settings, node.written, random_.bits(), now_);
    recordFault(fmt::format("start {}", index));
    deliver(index, Tick{});
}

void Cluster::endProcess(std::size_t index) {
    Node& node = nodes_[index];
    node.replica.reset();
    node.frozen = node.leaving = false;
    node.waiting.clear();
    // The update in flight to the disk may or may not have been stored.
    if (!node.persists.empty() && node.diskBusy && !node.diskFails && random_() < 0.5) {
        apply(node.persists.front().update, node.written);
        if (node.persists.front().update.force && random_() < 0.5) node.synced = node.written;
    }
    node.persists.clear();
    node.diskBusy = false;
    ++node.diskOrder;
    ++node.session;
}

void Cluster::kill(std::size_t index) {
    if (!up(index)) return;
    recordFault(fmt::format("kill {}", index));
    endProcess(index);
}

void Cluster::losePower(std::size_t index) {
    if (!up(index)) return;
    recordFault(fmt::format("power {}", index));
    endProcess(index);
    Node& node = nodes_[index];
    if (random_() < 0.7)
        node.written = node.synced;
    else
        node.synced = node.written;
}

void Cluster::leave(std::size_t index, Millis most) {
    if (!up(index) || leaving(index)) return;
    recordFault(fmt::format("leave {}", index));
    nodes_[index].leaving = true;
    at(now_ + most, [this, index, session = nodes_[index].session] {
        if (nodes_[index].session == session) kill(index);
    });
    deliver(index, Leave{});
}

void Cluster::wipe(std::size_t index) {
    Node& node = nodes_[index];
    if (node.replica) return;
    recordFault(fmt::format("wipe {}", index));
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
    recordFault(fmt::format("replacement {} for {}", added, index));
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
    recordFault(fmt::format("freeze {}", index));
    nodes_[index].frozen = true;
}

void Cluster::thaw(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.replica || !node.frozen) return;
    recordFault(fmt::format("thaw {}", index));
    node.frozen = false;
    std::deque<Event> waiting = std::exchange(node.waiting, {});
    const std::uint64_t session = node.session;
    checkNode(index);  // its answers before it has handled any event
    for (Event& event : waiting)
        if (nodes_[index].session == session) deliver(index, std::move(event));
    if (nodes_[index].session == session && up(index)) deliver(index, Tick{});
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
    const std::uint64_t session = nodes_[index].session;
    for (const Action& action : actions) {
        if (nodes_[index].session != session) return;  // a fault occurred at this step
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
            record(fmt::format("node {} view {} start {} :{}", index, changed->view.epoch,
                               text(changed->view.start), names));
        }
        if (const auto* log = std::get_if<Log>(&action)) record(fmt::format("node {} {}", index, log->text));
    }
}

void Cluster::armTimer(std::size_t index, Millis time) {
    nodes_[index].timer = time;
    at(time, [this, index, time, session = nodes_[index].session] {
        if (nodes_[index].session == session && nodes_[index].timer == time) deliver(index, Tick{});
    });
}

// ---- State and findings

bool Cluster::isComplete() const {
    return std::ranges::all_of(nodes_, [&](const Node& node) {
        if (node.gone) return true;
        if (!node.replica || node.frozen || !node.replica->isFresh(now_)) return false;
        return node.replica->view().members.size() == options_.nodes;
    });
}

void Cluster::fail(const std::string& text) {
    if (failure_.empty()) failure_ = fmt::format("at {:.1f}: {}", now_, text);
    record("FAILED " + text);
}

void Cluster::recordFault(const std::string& text) {
    record(text);
    resetAvailability();
}

void Cluster::record(const std::string& text) {
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
                               node.replica->view().epoch, node.replica->isInView(), node.replica->isHead(),
                               node.replica->isTail(), node.replica->isWritable(),
                               node.replica->isFresh(now_), text(node.replica->committedPosition()));
        all += fmt::format(" disk: epoch {} synced {} at {}{}\n", node.written.control.view.epoch,
                           node.written.syncedEpoch, text(node.written.position),
                           node.written.pending ? " pending " + text(node.written.pending->position) : "");
    }
    return all;
}

}  // namespace beechpoint::replica::simulation
