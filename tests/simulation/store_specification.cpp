#include "store_specification.hpp"

#include <algorithm>

namespace beechpoint::simulation {
namespace {

using Answer = std::optional<StoreAnswer>;

// Without an answer any would do.
bool fits(const Answer& answer, StoreAnswerKind kind) { return !answer || answer->kind == kind; }

bool isDoneUnder(const Answer& answer, std::uint64_t revision) {
    return fits(answer, StoreAnswerKind::done) && (!answer || answer->revision == revision);
}

std::optional<std::uint64_t> appliedRevision(const StoreState& state, const StoreCall& call) {
    if (call.identity == 0) return std::nullopt;
    for (const auto& [identity, revision] : state.applied)
        if (identity == call.identity) return revision;
    return std::nullopt;
}

std::optional<StoreState> unchangedIf(bool possible, const StoreState& state) {
    return possible ? std::optional(state) : std::nullopt;
}

bool shows(const StoreAnswer& answer, const StoreState& state) {
    if (answer.kind != StoreAnswerKind::done || answer.revision != state.revision) return false;
    if (answer.document && *answer.document != state.document) return false;
    return !answer.evacuated || *answer.evacuated == state.evacuated;
}

}  // namespace

std::size_t StoreSpecification::hash(const State& state) const {
    std::size_t hash = state.revision * 1'000'003 ^ state.evacuated;
    for (const std::uint32_t value : state.document) hash = hash * 1'099'511'628'211ULL ^ value;
    return hash * 31 + state.applied.size();
}

std::optional<StoreState> StoreSpecification::step(const State& state, const Call& call,
                                                   const std::optional<Answer>& answer) const {
    if (call.versioned()) return change(state, call, answer);
    if (call.changes()) return evacuate(state, call, answer);
    return unchangedIf(!answer || shows(*answer, state), state);
}

std::optional<StoreState> StoreSpecification::change(const State& state, const Call& call,
                                                     const std::optional<Answer>& answer) const {
    if (const auto revision = appliedRevision(state, call))
        return unchangedIf(isDoneUnder(answer, *revision), state);
    if (call.ifMatch != state.revision) return unchangedIf(fits(answer, StoreAnswerKind::conflict), state);
    if (call.revision <= state.revision) return unchangedIf(fits(answer, StoreAnswerKind::invalid), state);
    if (!isDoneUnder(answer, call.revision)) return std::nullopt;
    State after = state;
    after.revision = call.revision;
    if (call.kind == StoreCallKind::put)
        after.document = call.document;
    else
        after.document[call.item] = call.document[call.item];
    if (call.identity != 0) after.applied.push_back({call.identity, call.revision});
    return after;
}

std::optional<StoreState> StoreSpecification::evacuate(const State& state, const Call& call,
                                                       const std::optional<Answer>& answer) const {
    // The answer names the version in force as it was given, perhaps to a later sending of the call.
    if (answer && (answer->kind != StoreAnswerKind::done || answer->revision < state.revision))
        return std::nullopt;
    State after = state;
    const std::uint32_t bit = std::uint32_t{1} << call.zone;
    if (call.kind == StoreCallKind::evacuate)
        after.evacuated |= bit;
    else
        after.evacuated &= ~bit;
    return after;
}

// Revisions only grow, so that a call on an older version is refused from then on.
bool StoreSpecification::cannotTakeEffect(const State& state, const Call& call) const {
    if (!call.changes()) return true;
    return call.versioned() && (call.ifMatch < state.revision || appliedRevision(state, call));
}

}  // namespace beechpoint::simulation
