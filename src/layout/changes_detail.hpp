// What the parts of Changes share. Private to src/layout/changes*.cpp.
#pragma once

#include <algorithm>
#include <variant>
#include <vector>

#include "layout/changes.hpp"

namespace beechpoint::layout {

// The slice of that id; end() where there is none.
inline std::vector<Slice>::iterator sliceIn(std::vector<Slice>& slices, SliceId id) {
    return std::find_if(slices.begin(), slices.end(), [&](const Slice& s) { return s.id == id; });
}

// The slices of the layout that a change takes up.
inline std::vector<SliceId> touched(const ChangeSpec& spec) {
    if (const auto* move = std::get_if<Move>(&spec)) return {move->slice};
    if (const auto* split = std::get_if<Split>(&spec)) return {split->slice};
    const Merge& merge = std::get<Merge>(spec);
    return {merge.lower, merge.upper};
}

}  // namespace beechpoint::layout
