// ChangeManager: validation of new changes, and the first step of a move, split or merge.
#include <fmt/format.h>

#include <algorithm>

#include "layout/changes.hpp"
#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

namespace {

std::set<std::string> hostsOf(const Slice& slice) {
    std::set<std::string> hosts;
    for (const Holder& h : slice.holders) hosts.insert(h.host);
    return hosts;
}

}  // namespace

bool ChangeManager::isChanging(SliceId slice) const {
    return std::any_of(changes_.begin(), changes_.end(), [&](const auto& c) {
        const std::vector<SliceId> ids = affectedSlices(c.second.view.spec);
        const std::vector<SliceId>& newSlices = c.second.newSlices;
        return std::find(ids.begin(), ids.end(), slice) != ids.end() ||
               std::find(newSlices.begin(), newSlices.end(), slice) != newSlices.end();
    });
}

std::string ChangeManager::rejectionReason(const ChangeSpec& spec) const {
    if (changes_.size() >= limits_.maxConcurrent)
        return fmt::format("{} changes are already in progress", changes_.size());
    for (const SliceId id : affectedSlices(spec)) {
        if (!layout_->find(id))
            return fmt::format("slice {} does not exist in epoch {}", id, layout_->epoch());
        if (isChanging(id)) return fmt::format("slice {} already has a change in progress", id);
    }
    if (const auto* move = std::get_if<Move>(&spec)) {
        const Slice& slice = *layout_->find(move->slice);
        const Holder* const from = slice.find(move->from);
        if (move->to.empty()) return "move has no target host";
        if (!from || !from->isSelectable())
            return fmt::format("slice {} is not served by host {}", move->slice, move->from);
        if (slice.find(move->to)) return fmt::format("host {} already holds slice {}", move->to, move->slice);
        if (deadHosts_.contains(move->to)) return fmt::format("host {} is dead", move->to);
    }
    if (const auto* split = std::get_if<Split>(&spec)) {
        const Slice& slice = *layout_->find(split->slice);
        if (split->at <= slice.first || split->at > slice.last)
            return fmt::format("slice {} cannot be split there: each half must contain at least one hash",
                               split->slice);
    }
    if (const auto* merge = std::get_if<Merge>(&spec)) {
        const Slice &lower = *layout_->find(merge->lower), &upper = *layout_->find(merge->upper);
        if (lower.last == ~KeyHash{0} || lower.last + 1 != upper.first)
            return fmt::format("slices {} and {} are not adjacent in this order", merge->lower, merge->upper);
        if (hostsOf(lower) != hostsOf(upper))
            return fmt::format("slices {} and {} are not held by the same hosts: move one first",
                               merge->lower, merge->upper);
    }
    return {};
}

ChangeId ChangeManager::begin(Millis now, const ChangeSpec& spec, LayoutActions& out, std::string& reason) {
    reason = rejectionReason(spec);
    if (!reason.empty()) return 0;
    const ChangeId id = ++lastChange_;
    Change& change = changes_[id];
    change.view.id = id;
    change.view.spec = spec;
    if (std::holds_alternative<Move>(spec))
        beginMove(now, change, out);
    else
        replaceSlices(now, change, out);
    return id;
}

void ChangeManager::beginMove(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    publish(slicesWithHolder(move.slice, move.to, HolderState::copying), out);
    enterState(change, ChangeState::copying, now, limits_.copyTimeout);
    change.source = chooseCopySource(change);
    if (!change.source.empty()) out.push_back(StartCopy{change.view.id, move.slice, change.source, move.to});
}

// A host that holds a range complete also holds each half of it complete, and likewise for a merged range.
// The new epoch no longer contains the old slices; they are remembered until no query uses them.
void ChangeManager::replaceSlices(Millis now, Change& change, LayoutActions& out) {
    std::vector<Slice> slices = layout_->slices();
    if (const auto* split = std::get_if<Split>(&change.view.spec)) {
        const auto old = findSlice(slices, split->slice);
        change.replacedSlices = {*old};
        Slice lower = *old, upper = *old;
        lower.id = ++lastSliceId_;
        upper.id = ++lastSliceId_;
        lower.last = split->at - 1;
        upper.first = split->at;
        *old = lower;
        slices.push_back(upper);
        change.newSlices = {lower.id, upper.id};
    } else {
        const Merge& merge = std::get<Merge>(change.view.spec);
        const auto lower = findSlice(slices, merge.lower);
        const Slice upper = *findSlice(slices, merge.upper);
        change.replacedSlices = {*lower, upper};
        lower->id = ++lastSliceId_;
        lower->last = upper.last;
        // A host is complete if it is complete in both slices, and takes the weaker of its two states.
        for (Holder& h : lower->holders)
            if (const Holder* other = upper.find(h.host)) {
                if (!other->isSelectable()) h.state = other->state;
                h.completeSince = std::max(h.completeSince, other->completeSince);
            }
        change.newSlices = {lower->id};
        std::erase_if(slices, [&](const Slice& s) { return s.id == merge.upper; });
    }
    publish(std::move(slices), out);
    enterState(change, ChangeState::preparing, now, limits_.confirmTimeout);
    change.awaitedEpoch = layout_->epoch();
    for (const Holder& h : layout_->find(change.newSlices.front())->holders)
        if (h.isSelectable() && !deadHosts_.contains(h.host)) change.awaitedHosts.insert(h.host);
    checkConfirmations(now, change, out);
}

}  // namespace beechpoint::layout
