#include "world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beechpoint::simulation {
namespace {

constexpr std::size_t kTraceLines = 600;
constexpr std::size_t kSmallChunkBytes = 64;  // every other run sends full tables in chunks of a few rows

std::string internalAddressOf(std::size_t member) { return fmt::format("10.0.0.{}:7660", member + 1); }
std::string controlAddressOf(std::size_t member) { return fmt::format("10.0.0.{}:8146", member + 1); }

}  // namespace

World::World(WorldOptions options) : options_(options), network_(options.seed) {
    makeHooks();
    for (std::size_t member = 0; member < options_.members; ++member)
        addMember(fmt::format("zone-{}", member % options_.zones));
    for (std::size_t member = 0; member < options_.members; ++member)
        network_.at(now() + network_.draw(0, 300), [this, member] { start(member, true); });
    gateways_.resize(options_.gateways);
    for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway)
        network_.at(now() + network_.draw(0, 500), [this, gateway] { restartGateway(gateway); });
    for (std::size_t number = 0; number < kOperators; ++number) {
        OperatorProcess::Settings settings;
        settings.number = number;
        settings.reads = number + 1 == kOperators;
        settings.members = [this] {
            std::vector<std::string> addresses;
            for (const std::size_t member : present()) addresses.push_back(controlAddressOf(member));
            return addresses;
        };
        settings.answered = [this](const StoreCall& call, const StoreAnswer& answer, Position shown) {
            onAnswered(call, answer, shown);
        };
        settings.changeConcurrently = [this, number](std::uint64_t version) {
            network_.at(now(), [this, number, version] { operators_[1 - number]->changeAtOnce(version); });
        };
        operators_.push_back(std::make_shared<OperatorProcess>(network_, *this, history_, counters_.operators,
                                                               std::move(settings)));
    }
    checkPeriodically();
}

World::~World() = default;

void World::makeHooks() {
    hooks_.stepped = [this](ControlProcess& process) { onStep(process); };
    hooks_.viewChanged = [this](ControlProcess& process) {
        ++counters_.views;
        lastViewAt_ = now();
        std::string names;
        for (const replica::Member& member : process.replica().view().members) names += " " + member.name;
        traceEvent(fmt::format("{} is in view {}:{}", process.replica().self().name,
                               process.replica().view().epoch, names));
        if (afterView_) network_.at(now() + network_.draw(0, 60), std::exchange(afterView_, nullptr));
    };
    hooks_.sent = [this](const replica::Body& body) {
        if (std::holds_alternative<replica::Prepare>(body)) lastPrepareAt_ = now();
        if (std::holds_alternative<replica::Promise>(body) || std::holds_alternative<replica::Accepted>(body))
            onVote();
    };
    hooks_.wrote = [this] {
        if (afterWrite_) network_.at(now() + network_.draw(0, 25), std::exchange(afterWrite_, nullptr));
    };
}

void World::onVote() {
    lastVoteAt_ = now();
    if (afterVote_) network_.at(now() + network_.draw(0, 12), std::exchange(afterVote_, nullptr));
}

// ---- Members

std::size_t World::addMember(const std::string& zone) {
    const std::size_t index = members_.size();
    auto& member = members_.emplace_back(std::make_unique<Member>(network_));
    member->self.name = fmt::format("core-{}", index);
    member->self.internalAddress = internalAddressOf(index);
    member->self.controlAddress = controlAddressOf(index);
    member->self.zone = zone;
    member->machine = machineOf(index);
    return index;
}

std::vector<std::size_t> World::present() const {
    std::vector<std::size_t> present;
    for (std::size_t member = 0; member < members_.size(); ++member)
        if (!members_[member]->retired) present.push_back(member);
    return present;
}

// A member knows two at least: one that lost its disk and knows itself alone could ask nobody.
std::vector<std::string> World::seeds() const {
    std::vector<std::string> seeds;
    for (const std::size_t member : present())
        if (seeds.size() < std::max<std::size_t>(options_.seeds, 2))
            seeds.push_back(controlAddressOf(member));
    return seeds;
}

std::vector<std::string> World::internalSeeds() const {
    std::vector<std::string> seeds;
    for (const std::size_t member : present())
        if (seeds.size() < options_.seeds) seeds.push_back(internalAddressOf(member));
    return seeds;
}

