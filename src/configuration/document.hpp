/// The body of a PUT or PATCH of the configuration: its items, each typed and as compact JSON text. The rules on single items
/// are checked while it is read; those between items are not (item_checks.hpp).
///
/// Pure functions; to be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "core/result.hpp"

namespace beechpoint::configuration {

/// After so many faults the rest of a list is not read.
inline constexpr std::size_t kMaxFaults = 16;

template <class Value>
struct Item {
    Value value;
    std::string json;  ///< compact, members in the order sent
    std::string path;  ///< JSON pointer (RFC 6901) into the body
};

/// A member of the configuration that this program does not know; preserved as sent.
struct OtherMember {
    std::string name;
    std::string json;  ///< compact
};

/// Items to remove from a list that this program does not know.
struct OtherRemoval {
    std::string list;
    std::vector<std::string> names;
};

/// The items of a PUT, or those of a PATCH to add or to replace.
struct Items {
    std::vector<Item<Route>> routes;
    std::vector<Item<Service>> services;
    std::optional<std::string> limits;  ///< compact JSON
    std::vector<OtherMember> others;
};

struct Document {
    std::uint64_t revision = 0;
    Items items;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedServices;
    std::vector<OtherRemoval> removedOthers;
    std::vector<Error> faults;  ///< broken rules, in the order of the body
};

/// configuration: the body of a PUT; patch: that of a PATCH.
enum class DocumentKind { configuration, patch };

/// An error of kind `invalid`: the body cannot be read at all, or its revision cannot. All else that is wrong with it is in
/// Document::faults.
[[nodiscard]] Result<Document> readDocument(std::string_view body, DocumentKind kind);

}  // namespace beechpoint::configuration
