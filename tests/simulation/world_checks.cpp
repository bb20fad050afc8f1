// What must hold in every run.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <vector>

#include "control_messages/codec.hpp"
#include "replica/settings.hpp"
#include "world.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kCheckEvery = 50;
// A member that is fresh holds all that was acknowledged so long ago.
constexpr Millis kFreshLag = 1'300;
// A gateway that reaches a majority of fresh members has what was acknowledged so long ago: a poll that it sent while it was partitioned off
// may have to time out (2.4 s at most for a member that has not answered yet, 1.5 s for one that holds it), with the backoff between.
constexpr Millis kPropagationBound = 4'000;

constexpr std::size_t kShownCalls = 24;  // of a history that is not linearizable

std::string text(const StoreOperation& operation) {
    static constexpr std::array<const char*, 5> kKinds{"GET", "PUT", "PATCH", "POST", "DELETE"};
    static constexpr std::array<const char*, 3> kAnswers{"done", "conflict", "invalid"};
    const StoreCall& call = operation.call;
    std::string line =
        fmt::format("{:.1f} {}", operation.invokedAt, kKinds.at(static_cast<std::size_t>(call.kind)));
    if (call.versioned()) {
        line += fmt::format(" on {} to {} value {}", call.ifMatch, call.revision, call.document[call.item]);
        if (call.kind == StoreCallKind::patch) line += fmt::format(" at {}", call.item);
    } else if (call.changes()) {
        line += " " + zoneName(call.zone);
    }
    if (!operation.answer) return line + " -> unknown";
    const StoreAnswer& answer = *operation.answer;
    line += fmt::format(" -> {:.1f} {} {}", operation.returnedAt,
                        kAnswers.at(static_cast<std::size_t>(answer.kind)), answer.revision);
    if (answer.document) line += fmt::format(" [{}]", fmt::join(*answer.document, " "));
    if (answer.evacuated) line += fmt::format(" zones {:b}", *answer.evacuated);
    return line;
}

std::string text(Position position) { return fmt::format("{}.{}", position.epoch, position.sequence); }

}  // namespace

// ---- Members

World::Member& World::memberOf(const ControlProcess& process) {
    return *members_[process.machine() - kFirstMember];
}

void World::onStep(ControlProcess& process) {
    if (failed()) return;
    Member& member = memberOf(process);
    if (member.process.get() != &process) return;
    const Position position = process.replica().committedPosition();
    if (position < member.shown)
        fail(fmt::format("{} went back from {} to {}", member.self.name, text(member.shown), text(position)));
    if (position != member.shown)
        checkState(member.self.name, position, observedState(process.replica().committedTable()));
    member.shown = position;
    checkContact(member);
    checkFresh(member);
}

// One history: at each sequence one position and one state, whoever holds it.
void World::checkState(const std::string& who, Position position, const ObservedState& state) {
    const auto [entry, added] = committed_.try_emplace(position.sequence, CommittedState{position, state});
    if (added) return;
    if (entry->second.position != position || entry->second.state != state)
        fail(fmt::format("{} shows {} {} where {} {} was committed", who, text(position),
                         simulation::text(state), text(entry->second.position),
                         simulation::text(entry->second.state)));
}

bool World::reachEachOther(const Member& one, const Member& other) const {
    return other.process && !other.process->frozen() && network_.linkedBothWays(one.machine, other.machine);
}

void World::noteContact(Member& member) {
    std::set<DiskId> reached;
    for (const auto& other : members_) {
        if (other.get() != &member && !reachEachOther(member, *other)) continue;
        const replica::Member& self = other->process->replica().self();
        reached.insert({self.name, self.incarnation});
    }
    for (auto& [disk, contact] : member.contacts)
        if (contact.isHeld && !reached.contains(disk)) contact = {false, now()};
    for (const DiskId& disk : reached) member.contacts[disk].isHeld = true;
}

void World::noteContacts() {
    for (const auto& member : members_)
        if (member->process && !member->process->frozen()) noteContact(*member);
}

