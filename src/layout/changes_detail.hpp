// Helpers shared by the implementation files of ChangeManager. Private to src/layout/changes*.cpp.
#pragma once

#include <algorithm>
#include <variant>
#include <vector>

#include "layout/changes.hpp"

namespace beechpoint::layout {

// Returns the slice with this id, or end().
inline std::vector<Slice>::iterator findSlice(std::vector<Slice>& slices, SliceId id) {
    return std::find_if(slices.begin(), slices.end(), [&](const Slice& s) { return s.id == id; });
}

// Returns the ids of the slices that a change affects.
inline std::vector<SliceId> affectedSlices(const ChangeSpec& spec) {
    if (const auto* move = std::get_if<Move>(&spec)) return {move->slice};
    if (const auto* split = std::get_if<Split>(&spec)) return {split->slice};
    const Merge& merge = std::get<Merge>(spec);
    return {merge.lower, merge.upper};
}

}  // namespace beechpoint::layout
