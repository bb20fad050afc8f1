// ChangeManager: completion, abort and rollback of changes, and deletion of data that is no longer needed.
#include <utility>

#include "layout/changes.hpp"
#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

bool ChangeManager::abort(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = changes_.find(id);
    if (found == changes_.end() || found->second.view.state == ChangeState::releasing) return false;
    undo(now, found, "aborted", out);
    return true;
}

void ChangeManager::finish(ChangeIterator found, LayoutActions& out) {
    Change& change = found->second;
    if (const auto* const move = std::get_if<Move>(&change.view.spec)) {
        const Slice before = *layout_->find(move->slice);
        publish(slicesWithHolder(move->slice, change.departingHost, std::nullopt), out);
        dropDataIfUnheld({before.id, before.first, before.last, change.departingHost}, out);
    }
    endChange(found, !change.undoing, change.view.reason, out);
}

void ChangeManager::undo(Millis now, ChangeIterator found, const std::string& reason, LayoutActions& out) {
    Change& change = found->second;
    change.view.reason = reason;
    if (const auto* const move = std::get_if<Move>(&change.view.spec)) {
        if (change.view.state == ChangeState::dual && !deadHosts_.contains(move->to))
            return retireTarget(now, change, out);
        if (change.view.state == ChangeState::copying || change.view.state == ChangeState::catchingUp)
            out.push_back(StopCopy{change.view.id, move->to});
        // The target is dead or was never selectable. A retired source is still complete and serves again in
        // the same epoch.
        std::vector<Slice> slices = slicesWithHolder(move->slice, move->to, std::nullopt);
        Slice& slice = *findSlice(slices, move->slice);
        for (Holder& h : slice.holders)
            if (h.host == move->from && h.state == HolderState::retired) h.state = HolderState::serving;
        const DropData data{slice.id, slice.first, slice.last, move->to};
        publish(std::move(slices), out);
        dropDataIfUnheld(data, out);
    } else {
        // The old slices return under new ids, since queries may already be planned on the replaced ids.
        std::vector<Slice> slices = layout_->slices();
        for (const SliceId id : change.newSlices) slices.erase(findSlice(slices, id));
        for (Slice old : change.replacedSlices) {
            old.id = ++lastSliceId_;
            slices.push_back(std::move(old));
        }
        publish(std::move(slices), out);
    }
    endChange(found, false, reason, out);
}

// Rolls back from `dual`: the target may have been queried, so it is retired before it is removed.
void ChangeManager::retireTarget(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    publish(slicesWithHolder(move.slice, move.to, HolderState::retired), out);
    change.undoing = true;
    startRelease(now, change, move.to);
}

void ChangeManager::endChange(ChangeIterator found, bool done, const std::string& reason,
                              LayoutActions& out) {
    ChangeView view = found->second.view;
    view.state = done ? ChangeState::done : ChangeState::undone;
    view.reason = reason;
    ended_.push_back(view);
    if (ended_.size() > limits_.maxEndedRetained) ended_.erase(ended_.begin());
    out.push_back(ChangeEnded{view.id, done, reason});
    changes_.erase(found);
}

// Final check before data is deleted: a host keeps every range that the newest layout assigns to it.
void ChangeManager::dropDataIfUnheld(const DropData& data, LayoutActions& out) const {
    for (const Slice& s : layout_->slices())
        if (s.first <= data.last && s.last >= data.first && s.find(data.host)) return;
    out.push_back(data);
}

}  // namespace beechpoint::layout
