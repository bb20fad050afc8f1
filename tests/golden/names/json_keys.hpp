// The keys of JSON documents: those that are written, and those that a reader understands.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "golden_list.hpp"

namespace beechpoint::golden {

using Json = nlohmann::json;

// "PATH TYPE" of each value in a document, sorted, each once. Entries of lists share one path: members[].name
Lines keysOf(const Json& document);
Lines keysOf(const std::string& text);

// Reads a document; the reason for a refusal, or nothing where it was taken.
using Reader = std::function<std::string(const Json&)>;

// For each key of a document that `read` takes: what becomes of the document without the key, and with a value of another type.
// "taken" in both cases means that nobody reads the key.
Lines keysReadBy(const Reader& read, const Json& document);

}  // namespace beechpoint::golden
