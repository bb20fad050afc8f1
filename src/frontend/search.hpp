// The OpenSearch-style query API as text: what a search asks for, how it is routed to slices, and how the
// slices' answers become one. No sockets here.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/exchange.hpp"

namespace beechpoint::frontend {

// An error in the API's form.
struct SearchError : std::runtime_error {
    SearchError(int code, std::string kind, const std::string& reason)
        : std::runtime_error(reason), status(code), type(std::move(kind)) {}
    int status;
    std::string type;
};

std::string searchErrorBody(const SearchError& error);

using Parameters = std::map<std::string, std::string, std::less<>>;
Parameters readParameters(std::string_view query);  // of a URL; throws SearchError on a bad escape

struct SortKey {
    std::string field;
    bool descending = false;
    bool missingFirst = false;
};

struct Search {
    std::string index;
    std::string klass;
    std::string key;  // its routing
    std::vector<int> slices;
    Millis timeout = 0;  // 0: none but the class's deadline
    std::size_t from = 0, size = 10;
    std::vector<SortKey> sort;  // empty: by score
    std::string text;           // what each slice is asked
};

struct SearchSettings {
    std::map<std::string, std::string, std::less<>> classOfIndex;
    int slices = 1;
};

// Throw SearchError; nothing has been sent by then.
Search readSearch(const std::string& index, std::string_view body, const Parameters& parameters,
                  const SearchSettings& settings);
std::vector<Search> readMultiSearch(const std::string& index, std::string_view body,
                                    const Parameters& parameters, const SearchSettings& settings);

// The slice that a routing value belongs to, as OpenSearch itself reckons it.
int sliceOf(std::string_view routing, int slices);

// The slices' answers as one. Throws SearchError where a value is not an answer of this API: better none than
// hits that lack a slice.
std::string mergedBody(const Search& search, const Final& final, Millis took);
// What a final without an answer means to a client of this API.
SearchError errorOf(const Final& final);

}  // namespace beechpoint::frontend