// The shortest time within which each voter of some majority could answer it. A voter that has not promised to a later view at one time
// had not done so before, so contacts at different times are a proof together: no later view was decided before the first of them.
Millis World::contactAge(const Member& member) const {
    const replica::View& view = member.process->replica().view();
    std::vector<Millis> ages;
    for (const replica::Member& voter : view.effectiveVoters()) {
        const auto contact = member.contacts.find({voter.name, voter.incarnation});
        if (contact == member.contacts.end()) continue;
        ages.push_back(contact->second.isHeld ? 0 : now() - contact->second.lostAt);
    }
    if (ages.size() < view.majority()) return std::numeric_limits<Millis>::infinity();
    std::ranges::sort(ages);
    return ages[view.majority() - 1];
}

// Without contact to a majority for longer than its bound it is not fresh.
void World::checkContact(Member& member) {
    if (!member.process || member.process->frozen()) return;
    noteContact(member);
    const Millis age = contactAge(member);
    if (age > replica::kFreshDuration && member.process->replica().isFresh(now()))
        fail(
            fmt::format("{} claims freshness for its table {:.0f} ms after it lost contact with the majority",
                        member.self.name, age));
}

void World::checkFresh(const Member& member) {
    if (!member.process->replica().isFresh(now())) return;
    const auto late = std::find_if(acknowledged_.rbegin(), acknowledged_.rend(),
                                   [&](const Acknowledged& each) { return each.at < now() - kFreshLag; });
    if (late != acknowledged_.rend() && late->position > member.shown)
        fail(fmt::format("{} claims freshness for {} though {} was acknowledged long ago", member.self.name,
                         text(member.shown), text(late->position)));
}

void World::onPollAnswer(ControlProcess& process, const std::string& bytes) {
    const auto reply = control::decodePollReply(bytes);
    if (!reply || failed()) return;
    if (reply.value().status != control::PollStatus::ok) {
        ++counters_.rejectedPolls;
        return;
    }
    ++counters_.polls;
    Member& member = memberOf(process);
    if (member.process.get() != &process) return;
    checkContact(member);
    if (contactAge(member) > replica::kFreshDuration)
        fail(fmt::format("{} answered a poll though it is partitioned off", member.self.name));
}

// ---- Gateways

void World::onGatewayTableChanged(GatewayProcess& process) {
    Gateway& gateway = gateways_[process.machine() - kFirstGateway];
    if (failed() || gateway.process.get() != &process) return;
    if (process.position() <= gateway.shown)
        fail(fmt::format("{} went back from {} to {}", process.name(), text(gateway.shown),
                         text(process.position())));
    if (gateway.shown == Position{})
        counters_.slowestFirstTable = std::max(counters_.slowestFirstTable, now() - gateway.startedAt);
    gateway.shown = process.position();
    if (process.table().unreadableCount() != 0) fail(process.name() + " can't read its table");
    if (!committed_.contains(process.position().sequence))
        fail(fmt::format("{} holds {} that no member committed", process.name(), text(process.position())));
    checkState(process.name(), process.position(), observedState(process.table()));
}

bool World::reachesMajority(const Gateway& gateway) const {
    const Machine here = gateway.process->machine();
    std::size_t reached = 0, needed = 0;
    std::uint64_t newest = 0;
    for (const auto& member : members_) {
        if (!member->process || member->process->frozen()) continue;
        const replica::Replica& replica = member->process->replica();
        if (replica.view().epoch > newest) {
            newest = replica.view().epoch;
            needed = replica.view().majority();
        }
        const bool known =
            gateway.shown != Position{} || gateway.seeds.contains(member->self.internalAddress);
        if (known && replica.isFresh(now()) && network_.linkedBothWays(here, member->machine)) ++reached;
    }
    // Before its first answer it knows its seeds alone: one of them that is fresh is enough.
    if (gateway.shown == Position{}) return reached > 0;
    return needed != 0 && reached >= needed;
}

void World::checkPropagation(Gateway& gateway) {
    if (!gateway.process) return;
    if (!reachesMajority(gateway)) {
        gateway.reachesSince = now();
        return;
    }
    const auto missing =
        std::ranges::upper_bound(acknowledged_, gateway.shown, std::less<>{}, &Acknowledged::position);
    if (missing == acknowledged_.end()) return;
    const Millis late = now() - std::max(missing->at, gateway.reachesSince);
    ++counters_.propagations;
    counters_.slowestPropagation = std::max(counters_.slowestPropagation, late);
    if (late > kPropagationBound)
        fail(fmt::format("{} has {} {:.0f} ms after {} was acknowledged, in reach of a majority",
                         gateway.process->name(), text(gateway.shown), late, text(missing->position)));
}

