// The body of a PUT or PATCH of the configuration: its items, each typed and as compact JSON text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "core/result.hpp"

namespace beechpoint::configuration {

inline constexpr std::size_t kMaxFaults = 16;  // after so many a body is not looked at further

template <class Value>
struct Item {
    Value value;
    std::string json;  // compact, members in the order sent
    std::string path;  // JSON pointer into the body
};

// A member that is not known here.
struct OtherMember {
    std::string name;
    std::string json;  // compact
};

// Items to remove from a list that is not known here.
struct OtherRemoval {
    std::string list;
    std::vector<std::string> names;
};

// The items of a PUT, or those of a PATCH to add or to replace.
struct Items {
    std::vector<Item<Route>> routes;
    std::vector<Item<Service>> services;
    std::optional<std::string> limits;  // compact JSON
    std::vector<OtherMember> others;
};

struct Document {
    std::uint64_t revision = 0;
    Items items;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedServices;
    std::vector<OtherRemoval> removedOthers;
    std::vector<Error> faults;  // broken rules of single items
};

enum class DocumentKind { whole, changes };

// An error: the body cannot be read at all, or its revision cannot.
Result<Document> readDocument(std::string_view body, DocumentKind kind);

}  // namespace beechpoint::configuration
