/// An intent: a call to the platform that is recorded in the replicated table before it is sent, so that the next holder of the duty completes
/// it with the same body. Value types and their encoding in the table.
///
///   key    duty/SUBJECT/NUMBER   SUBJECT is keyOf(), NUMBER is zero-padded to kNumberDigits digits
///   value  {"state":"open","token":12,"holder":"core-1","body":"..."}; the body is present only while open
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "duties/subject.hpp"

namespace beechpoint::duties {

inline constexpr std::string_view kDutyPrefix = "duty/";
inline constexpr int kNumberDigits = 20;

enum class IntentState {
    open,     ///< sent and retried until the platform has accepted or rejected it
    done,     ///< the platform accepted it
    refused,  ///< the platform rejected it permanently
};

struct Intent {
    std::uint64_t number = 0;  ///< increases within a subject: a report's window, or the count of an order
    std::uint64_t token = 0;   ///< fencing token with which it was recorded
    std::string holder;        ///< member that recorded it
    IntentState state = IntentState::open;
    std::string body;  ///< exact body of the call; empty once the intent is settled
    bool operator==(const Intent&) const = default;
};

[[nodiscard]] std::string_view nameOf(IntentState state);

/// The key prefix in the replicated table of all intents of a subject.
[[nodiscard]] std::string intentPrefix(const Subject& subject);
[[nodiscard]] std::string intentKey(const Subject& subject, std::uint64_t number);

/// Encodes the value stored under an intent's key.
[[nodiscard]] std::string formatIntent(const Intent& intent);
/// @param number digits at the end of the key. Empty if the number or the value is malformed.
[[nodiscard]] std::optional<Intent> parseIntent(std::string_view number, std::string_view value);

}  // namespace beechpoint::duties
