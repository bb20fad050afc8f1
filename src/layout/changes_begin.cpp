// Beginning a change: what is refused, and the first step of a move, a split and a merge.
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

bool Changes::busy(SliceId slice) const {
    return std::any_of(changes_.begin(), changes_.end(), [&](const auto& c) {
        const std::vector<SliceId> ids = touched(c.second.view.spec);
        const std::vector<SliceId>& fresh = c.second.fresh;
        return std::find(ids.begin(), ids.end(), slice) != ids.end() ||
               std::find(fresh.begin(), fresh.end(), slice) != fresh.end();
    });
}

std::string Changes::refusal(const ChangeSpec& spec) const {
    if (changes_.size() >= limits_.atOnce)
        return fmt::format("{} changes are under way already", changes_.size());
    for (const SliceId id : touched(spec)) {
        if (!layout_->find(id)) return fmt::format("slice {} is not in epoch {}", id, layout_->epoch());
        if (busy(id)) return fmt::format("slice {} is being changed already", id);
    }
    if (const auto* move = std::get_if<Move>(&spec)) {
        const Slice& slice = *layout_->find(move->slice);
        const Holder* const from = slice.find(move->from);
        if (move->to.empty()) return "a move needs a host to move to";
        if (!from || !from->asked())
            return fmt::format("slice {} is not served by host {}", move->slice, move->from);
        if (slice.find(move->to)) return fmt::format("host {} holds slice {} already", move->to, move->slice);
        if (dead_.contains(move->to)) return fmt::format("host {} is dead", move->to);
    }
    if (const auto* split = std::get_if<Split>(&spec)) {
        const Slice& slice = *layout_->find(split->slice);
        if (split->at <= slice.first || split->at > slice.last)
            return fmt::format("slice {} can't be split there: both halves must hold a hash", split->slice);
    }
    if (const auto* merge = std::get_if<Merge>(&spec)) {
        const Slice &lower = *layout_->find(merge->lower), &upper = *layout_->find(merge->upper);
        if (lower.last == ~KeyHash{0} || lower.last + 1 != upper.first)
            return fmt::format("slices {} and {} are not neighbours in this order", merge->lower,
                               merge->upper);
        if (hostsOf(lower) != hostsOf(upper))
            return fmt::format("slices {} and {} are not held by the same hosts: move one first",
                               merge->lower, merge->upper);
    }
    return {};
}

ChangeId Changes::begin(Millis now, const ChangeSpec& spec, LayoutActions& out, std::string& why) {
    why = refusal(spec);
    if (!why.empty()) return 0;
    const ChangeId id = ++last_;
    Change& change = changes_[id];
    change.view.id = id;
    change.view.spec = spec;
    if (std::holds_alternative<Move>(spec))
        beginMove(now, change, out);
    else
        replaceSlices(now, change, out);
    return id;
}

void Changes::beginMove(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    publish(withHolder(move.slice, move.to, HolderState::copying), out);
    enter(change, ChangeState::copying, now, limits_.copyWithin);
    change.source = otherSource(change);
    if (!change.source.empty()) out.push_back(StartCopy{change.view.id, move.slice, change.source, move.to});
}

// Hosts that hold a range complete hold its halves, or its union, complete as well.
// The old slices are gone from the new epoch at once; what they were is remembered until no query is out on
// them.
void Changes::replaceSlices(Millis now, Change& change, LayoutActions& out) {
    std::vector<Slice> slices = layout_->slices();
    if (const auto* split = std::get_if<Split>(&change.view.spec)) {
        const auto old = sliceIn(slices, split->slice);
        change.retired = {*old};
        Slice lower = *old, upper = *old;
        lower.id = ++lastSlice_;
        upper.id = ++lastSlice_;
        lower.last = split->at - 1;
        upper.first = split->at;
        *old = lower;
        slices.push_back(upper);
        change.fresh = {lower.id, upper.id};
    } else {
        const Merge& merge = std::get<Merge>(change.view.spec);
        const auto lower = sliceIn(slices, merge.lower);
        const Slice above = *sliceIn(slices, merge.upper);
        change.retired = {*lower, above};
        lower->id = ++lastSlice_;
        lower->last = above.last;
        // Complete is who is complete in both; a host that serves one half only is as good as its worse half.
        for (Holder& h : lower->holders)
            if (const Holder* other = above.find(h.host)) {
                if (!other->asked()) h.state = other->state;
                h.since = std::max(h.since, other->since);
            }
        change.fresh = {lower->id};
        std::erase_if(slices, [&](const Slice& s) { return s.id == merge.upper; });
    }
    publish(std::move(slices), out);
    enter(change, ChangeState::preparing, now, limits_.confirmWithin);
    change.awaitedAt = layout_->epoch();
    for (const Holder& h : layout_->find(change.fresh.front())->holders)
        if (h.asked() && !dead_.contains(h.host)) change.awaited.insert(h.host);
    confirm(now, change, out);
}

}  // namespace beechpoint::layout
