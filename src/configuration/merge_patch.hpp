/// PATCH: changes of named items against the table. Akin to JSON Merge Patch (RFC 7396) in that what is not mentioned stays;
/// unlike it, lists are changed by the names of their items, removals are a list of names, and a named item is replaced as one.
///
/// What stays is not parsed again: a stored route is looked at only when its text shows that it may be concerned. That is sound
/// since items are stored in one canonical form, in which a text has one spelling (compactJson). A pure function.
#pragma once

#include <vector>

#include "configuration/document.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

/// Checks the rules between the changed items and those that stay and adds to the document's faults. The changes that apply the
/// patch; they count only when there are no faults.
[[nodiscard]] std::vector<Change> mergePatch(const Table& table, Document& document);

}  // namespace beechpoint::configuration