void World::start(std::size_t index, bool bootstrap) {
    Member& member = *members_[index];
    if (member.process || member.retired) return;
    replica::Settings settings;
    settings.self = member.self;
    settings.seeds = seeds();
    settings.bootstrap = bootstrap;
    if (options_.seed % 2 == 1) settings.syncChunkBytes = kSmallChunkBytes;
    member.powered = true;
    member.shown = {};
    member.contacts.clear();
    member.process = std::make_shared<ControlProcess>(network_, *this, member.disk, hooks_, machineOf(index),
                                                      std::move(settings));
    traceEvent(fmt::format("start {}", index));
    member.process->start();
}

void World::endProcess(std::size_t index) {
    Member& member = *members_[index];
    if (!member.process) return;
    member.process->end();
    // It may be deep in a step of its own.
    network_.at(now(), [process = std::move(member.process)] {});
    member.process = nullptr;
    member.disk.endProcess();
}

void World::kill(std::size_t index) {
    traceEvent(fmt::format("kill {}", index));
    endProcess(index);
}

void World::losePower(std::size_t index) {
    traceEvent(fmt::format("power loss {}", index));
    members_[index]->powered = false;
    endProcess(index);
    members_[index]->disk.losePower();
}

void World::eraseDisk(std::size_t index) {
    losePower(index);
    traceEvent(fmt::format("erase disk {}", index));
    members_[index]->disk.eraseDisk();
}

void World::retire(std::size_t index) {
    kill(index);
    members_[index]->retired = true;
    members_[index]->powered = false;
}

void World::freeze(std::size_t index) {
    traceEvent(fmt::format("freeze {}", index));
    if (up(index)) members_[index]->process->freeze();
}

void World::thaw(std::size_t index) {
    if (!up(index) || !members_[index]->process->frozen()) return;
    traceEvent(fmt::format("thaw {}", index));
    const auto process = members_[index]->process;
    process->thaw();
    noteContacts();
}

std::optional<std::size_t> World::head() const {
    for (const std::size_t member : present())
        if (up(member) && replica(member).isInView() && replica(member).isHead() &&
            replica(member).isWritable())
            return member;
    return std::nullopt;
}

// ---- Gateways and operators

void World::stopGateway(std::size_t index) {
    Gateway& gateway = gateways_[index];
    if (!gateway.process) return;
    gateway.process->end();
    // As for a member: the process may be the one that is running now.
    network_.at(now(), [process = std::move(gateway.process)] {});
    gateway.process = nullptr;
    gateway.shown = {};
}

void World::restartGateway(std::size_t index) {
    Gateway& gateway = gateways_[index];
    if (gateway.process) gateway.process->end();
    gateway.shown = {};
    gateway.startedAt = gateway.reachesSince = now();
    const std::vector<std::string> seeds = internalSeeds();
    gateway.seeds = {seeds.begin(), seeds.end()};
    gateway.process = std::make_shared<GatewayProcess>(
        network_, *this, gatewayMachine(index), fmt::format("gateway-{}", index), seeds,
        [this](GatewayProcess& process) { onGatewayTableChanged(process); });
    gateway.process->start();
}

void World::startOperators() {
    for (const auto& each : operators_) each->start();
}
void World::stopOperators() {
    for (const auto& each : operators_) each->stop();
}
bool World::operatorsIdle() const {
    return std::ranges::all_of(operators_, [](const auto& each) { return each->idle(); });
}

// ---- Transport

World::Member* World::memberAt(const std::string& address) {
    for (const auto& member : members_)
        if (member->self.internalAddress == address || member->self.controlAddress == address)
            return member.get();
    return nullptr;
}

void World::sendReplicaMessage(const Process& from, const std::string& address,
                               const replica::Message& message) {
    Member* member = memberAt(address);
    if (!member || network_.chance(network_.faults().loss)) return;
    network_.send(from.machine(), member->machine, [member, message] {
        if (!member->process) return;
        const auto process = member->process;
        process->enter([raw = process.get(), message] { raw->onReplicaMessage(message); });
    });
}

void World::call(Process& from, const std::string& address, std::string bytes, Millis timeout,
                 std::function<void(Bytes)> done) {
    Member* member = memberAt(address);
    if (!member) return;
    const Machine here = from.machine(), there = member->machine;
    const auto over = std::make_shared<bool>(false);
    const auto end = [weak = from.weak_from_this(), over, done = std::move(done)](Bytes answer) {
        const auto process = weak.lock();
        if (!process) return;
        process->enter([over, done, answer = std::move(answer)] {
            if (!std::exchange(*over, true)) done(answer);
        });
    };
    network_.at(now() + timeout, [end] { end(std::nullopt); });
    const auto back = [this, here, there, end](Bytes answer) {
        network_.send(there, here, [end, answer = std::move(answer)] { end(answer); });
    };
    network_.send(here, there, [this, member, back, bytes = std::move(bytes)] {
        if (!member->process) {
            if (member->powered) back(std::nullopt);  // refused
            return;
        }
        const auto process = member->process;
        process->enter([this, raw = process.get(), back, bytes] {
            raw->onCall(bytes, [this, raw, back](const std::string& answer) {
                onPollAnswer(*raw, answer);
                if (!network_.chance(network_.faults().lostAnswers)) return back(answer);
                ++counters_.lostAnswers;
            });
        });
    });
}

