/// The operator's configuration: what becomes of a PUT, PATCH or evacuation, and the bodies of answers (rendering.cpp). Pure
/// functions of the table in force and the operation; none of them changes the table. What they accept is a batch for the
/// replicated table. To be called from any thread.
///
/// Not here: HTTP and who may answer (control/operator_calls), replication (replica/), and what gateways make of the
/// configuration (routing/).
///
/// The head of the chain runs them with no other batch in flight, so that of two operations on top of one version the second gets
/// a conflict.
///
///   operation    | condition, the first that holds                        | outcome
///   PUT, PATCH   | acknowledged before under this revision, same bytes    | AlreadyApplied
///                | If-Match is not the version in force                   | conflict
///                | the body cannot be read                                | invalid
///                | its revision is not above the version in force         | invalid
///                | a rule on or between items is broken                   | invalid
///                | else                                                   | Accepted
///   evacuation   | the name of the zone is empty or too long              | invalid
///                | the zone is in this state already                      | AlreadyApplied
///                | kMaxEvacuatedZones are evacuated                       | invalid
///                | else                                                   | Accepted
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

/// So many applied operations are retained, those of the highest revisions.
inline constexpr std::size_t kAppliedRetained = 2048;
inline constexpr std::size_t kMaxZoneNameBytes = 256;
inline constexpr std::size_t kMaxEvacuatedZones = 1024;

/// The operation is in force, or was and has been followed by others: answer 200, nothing to replicate.
struct AlreadyApplied {
    std::uint64_t revision = 0;
};

/// Replicate `changes`, then answer 200. Of a PUT they are only what differs from the table.
struct Accepted {
    std::uint64_t revision = 0;
    std::vector<Change> changes;
};

using Decision = std::variant<AlreadyApplied, Accepted>;

/// `ifMatch` is the value of the header, empty when there is none. Errors: ErrorKind::conflict (412) and
/// ErrorKind::invalid (400); the location is a JSON pointer into the body, or the header's name.
[[nodiscard]] Result<Decision> putConfiguration(const Table& table, std::string_view ifMatch,
                                                std::string_view body);
[[nodiscard]] Result<Decision> patchConfiguration(const Table& table, std::string_view ifMatch,
                                                  std::string_view body);

/// `evacuated` is true for POST and false for DELETE; `zone` is already decoded from the path.
[[nodiscard]] Result<Decision> evacuate(const Table& table, std::string_view zone, bool evacuated);

/// Revision of the configuration in force; 0 before the first.
[[nodiscard]] std::uint64_t currentRevision(const Table& table);

/// The body of GET /configuration: lists in the operator's order, items as sent.
[[nodiscard]] std::string renderConfiguration(const Table& table);

/// The body of an error answer: {"error":{"kind","place","message","remedy"}}.
[[nodiscard]] std::string renderError(const Error& error);

/// The HTTP status for an error of this kind: 400, 404, 412 or 503.
[[nodiscard]] int httpStatus(ErrorKind kind);

}  // namespace beechpoint::configuration
