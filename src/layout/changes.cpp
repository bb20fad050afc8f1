// What every change needs: who is under way, new epochs, and time.
#include "layout/changes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

const char* nameOf(ChangeState state) {
    switch (state) {
        case ChangeState::copying:
            return "copying";
        case ChangeState::catchingUp:
            return "catching up";
        case ChangeState::dual:
            return "dual";
        case ChangeState::preparing:
            return "preparing";
        case ChangeState::releasing:
            return "releasing";
        case ChangeState::done:
            return "done";
        case ChangeState::undone:
            break;
    }
    return "undone";
}

Changes::Changes(LayoutPtr first, ChangeLimits limits)
    : limits_(limits), layout_(std::move(first)), lastSlice_(layout_->highestId()) {}

void Changes::restore(ChangeId lastChange, SliceId lastSlice, std::set<std::string> dead) {
    last_ = lastChange;
    lastSlice_ = std::max(lastSlice, layout_->highestId());
    dead_ = std::move(dead);
}

std::string Changes::sourceOf(ChangeId id) const {
    const auto found = changes_.find(id);
    return found == changes_.end() ? std::string() : found->second.source;
}

std::size_t Changes::underWay() const { return changes_.size(); }

std::vector<ChangeView> Changes::changes() const {
    std::vector<ChangeView> all;
    for (const auto& [id, change] : changes_) all.push_back(change.view);
    all.insert(all.end(), ended_.rbegin(), ended_.rend());
    return all;
}

Changes::Changed Changes::under(ChangeId id, ChangeState state) {
    const auto found = changes_.find(id);
    if (found != changes_.end() && found->second.view.state == state) return found;
    ++ignored_;
    return changes_.end();
}

void Changes::enter(Change& change, ChangeState state, Millis now, Millis within) {
    change.view.state = state;
    change.view.since = now;
    change.view.until = now + within;
}

void Changes::publish(std::vector<Slice> slices, LayoutActions& out) {
    layout_ = Layout::make(layout_->epoch() + 1, std::move(slices));
    out.push_back(Publish{layout_});
}

// The slices with one holder added, changed or (no state) taken away.
std::vector<Slice> Changes::withHolder(SliceId id, const std::string& host,
                                       std::optional<HolderState> state) const {
    std::vector<Slice> slices = layout_->slices();
    Slice& slice = *sliceIn(slices, id);
    std::erase_if(slice.holders, [&](const Holder& h) { return h.host == host && !state; });
    if (!state) return slices;
    for (Holder& h : slice.holders)
        if (h.host == host) {
            const bool was = h.complete();
            h.state = *state;
            if (!was && h.complete()) h.since = layout_->epoch() + 1;  // from the epoch that is made of this
            return slices;
        }
    slice.holders.push_back({host, *state, layout_->epoch() + 1});
    return slices;
}

Millis Changes::next() const {
    Millis at = 1e300;
    for (const auto& [id, change] : changes_) at = std::min(at, change.view.until);
    return at;
}

void Changes::advance(Millis now, LayoutActions& out) {
    std::vector<ChangeId> due;
    for (const auto& [id, change] : changes_)
        if (change.view.until <= now) due.push_back(id);
    for (const ChangeId id : due) {
        const auto found = changes_.find(id);
        if (found == changes_.end()) continue;
        switch (found->second.view.state) {
            case ChangeState::releasing: {  // the longest query's time has gone by
                Change& change = found->second;
                const auto stands = stands_.find(change.leaving);
                const bool sure = change.leaving.empty() || dead_.contains(change.leaving) ||
                                  (stands != stands_.end() && stands->second >= change.releasing);
                if (sure)
                    finish(found, out);
                else  // it may answer still, by an older epoch: it is written to until it knows
                    change.view.until = now + limits_.confirmWithin;
                break;
            }
            case ChangeState::copying:
                undo(now, found, "the copy took too long", out);
                break;
            case ChangeState::catchingUp:
                undo(now, found, "catching up took too long", out);
                break;
            default:
                undo(now, found,
                     fmt::format("{} hosts did not confirm the epoch in time", found->second.awaited.size()),
                     out);
        }
    }
}

}  // namespace beechpoint::layout
