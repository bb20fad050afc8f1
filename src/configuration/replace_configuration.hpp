// A whole configuration against the table: what is wrong with it, or the keys that differ.
#pragma once

#include <vector>

#include "configuration/document.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

// Adds to the document's faults; the changes count only when there are none.
std::vector<Change> wholeChange(const Table& table, Document& document);

}  // namespace beechpoint::configuration