void World::checkPeriodically() {
    if (failed()) return;
    for (const auto& member : members_) checkContact(*member);
    for (Gateway& gateway : gateways_) checkPropagation(gateway);
    // What all gateways have is not needed any more, but for the newest.
    while (acknowledged_.size() > 1 && acknowledged_.front().at < now() - 60'000) acknowledged_.pop_front();
    network_.at(now() + kCheckEvery, [this] { checkPeriodically(); });
}

// ---- Operators

void World::onAnswered(const StoreCall& call, const StoreAnswer& answer, Position shown) {
    traceEvent(fmt::format("answered: kind {} on {} to {} zone {}: {} {}", static_cast<int>(call.kind),
                           call.ifMatch, call.revision, call.zone, static_cast<int>(answer.kind),
                           answer.revision));
    if (!call.changes() || answer.kind != StoreAnswerKind::done) return;
    if (shown > newestAcknowledged_) {
        newestAcknowledged_ = shown;
        acknowledged_.push_back({now(), shown});
    }
    if (afterAcknowledgement_) network_.at(now(), std::exchange(afterAcknowledgement_, nullptr));
}

// ---- At the end

void World::checkAtEnd() {
    if (!failed()) checkFinalState();
    if (!failed()) checkRefusedAreAbsent();
    if (!failed()) checkHistory();
}

// What is durable is read back: the newest state of the one history, on every member and gateway.
void World::checkFinalState() {
    if (committed_.empty()) return fail("nothing was committed");
    const CommittedState& newest = committed_.rbegin()->second;
    if (newest.position < newestAcknowledged_) fail("an acknowledged change is missing in the end");
    for (const std::size_t member : present())
        if (up(member) && observedState(replica(member).committedTable()) != newest.state)
            fail(fmt::format("{} ends with another state", members_[member]->self.name));
    for (const Gateway& gateway : gateways_)
        if (observedState(gateway.process->table()) != newest.state)
            fail(fmt::format("{} ends with another table", gateway.process->name()));
    StoreCall call;
    StoreAnswer answer{StoreAnswerKind::done, newest.state.revision, newest.state.document,
                       newest.state.evacuated};
    history_.end(history_.begin(call, now()), answer, now() + 1);
}

// No state was ever in force, here or at a gateway, that only a refused call would have brought.
void World::checkRefusedAreAbsent() {
    std::set<std::pair<std::uint64_t, std::uint32_t>> refused, possible;
    for (std::size_t index = 0; index < history_.all().size(); ++index) {
        const StoreOperation& operation = history_.all()[index];
        if (!operation.call.versioned()) continue;
        const bool no =
            history_.dropped(index) || (operation.answer && operation.answer->kind != StoreAnswerKind::done);
        (no ? refused : possible)
            .insert({operation.call.revision, operation.call.document[operation.call.item]});
    }
    for (const auto& [sequence, committed] : committed_) {
        for (const std::uint32_t value : committed.state.document) {
            const std::pair<std::uint64_t, std::uint32_t> shown{committed.state.revision, value};
            if (refused.contains(shown) && !possible.contains(shown))
                return fail(fmt::format("{} holds value {} of a call that was refused",
                                        simulation::text(committed.state), value));
        }
    }
}

void World::checkHistory() {
    const StoreSpecification specification;
    const std::vector<StoreOperation> operations = history_.operations();
    const LinearizabilityResult result =
        LinearizabilityChecker(specification, operations).check(StoreState{});
    if (result.verdict == Verdict::linearizable) return;
    std::string calls;
    const std::size_t first = result.operation < kShownCalls ? 0 : result.operation - kShownCalls;
    for (std::size_t index = 0; index <= result.operation; ++index)
        if (index >= first || !operations[index].answer ||
            operations[index].returnedAt >= operations[first].invokedAt)
            calls += "\n  " + text(operations[index]);
    fail(fmt::format("the history is {} at the end of the last of these calls; {} configurations{}",
                     result.verdict == Verdict::undecided ? "undecided" : "not linearizable",
                     result.configurations, calls));
}

}  // namespace beechpoint::simulation
