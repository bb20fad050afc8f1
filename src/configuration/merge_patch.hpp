// Changes of named items against the table. What stays is not parsed again: a stored route is looked at only when
// its text shows that it may be concerned. That is sound since items are stored in one canonical form, in which a
// text has one spelling.
#pragma once

#include <vector>

#include "configuration/document.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

// Adds to the document's faults; the changes count only when there are none.
std::vector<Change> partialChange(const Table& table, Document& document);

}  // namespace beechpoint::configuration
