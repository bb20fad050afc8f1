/// What a singleton duty is about: the unit that has one holder at a time, and for which the platform compares fencing tokens.
#pragma once

#include <compare>
#include <string>

namespace beechpoint::duties {

enum class Duty {
    usage,    ///< reports of the tenants' usage; all windows together are one subject
    scaling,  ///< orders of hosts; a service in a zone is a subject
};

struct Subject {
    Duty duty = Duty::usage;
    std::string service;  ///< of scaling; else empty
    std::string zone;     ///< likewise

    auto operator<=>(const Subject&) const = default;
};

/// Unique text of the subject: a part of keys of the replicated table, and what the holder is drawn by.
///
///   usage
///   scaling/SERVICE/ZONE   where '%' and '/' in names are written %25 and %2F
[[nodiscard]] std::string keyOf(const Subject& subject);

}  // namespace beechpoint::duties