void World::callOperators(Process& from, const std::string& address, OperatorRequest request, Millis timeout,
                          std::function<void(std::optional<OperatorAnswer>, bool)> done) {
    Member* member = memberAt(address);
    if (!member) {
        done(std::nullopt, false);
        return;
    }
    const Machine client = from.machine();
    const std::uint64_t id = ++callId_;
    const auto over = std::make_shared<bool>(false);
    const EndOperatorCall end = [weak = from.weak_from_this(), over, done = std::move(done)](
                                    const std::optional<OperatorAnswer>& answer, bool sent) {
        const auto process = weak.lock();
        if (!process || *over) return;
        *over = true;
        done(answer, sent);
    };
    network_.at(now() + timeout, [this, member, end, over, client, id] {
        if (*over) return;
        end(std::nullopt, true);
        closeOperatorConnection(client, *member, id);
    });
    network_.send(client, member->machine, [this, member, client, id, end, request = std::move(request)] {
        deliverOperatorCall(*member, client, id, request, end);
    });
}

void World::closeOperatorConnection(Machine client, Member& member, std::uint64_t id) {
    network_.send(client, member.machine, [&member, id] {
        const auto process = member.process;
        if (process) process->enter([raw = process.get(), id] { raw->onOperatorDisconnected(id); });
    });
}

void World::deliverOperatorCall(Member& member, Machine client, std::uint64_t id,
                                const OperatorRequest& request, const EndOperatorCall& end) {
    const Machine server = member.machine;
    if (!member.process) {
        if (member.powered) network_.send(server, client, [end] { end(std::nullopt, false); });  // refused
        return;
    }
    const auto process = member.process;
    process->enter([this, raw = process.get(), client, server, id, end, request] {
        raw->onOperatorCall(id, request, [this, client, server, end](const OperatorAnswer& answer) {
            sendOperatorAnswer(server, client, answer, end);
        });
    });
}

void World::sendOperatorAnswer(Machine server, Machine client, const OperatorAnswer& answer,
                               const EndOperatorCall& end) {
    const bool lost = network_.chance(network_.faults().lostAnswers);
    if (lost) ++counters_.lostAnswers;
    if (lost && network_.chance(0.5)) return;  // nothing comes; else the connection is reset
    network_.send(server, client, [end, answer, lost] {
        if (lost)
            end(std::nullopt, true);
        else
            end(answer, true);
    });
}

// ---- States

bool World::allMembersFresh() const {
    const std::vector<std::size_t> all = present();
    return std::ranges::all_of(all, [&](std::size_t member) {
        return up(member) && !members_[member]->process->frozen() && replica(member).isFresh(now()) &&
               replica(member).view().members.size() == all.size();
    });
}

void World::countFault(const std::string& kind) {
    FaultCoincidences& coincidences = counters_.faults[kind];
    bool write = false, stateTransfer = false;
    for (const auto& member : members_) {
        if (!member->process) continue;
        const replica::Replica& replica = member->process->replica();
        write = write || member->process->writeInFlight();
        stateTransfer =
            stateTransfer || (replica.isInView() && !replica.updateSince(replica.committedPosition()));
    }
    ++coincidences.faults;
    if (now() - lastVoteAt_ < 20) ++coincidences.vote;
    if (lastPrepareAt_ > lastViewAt_ && now() - lastPrepareAt_ < 1'500) ++coincidences.viewChange;
    if (write) ++coincidences.write;
    if (stateTransfer) ++coincidences.stateTransfer;
    traceEvent("fault: " + kind);
}

// ---- Findings

void World::fail(const std::string& text) {
    traceEvent("FAILED " + text);
    if (failure_.empty()) failure_ = fmt::format("at {:.1f}: {}", now(), text);
    network_.stop();
}

void World::traceEvent(const std::string& text) {
    trace_.push_back(fmt::format("{:.1f} {}", now(), text));
    if (trace_.size() > kTraceLines) trace_.pop_front();
}

std::string World::trace() const {
    std::string all;
    for (const std::string& line : trace_) all += line + "\n";
    return all;
}

}  // namespace beechpoint::simulation
