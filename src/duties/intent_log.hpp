/// The intents in the replicated table, and what the head of the chain makes of a holder's proposals. Pure functions of the committed table; what
/// they accept is a batch for it.
///
/// Invariant: a subject has one body for a number for good. The head commits one batch at a time, on the table of all batches before, so that
/// the first proposal of a number wins; every later one is told the body that is recorded.
///
///   proposal                                        | outcome
///   its token is not the epoch of the head's view   | stale
///   the number is recorded                          | recorded, with what the table has
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
/// Intents of a subject that the table keeps.
inline constexpr std::size_t kRetainedUsageIntents = 24;
inline constexpr std::size_t kRetainedScalingIntents = 2;

/// A holder wants to make a call.
struct Proposal {
    Subject subject;
    std::uint64_t number = 0;
    std::uint64_t token = 0;  ///< epoch of the view that made the sender the holder
    std::string holder;
    std::string body;
};

/// A holder's call was answered for good.
struct Settlement {
    Subject subject;
    std::uint64_t number = 0;
    IntentState state = IntentState::done;  ///< not open
};

enum class ProposalOutcome { accepted, recorded, superseded, stale, tooLarge };

struct ProposalDecision {
    ProposalOutcome outcome = ProposalOutcome::stale;
    Intent intent;                ///< where accepted or recorded: what stands in the table, after the changes
    std::vector<Change> changes;  ///< where accepted: to be committed before the intent counts
};

/// @param epoch of the view under which the head would commit the changes
[[nodiscard]] ProposalDecision decide(const Table& table, const Proposal& proposal, std::uint64_t epoch);

/// The changes that record the settlement; none where the intent is not open any more.
[[nodiscard]] std::vector<Change> settle(const Table& table, const Settlement& settlement);

[[nodiscard]] std::optional<Intent> findIntent(const Table& table, const Subject& subject,
                                               std::uint64_t number);
/// The subject's intents, by rising number. Records that can't be read are left out.
[[nodiscard]] std::vector<Intent> intentsOf(const Table& table, const Subject& subject);

}  // namespace beechpoint::duties
