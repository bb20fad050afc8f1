// ChangeManager: bookkeeping common to all changes, publication of epochs, and timeouts.
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

ChangeManager::ChangeManager(LayoutPtr first, ChangeLimits limits)
    : limits_(limits), layout_(std::move(first)), lastSliceId_(layout_->highestId()) {}

void ChangeManager::restore(ChangeId lastChange, SliceId lastSlice, std::set<std::string> dead) {
    lastChange_ = lastChange;
    lastSliceId_ = std::max(lastSlice, layout_->highestId());
    deadHosts_ = std::move(dead);
}

std::string ChangeManager::sourceOf(ChangeId id) const {
    const auto found = changes_.find(id);
    return found == changes_.end() ? std::string() : found->second.source;
}

std::size_t ChangeManager::activeCount() const { return changes_.size(); }

std::vector<ChangeView> ChangeManager::changes() const {
    std::vector<ChangeView> all;
    for (const auto& [id, change] : changes_) all.push_back(change.view);
    all.insert(all.end(), ended_.rbegin(), ended_.rend());
    return all;
}

ChangeManager::ChangeIterator ChangeManager::findInState(ChangeId id, ChangeState state) {
    const auto found = changes_.find(id);
    if (found != changes_.end() && found->second.view.state == state) return found;
    ++ignoredReports_;
    return changes_.end();
}

void ChangeManager::enterState(Change& change, ChangeState state, Millis now, Millis timeout) {
    change.view.state = state;
    change.view.enteredAt = now;
    change.view.deadline = now + timeout;
}

void ChangeManager::publish(std::vector<Slice> slices, LayoutActions& out) {
    layout_ = Layout::make(layout_->epoch() + 1, std::move(slices));
    out.push_back(Publish{layout_});
}

// Returns the slices with one holder added, updated or, if `state` is empty, removed.
std::vector<Slice> ChangeManager::slicesWithHolder(SliceId id, const std::string& host,
                                                   std::optional<HolderState> state) const {
    std::vector<Slice> slices = layout_->slices();
    Slice& slice = *findSlice(slices, id);
    std::erase_if(slice.holders, [&](const Holder& h) { return h.host == host && !state; });
    if (!state) return slices;
    for (Holder& h : slice.holders)
        if (h.host == host) {
            const bool wasComplete = h.isComplete();
            h.state = *state;
            if (!wasComplete && h.isComplete())
                h.completeSince = layout_->epoch() + 1;  // the epoch about to be published
            return slices;
        }
    slice.holders.push_back({host, *state, layout_->epoch() + 1});
    return slices;
}

Millis ChangeManager::nextDeadline() const {
    Millis earliest = 1e300;
    for (const auto& [id, change] : changes_) earliest = std::min(earliest, change.view.deadline);
    return earliest;
}

void ChangeManager::advance(Millis now, LayoutActions& out) {
    std::vector<ChangeId> due;
    for (const auto& [id, change] : changes_)
        if (change.view.deadline <= now) due.push_back(id);
    for (const ChangeId id : due) {
        const auto found = changes_.find(id);
        if (found == changes_.end()) continue;
        switch (found->second.view.state) {
            case ChangeState::releasing: {  // maxQueryDuration has elapsed
                Change& change = found->second;
                const auto confirmed = confirmedEpochs_.find(change.departingHost);
                const bool isSafe =
                    change.departingHost.empty() || deadHosts_.contains(change.departingHost) ||
                    (confirmed != confirmedEpochs_.end() && confirmed->second >= change.releaseEpoch);
                if (isSafe)
                    finish(found, out);
                else  // it may still answer by an older epoch, so it must keep receiving writes
                    change.view.deadline = now + limits_.confirmTimeout;
                break;
            }
            case ChangeState::copying:
                undo(now, found, "copy timed out", out);
                break;
            case ChangeState::catchingUp:
                undo(now, found, "catch-up timed out", out);
                break;
            default:
                undo(now, found,
                     fmt::format("{} hosts did not confirm the epoch in time",
                                 found->second.awaitedHosts.size()),
                     out);
        }
    }
}

}  // namespace beechpoint::layout
