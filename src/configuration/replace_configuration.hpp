/// PUT: a complete configuration against the table. What is wrong with it, or the keys that differ. A pure function.
#pragma once

#include <vector>

#include "configuration/document.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

/// Checks the rules between the items and adds to the document's faults. The changes that make the table hold this
/// configuration and nothing else; they count only when there are no faults.
[[nodiscard]] std::vector<Change> replaceConfiguration(const Table& table, Document& document);

}  // namespace beechpoint::configuration
