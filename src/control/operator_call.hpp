// An operator's call as it is read from the request line, and what the head makes of it. Free of I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "configuration/editing.hpp"
#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

enum class OperatorCallKind { read, put, patch, evacuate, takeBack };

struct OperatorCall {
    OperatorCallKind kind = OperatorCallKind::read;
    std::string target;   // as sent, for redirects
    std::string zone;     // of evacuate and takeBack
    std::string ifMatch;  // without quotes
    std::string body;
    bool writes() const { return kind != OperatorCallKind::read; }
};

// Errors: notFound (no such path), invalid with place "method" (405), invalid (the zone's name can't be read).
Result<OperatorCall> parseOperatorCall(std::string_view method, std::string_view path,
                                       std::string_view ifMatch);
// HTTP status of its errors.
int statusOfCallError(const Error& error);

// What a write comes to on that table.
Result<configuration::Decision> decide(const OperatorCall& call, const Table& table);

}  // namespace beechpoint::control
