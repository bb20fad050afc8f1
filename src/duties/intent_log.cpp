#include "duties/intent_log.hpp"

#include <algorithm>
#include <utility>

#include "configuration/table_ranges.hpp"

namespace beechpoint::duties {
namespace {

std::size_t retentionLimit(const Subject& subject) {
    return subject.duty == Duty::usage ? kRetainedUsageIntents : kRetainedScalingIntents;
}

// Removes the oldest intents so that one more can be added within the retention limit.
void removeOldest(const Subject& subject, const std::vector<Intent>& intents, std::vector<Change>& changes) {
    const std::size_t retained = retentionLimit(subject) - 1;
    for (std::size_t index = 0; index + retained < intents.size(); ++index)
        changes.push_back({intentKey(subject, intents[index].number), std::nullopt});
}

}  // namespace

ProposalDecision decide(const Table& table, const Proposal& proposal, std::uint64_t epoch) {
    if (proposal.token != epoch) return {ProposalOutcome::stale, {}, {}};
    if (auto existing = findIntent(table, proposal.subject, proposal.number))
        return {ProposalOutcome::recorded, std::move(*existing), {}};
    const std::vector<Intent> intents = intentsOf(table, proposal.subject);
    if (!intents.empty() && proposal.number <= intents.back().number)
        return {ProposalOutcome::superseded, {}, {}};
    if (proposal.body.size() > kMaxBodyBytes) return {ProposalOutcome::tooLarge, {}, {}};
    ProposalDecision decision;
    decision.outcome = ProposalOutcome::accepted;
    const Intent intent{proposal.number, proposal.token, proposal.holder, IntentState::open, proposal.body};
    removeOldest(proposal.subject, intents, decision.changes);
    decision.changes.push_back({intentKey(proposal.subject, proposal.number), formatIntent(intent)});
    // Read the intent back as a successor would: invalid UTF-8 is replaced when it is encoded.
    Table after;
    beechpoint::apply(decision.changes, after);
    if (auto recorded = findIntent(after, proposal.subject, proposal.number))
        decision.intent = std::move(*recorded);
    return decision;
}

std::vector<Change> settle(const Table& table, const Settlement& settlement) {
    auto intent = findIntent(table, settlement.subject, settlement.number);
    if (!intent || intent->state != IntentState::open || settlement.state == IntentState::open) return {};
    intent->state = settlement.state;
    intent->body.clear();
    return {{intentKey(settlement.subject, settlement.number), formatIntent(*intent)}};
}

std::optional<Intent> findIntent(const Table& table, const Subject& subject, std::uint64_t number) {
    const std::string key = intentKey(subject, number);
    const auto found = table.find(key);
    if (found == table.end()) return std::nullopt;
    return parseIntent(std::string_view{key}.substr(intentPrefix(subject).size()), found->second);
}

std::vector<Intent> intentsOf(const Table& table, const Subject& subject) {
    std::vector<Intent> intents;
    configuration::eachWithPrefix(table, intentPrefix(subject),
                                  [&intents](std::string_view number, std::string_view value) {
                                      if (auto intent = parseIntent(number, value))
                                          intents.push_back(std::move(*intent));
                                  });
    return intents;
}

}  // namespace beechpoint::duties
