/// An intent: a call to the platform that is recorded in the replicated table before it is sent, so that whoever holds the duty next completes it
/// with the same body. Values, and their form in the table.
///
///   key    duty/SUBJECT/NUMBER   the subject as keyOf() gives it, the number with kNumberDigits digits
///   value  {"state":"open","token":12,"holder":"core-1","body":"..."}, a body only while open
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
    open,     ///< to be sent, again and again, until the platform has answered it
    done,     ///< the platform took it
    refused,  ///< the platform will never take it
};

struct Intent {
    std::uint64_t number = 0;  ///< rises within a subject: the window of a report, the count of an order
    std::uint64_t token = 0;   ///< fencing token under which it was recorded
    std::string holder;        ///< who recorded it
    IntentState state = IntentState::open;
    std::string body;  ///< of the call, exactly; empty once it is not open
    bool operator==(const Intent&) const = default;
};

[[nodiscard]] std::string_view nameOf(IntentState state);

/// The part of keys of the replicated table that all of a subject's intents share.
[[nodiscard]] std::string intentPrefix(const Subject& subject);
[[nodiscard]] std::string intentKey(const Subject& subject, std::uint64_t number);

/// The value of an intent's key.
[[nodiscard]] std::string formatIntent(const Intent& intent);
/// @param number digits at the end of the key. Nothing where key or value is not of this form.
[[nodiscard]] std::optional<Intent> parseIntent(std::string_view number, std::string_view value);

}  // namespace beechpoint::duties
