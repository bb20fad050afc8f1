// Errors as values: a typed kind, what is wrong, where, and what to do about it. Functions that can fail for a reason
// that their caller must handle return Result<T>; exceptions stay for programming errors and start-up.
#pragma once

#include <fmt/format.h>

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace beechpoint {

enum class ErrorKind {
    invalid,      // the caller's input breaks a rule; the same input fails again
    conflict,     // the input builds on a version that is not current
    notFound,     // the named thing does not exist
    unavailable,  // not now; the same call may succeed later or elsewhere
    timedOut,     // no answer in time; whether the call took effect is not known
    storage,      // the disk refused, or what it holds does not check
};

struct Error {
    ErrorKind kind = ErrorKind::invalid;
    std::string location;  // JSON pointer, setting or peer that the error is about; may be empty
    std::string message;   // what is wrong
    std::string remedy;    // what to do about it

    std::string text() const {
        return fmt::format("{}{}{}{}{}", location, location.empty() ? "" : ": ", message,
                           remedy.empty() ? "" : "; ", remedy);
    }
};

template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

}  // namespace beechpoint
