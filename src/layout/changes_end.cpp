// How a change ends: done, aborted or undone, and what hosts may forget then.
#include <utility>

#include "layout/changes.hpp"
#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

bool Changes::abort(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = changes_.find(id);
    if (found == changes_.end() || found->second.view.state == ChangeState::releasing) return false;
    undo(now, found, "aborted", out);
    return true;
}

void Changes::finish(Changed found, LayoutActions& out) {
    Change& change = found->second;
    if (const auto* const move = std::get_if<Move>(&change.view.spec)) {
        const Slice before = *layout_->find(move->slice);
        publish(withHolder(move->slice, change.leaving, std::nullopt), out);
        drop({before.id, before.first, before.last, change.leaving}, out);
    }
    end(found, !change.undoing, change.view.why, out);
}

void Changes::undo(Millis now, Changed found, const std::string& why, LayoutActions& out) {
    Change& change = found->second;
    change.view.why = why;
    if (const auto* const move = std::get_if<Move>(&change.view.spec)) {
        if (change.view.state == ChangeState::dual && !dead_.contains(move->to))
            return withdraw(now, change, out);
        if (change.view.state == ChangeState::copying || change.view.state == ChangeState::catchingUp)
            out.push_back(StopCopy{change.view.id, move->to});
        // The target is dead, or never was asked. The source, where it was retired, is complete still: it
        // serves again, in the same epoch.
        std::vector<Slice> slices = withHolder(move->slice, move->to, std::nullopt);
        Slice& slice = *sliceIn(slices, move->slice);
        for (Holder& h : slice.holders)
            if (h.host == move->from && h.state == HolderState::retired) h.state = HolderState::serving;
        const DropData what{slice.id, slice.first, slice.last, move->to};
        publish(std::move(slices), out);
        drop(what, out);
    } else {
        // The old slices come back under ids of their own: the new ones may have been planned on by now.
        std::vector<Slice> slices = layout_->slices();
        for (const SliceId id : change.fresh) slices.erase(sliceIn(slices, id));
        for (Slice old : change.retired) {
            old.id = ++lastSlice_;
            slices.push_back(std::move(old));
        }
        publish(std::move(slices), out);
    }
    end(found, false, why, out);
}

// Out of `dual`: the target has been asked, so it is retired before it goes.
void Changes::withdraw(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    publish(withHolder(move.slice, move.to, HolderState::retired), out);
    change.undoing = true;
    release(now, change, move.to);
}

void Changes::end(Changed found, bool done, const std::string& why, LayoutActions& out) {
    ChangeView view = found->second.view;
    view.state = done ? ChangeState::done : ChangeState::undone;
    view.why = why;
    ended_.push_back(view);
    if (ended_.size() > limits_.endedKept) ended_.erase(ended_.begin());
    out.push_back(Ended{view.id, done, why});
    changes_.erase(found);
}

// The last look before data goes: no host forgets what the newest layout has it hold.
void Changes::drop(const DropData& what, LayoutActions& out) const {
    for (const Slice& s : layout_->slices())
        if (s.first <= what.last && s.last >= what.first && s.find(what.host)) return;
    out.push_back(what);
}

}  // namespace beechpoint::layout
