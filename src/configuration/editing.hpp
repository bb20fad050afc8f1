// What becomes of an operator's call: pure functions of the table that is in force and the call. The head of the
// chain runs them with no other batch in flight, so that of two calls on top of one version the second gets a
// conflict. None of them changes the table; what they accept is a batch for the chain.
//
//   PUT, PATCH   unreadable -> invalid; acknowledged before, same call -> AlreadyApplied; If-Match is not the
//                version in force -> conflict; revision not above it, or a rule broken -> invalid; else Accepted
//   evacuation   as it is already -> AlreadyApplied; else Accepted
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::configuration {

// So many acknowledged calls are remembered, those of the highest revisions.
inline constexpr std::size_t kAppliedRetained = 2048;
inline constexpr std::size_t kMaxZoneNameBytes = 256;
inline constexpr std::size_t kMaxEvacuatedZones = 1024;

// The call is in force, or was and has been followed by others: answer 200, nothing to replicate.
struct AlreadyApplied {
    std::uint64_t revision = 0;
};

// Replicate `changes`, then answer 200. Of a PUT only what differs from the table.
struct Accepted {
    std::uint64_t revision = 0;
    std::vector<Change> changes;
};

using Decision = std::variant<AlreadyApplied, Accepted>;

// `ifMatch` is the value of the header, empty when there is none. Errors: ErrorKind::conflict (412) and
// ErrorKind::invalid (400); the place is a JSON pointer into the body.
Result<Decision> putConfiguration(const Table& table, std::string_view ifMatch, std::string_view body);
Result<Decision> patchConfiguration(const Table& table, std::string_view ifMatch, std::string_view body);

// `evacuated` true for POST and false for DELETE; `zone` already decoded from the path.
Result<Decision> evacuate(const Table& table, std::string_view zone, bool evacuated);

// Revision of the configuration in force; 0 before the first.
std::uint64_t currentRevision(const Table& table);

// The body of GET /configuration: lists in the operator's order, items as sent.
std::string renderConfiguration(const Table& table);

// The body of an error answer: {"error":{"kind","place","message","remedy"}}.
std::string renderError(const Error& error);

// 400, 404, 412 and so on.
int httpStatus(ErrorKind kind);

}  // namespace beechpoint::configuration
