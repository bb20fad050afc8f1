/// Names of the store's records. They are on disk: a change makes stores of earlier releases unreadable.
#pragma once

#include <string>
#include <string_view>

namespace beechpoint::storage {

inline constexpr std::string_view kSummary = "summary";     ///< Summary of all other records
inline constexpr std::string_view kNode = "node";           ///< Contents::incarnation
inline constexpr std::string_view kView = "view";           ///< Contents::view
inline constexpr std::string_view kVote = "vote";           ///< Contents::vote
inline constexpr std::string_view kSynced = "synced";       ///< Contents::syncedEpoch
inline constexpr std::string_view kPosition = "position";   ///< Contents::position
inline constexpr std::string_view kPending = "pending";     ///< Contents::pending
inline constexpr std::string_view kTablePrefix = "table/";  ///< before each key of Contents::table

[[nodiscard]] inline std::string tableRecordName(const std::string& key) {
    return std::string(kTablePrefix) + key;
}

}  // namespace beechpoint::storage
