// The body of a PUT or PATCH of the configuration, read in one pass. Routes and services are taken out of the
// parsed text one by one, as typed item and as compact JSON, so that the memory used beyond the body's own size
// does not grow with the number of items.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "configuration/json_source.hpp"
#include "core/result.hpp"

namespace beechpoint::configuration {

inline constexpr int kMaxNesting = 64;         // of objects and lists in a body
inline constexpr std::size_t kMaxFaults = 16;  // after so many a body is not looked at further

template <class Value>
struct Item {
    Value value;
    std::string json;   // compact, members in the order sent
    std::string place;  // JSON pointer into the body
};

struct NamedJson {
    std::string name;
    Json value;
};

// The items of a PUT, or those of a PATCH to add or to replace.
struct Items {
    std::vector<Item<Route>> routes;
    std::vector<Item<Service>> services;
    std::optional<std::string> limits;  // compact JSON
    std::vector<NamedJson> others;      // members that are not known here
};

struct Document {
    std::uint64_t revision = 0;
    Items items;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedServices;
    std::vector<NamedJson> removedOthers;  // lists of names
    std::vector<Error> faults;             // broken rules of single items
};

enum class DocumentKind { whole, changes };

// An error: the body cannot be read at all, or its revision cannot.
Result<Document> readDocument(std::string_view body, DocumentKind kind);

}  // namespace beechpoint::configuration
