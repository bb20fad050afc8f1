/// The intents in the replicated table, and how the head of the replication chain decides on a holder's proposals. Pure functions of the
/// committed table; accepted proposals yield a batch of changes to it.
///
/// Invariant: the body of a number of a subject never changes. The head commits one batch at a time, each on top of all previous batches, so the
/// first proposal of a number wins, and later proposals of it receive the recorded body.
///
///   proposal                                        | outcome
///   the token is not the epoch of the head's view   | stale
///   the number is recorded                          | recorded, with the intent in the table
///   the number is not above the newest recorded one | superseded
///   the body is longer than kMaxBodyBytes           | tooLarge
///   else                                            | accepted; the subject's intents beyond the newest kRetained are removed
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/replicated_table.hpp"
#include "duties/intent.hpp"

namespace beechpoint::duties {

inline constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
/// Number of intents that the table keeps per subject.
inline constexpr std::size_t kRetainedUsageIntents = 24;
inline constexpr std::size_t kRetainedScalingIntents = 2;

/// A holder's request to record an intent.
struct Proposal {
    Subject subject;
    std::uint64_t number = 0;
    std::uint64_t token = 0;  ///< epoch of the view that made the sender the holder
    std::string holder;
    std::string body;
};

/// The final outcome of a holder's call.
struct Settlement {
    Subject subject;
    std::uint64_t number = 0;
    IntentState state = IntentState::done;  ///< not open
};

enum class ProposalOutcome { accepted, recorded, superseded, stale, tooLarge };

struct ProposalDecision {
    ProposalOutcome outcome = ProposalOutcome::stale;
    Intent intent;                ///< if accepted or recorded: the intent in the table after the changes
    std::vector<Change> changes;  ///< if accepted: must be committed before the call is sent
};

/// @param epoch of the view in which the head would commit the changes
[[nodiscard]] ProposalDecision decide(const Table& table, const Proposal& proposal, std::uint64_t epoch);

/// The changes that record the settlement; none if the intent is no longer open.
[[nodiscard]] std::vector<Change> settle(const Table& table, const Settlement& settlement);

[[nodiscard]] std::optional<Intent> findIntent(const Table& table, const Subject& subject,
                                               std::uint64_t number);
/// The subject's intents in ascending order of number. Malformed records are skipped.
[[nodiscard]] std::vector<Intent> intentsOf(const Table& table, const Subject& subject);

}  // namespace beechpoint::duties
