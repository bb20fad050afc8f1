#include "layout/changes.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::layout {

namespace {

std::vector<Slice>::iterator sliceIn(std::vector<Slice>& slices, SliceId id) {
    return std::find_if(slices.begin(), slices.end(), [&](const Slice& s) { return s.id == id; });
}

std::vector<SliceId> touched(const ChangeSpec& spec) {
    if (const auto* move = std::get_if<Move>(&spec)) return {move->slice};
    if (const auto* split = std::get_if<Split>(&spec)) return {split->slice};
    const Merge& merge = std::get<Merge>(spec);
    return {merge.lower, merge.upper};
}

std::set<std::string> hostsOf(const Slice& slice) {
    std::set<std::string> hosts;
    for (const Holder& h : slice.holders) hosts.insert(h.host);
    return hosts;
}

}  // namespace

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

bool Changes::busy(SliceId slice) const {
    return std::any_of(changes_.begin(), changes_.end(), [&](const auto& c) {
        const std::vector<SliceId> ids = touched(c.second.view.spec);
        const std::vector<SliceId>& fresh = c.second.fresh;
        return std::find(ids.begin(), ids.end(), slice) != ids.end() ||
               std::find(fresh.begin(), fresh.end(), slice) != fresh.end();
    });
}

// ---- beginning

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

// A complete host that lives, to copy from; the one that is moved away from where it can be.
std::string Changes::otherSource(const Change& change) const {
    const Move& move = std::get<Move>(change.view.spec);
    if (!dead_.contains(move.from)) return move.from;
    for (const Holder& h : layout_->find(move.slice)->holders)
        if (h.complete() && h.host != move.to && !dead_.contains(h.host)) return h.host;
    return {};
}

void Changes::beginMove(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    publish(withHolder(move.slice, move.to, HolderState::copying), out);
    enter(change, ChangeState::copying, now, limits_.copyWithin);
    change.source = otherSource(change);
    if (!change.source.empty()) out.push_back(StartCopy{change.view.id, move.slice, change.source, move.to});
}

// ---- a move's steps

void Changes::copied(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = under(id, ChangeState::copying);
    if (found == changes_.end()) return;
    Change& change = found->second;
    const Move& move = std::get<Move>(change.view.spec);
    if (change.source.empty()) {  // it has copied from a host that was given up meanwhile
        ++ignored_;
        return;
    }
    publish(withHolder(move.slice, move.to, HolderState::catchingUp), out);
    enter(change, ChangeState::catchingUp, now, limits_.catchUpWithin);
}

void Changes::caughtUp(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = under(id, ChangeState::catchingUp);
    if (found == changes_.end()) return;
    Change& change = found->second;
    const Move& move = std::get<Move>(change.view.spec);
    publish(withHolder(move.slice, move.to, HolderState::handingOver), out);
    enter(change, ChangeState::dual, now, limits_.confirmWithin);
    change.awaited = {move.to};
    change.awaitedAt = layout_->epoch();
    confirm(now, change, out);
}

// B is complete and says that it stands at the epoch which asks it: A is asked no more by new plans.
void Changes::handOver(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    std::vector<Slice> slices = withHolder(move.slice, move.to, HolderState::serving);
    for (Holder& h : sliceIn(slices, move.slice)->holders)
        if (h.host == move.from) h.state = HolderState::retired;
    publish(std::move(slices), out);
    release(now, change, move.from);
}

// The newest epoch is the one in which `leaving` is retired.
void Changes::release(Millis now, Change& change, const std::string& leaving) {
    change.releasing = layout_->epoch();
    change.leaving = leaving;
    enter(change, ChangeState::releasing, now, limits_.longestQuery);
}

// ---- splits and merges: hosts that hold a range complete hold its halves, or its union, complete as well.
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

// ---- what hosts report

void Changes::standsAt(Millis now, const std::string& host, Epoch epoch, LayoutActions& out) {
    if (epoch > layout_->epoch()) {  // it was told by somebody else: not to be believed
        ++ignored_;
        return;
    }
    Epoch& stands = stands_[host];
    for (auto& [id, change] : changes_)
        if (change.view.state == ChangeState::releasing && change.leaving == host &&
            stands < change.releasing &&
            epoch >= change.releasing)  // from here on it counts the longest query's time itself
            change.view.until = std::max(change.view.until, now + limits_.longestQuery);
    if (epoch > stands) ++revision_;
    stands = std::max(stands, epoch);
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_) ids.push_back(id);
    for (const ChangeId id : ids)
        if (const auto found = changes_.find(id); found != changes_.end()) confirm(now, found->second, out);
}

void Changes::confirm(Millis now, Change& change, LayoutActions& out) {
    if (change.view.state != ChangeState::dual && change.view.state != ChangeState::preparing) return;
    std::erase_if(change.awaited, [&](const std::string& host) {
        const auto stands = stands_.find(host);
        return stands != stands_.end() && stands->second >= change.awaitedAt;
    });
    if (!change.awaited.empty()) return;
    if (change.view.state == ChangeState::dual) return handOver(now, change, out);
    release(now, change, {});
    change.releasing = change.awaitedAt;
}

void Changes::released(Millis, Epoch epoch, LayoutActions& out) {
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_)
        if (change.view.state == ChangeState::releasing && epoch >= change.releasing) ids.push_back(id);
    for (const ChangeId id : ids) finish(changes_.find(id), out);
}

void Changes::died(Millis now, const std::string& host, LayoutActions& out) {
    if (!dead_.insert(host).second) return;
    ++revision_;
    stands_.erase(host);  // what it stood at died with it
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_) ids.push_back(id);
    for (const ChangeId id : ids)
        if (const auto found = changes_.find(id); found != changes_.end()) hostGone(now, found, host, out);
}

void Changes::returned(Millis, const std::string& host, LayoutActions& out) {
    if (dead_.erase(host) == 0) return;
    ++revision_;
    // A move that had lost every host to copy from may go on.
    for (auto& [id, change] : changes_) {
        const auto* const move = std::get_if<Move>(&change.view.spec);
        if (!move || change.view.state != ChangeState::copying || !change.source.empty()) continue;
        change.source = otherSource(change);
        if (!change.source.empty()) out.push_back(StartCopy{id, move->slice, change.source, move->to});
    }
}

void Changes::hostGone(Millis now, Changed found, const std::string& host, LayoutActions& out) {
    Change& change = found->second;
    const auto* const move = std::get_if<Move>(&change.view.spec);
    if (!move) {
        change.awaited.erase(host);  // the others serve; it hears of the epoch when it returns
        return confirm(now, change, out);
    }
    if (change.view.state == ChangeState::releasing && change.undoing)
        return;  // the source may die, the target leaves
    if (host == move->to) return undo(now, found, fmt::format("host {} died", host), out);
    const bool incomplete =
        change.view.state == ChangeState::copying || change.view.state == ChangeState::catchingUp;
    if (!incomplete || host != change.source) return;
    // What B has may lack what A alone had taken: it begins again from another complete host.
    change.source = otherSource(change);
    out.push_back(StopCopy{change.view.id, move->to});
    if (change.source.empty())
        return undo(now, found, fmt::format("host {} died, and no other lives to copy from", host), out);
    if (change.view.state == ChangeState::catchingUp)
        publish(withHolder(move->slice, move->to, HolderState::copying), out);
    enter(change, ChangeState::copying, now, limits_.copyWithin);
    out.push_back(StartCopy{change.view.id, move->slice, change.source, move->to});
}

// ---- ends

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

// ---- time

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
