/// Parses an operator's call from its request line and evaluates it on a table. Without I/O or state; may be called from any thread.
/// OperatorCalls (operator_calls.hpp) decides when a call may be evaluated.
#pragma once

#include <string>
#include <string_view>

#include "configuration/editing.hpp"
#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

enum class OperatorCallKind {
    read,              ///< GET /configuration
    put,               ///< PUT /configuration
    patch,             ///< PATCH /configuration
    evacuate,          ///< POST /evacuate/ZONE
    cancelEvacuation,  ///< DELETE /evacuate/ZONE
};

struct OperatorCall {
    OperatorCallKind kind = OperatorCallKind::read;
    std::string target;   ///< the path as sent, for redirects
    std::string zone;     ///< of evacuate and cancelEvacuation, decoded
    std::string ifMatch;  ///< the version that the change builds on, without quotes
    std::string body;     ///< of put and patch; filled in by the caller

    [[nodiscard]] bool writes() const { return kind != OperatorCallKind::read; }
};

/// Reads a call from its request line and If-Match header; the body stays empty. `path` is as sent, without the query.
/// Errors: notFound (no such path); invalid at location "method" (405); invalid at "zone" (it can't be decoded or is empty).
[[nodiscard]] Result<OperatorCall> parseOperatorCall(std::string_view method, std::string_view path,
                                                     std::string_view ifMatch);
/// HTTP status of an error of parseOperatorCall().
[[nodiscard]] int statusOfCallError(const Error& error);

/// Evaluates a write on `table`: accepted with its changes, or already applied.
/// Errors: invalid, conflict, notFound, as configuration/editing.hpp says; invalid for a read.
[[nodiscard]] Result<configuration::Decision> decide(const OperatorCall& call, const Table& table);

}  // namespace beechpoint::control
