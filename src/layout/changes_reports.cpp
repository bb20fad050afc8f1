// What hosts report while changes are under way, and the step each report leads to.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "layout/changes.hpp"
#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

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

// A complete host that lives, to copy from; the one that is moved away from where it can be.
std::string Changes::otherSource(const Change& change) const {
    const Move& move = std::get<Move>(change.view.spec);
    if (!dead_.contains(move.from)) return move.from;
    for (const Holder& h : layout_->find(move.slice)->holders)
        if (h.complete() && h.host != move.to && !dead_.contains(h.host)) return h.host;
    return {};
}

}  // namespace beechpoint::layout
