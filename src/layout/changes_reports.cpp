// ChangeManager: handling of host reports for changes in progress.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "layout/changes.hpp"
#include "layout/changes_detail.hpp"

namespace beechpoint::layout {

void ChangeManager::copyCompleted(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = findInState(id, ChangeState::copying);
    if (found == changes_.end()) return;
    Change& change = found->second;
    const Move& move = std::get<Move>(change.view.spec);
    if (change.source.empty()) {  // it copied from a source that was abandoned since
        ++ignoredReports_;
        return;
    }
    publish(slicesWithHolder(move.slice, move.to, HolderState::catchingUp), out);
    enterState(change, ChangeState::catchingUp, now, limits_.catchUpTimeout);
}

void ChangeManager::catchUpCompleted(Millis now, ChangeId id, LayoutActions& out) {
    const auto found = findInState(id, ChangeState::catchingUp);
    if (found == changes_.end()) return;
    Change& change = found->second;
    const Move& move = std::get<Move>(change.view.spec);
    publish(slicesWithHolder(move.slice, move.to, HolderState::handingOver), out);
    enterState(change, ChangeState::dual, now, limits_.confirmTimeout);
    change.awaitedHosts = {move.to};
    change.awaitedEpoch = layout_->epoch();
    checkConfirmations(now, change, out);
}

// B is complete and has confirmed the epoch that makes it selectable, so new plans stop selecting A.
void ChangeManager::completeHandover(Millis now, Change& change, LayoutActions& out) {
    const Move& move = std::get<Move>(change.view.spec);
    std::vector<Slice> slices = slicesWithHolder(move.slice, move.to, HolderState::serving);
    for (Holder& h : findSlice(slices, move.slice)->holders)
        if (h.host == move.from) h.state = HolderState::retired;
    publish(std::move(slices), out);
    startRelease(now, change, move.from);
}

// Must be called when the newest epoch is the one that retires `departingHost`.
void ChangeManager::startRelease(Millis now, Change& change, const std::string& departingHost) {
    change.releaseEpoch = layout_->epoch();
    change.departingHost = departingHost;
    enterState(change, ChangeState::releasing, now, limits_.maxQueryDuration);
}

void ChangeManager::epochConfirmed(Millis now, const std::string& host, Epoch epoch, LayoutActions& out) {
    if (epoch > layout_->epoch()) {  // not published by this manager
        ++ignoredReports_;
        return;
    }
    Epoch& confirmed = confirmedEpochs_[host];
    for (auto& [id, change] : changes_)
        if (change.view.state == ChangeState::releasing && change.departingHost == host &&
            confirmed < change.releaseEpoch &&
            epoch >= change.releaseEpoch)  // the host enforces maxQueryDuration from here on
            change.view.deadline = std::max(change.view.deadline, now + limits_.maxQueryDuration);
    if (epoch > confirmed) ++revision_;
    confirmed = std::max(confirmed, epoch);
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_) ids.push_back(id);
    for (const ChangeId id : ids)
        if (const auto found = changes_.find(id); found != changes_.end())
            checkConfirmations(now, found->second, out);
}

void ChangeManager::checkConfirmations(Millis now, Change& change, LayoutActions& out) {
    if (change.view.state != ChangeState::dual && change.view.state != ChangeState::preparing) return;
    std::erase_if(change.awaitedHosts, [&](const std::string& host) {
        const auto confirmed = confirmedEpochs_.find(host);
        return confirmed != confirmedEpochs_.end() && confirmed->second >= change.awaitedEpoch;
    });
    if (!change.awaitedHosts.empty()) return;
    if (change.view.state == ChangeState::dual) return completeHandover(now, change, out);
    startRelease(now, change, {});
    change.releaseEpoch = change.awaitedEpoch;
}

void ChangeManager::epochReleased(Millis, Epoch epoch, LayoutActions& out) {
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_)
        if (change.view.state == ChangeState::releasing && epoch >= change.releaseEpoch) ids.push_back(id);
    for (const ChangeId id : ids) finish(changes_.find(id), out);
}

void ChangeManager::hostDied(Millis now, const std::string& host, LayoutActions& out) {
    if (!deadHosts_.insert(host).second) return;
    ++revision_;
    confirmedEpochs_.erase(host);  // its confirmed epoch is void
    std::vector<ChangeId> ids;
    for (const auto& [id, change] : changes_) ids.push_back(id);
    for (const ChangeId id : ids)
        if (const auto found = changes_.find(id); found != changes_.end())
            handleHostDeath(now, found, host, out);
}

void ChangeManager::hostReturned(Millis, const std::string& host, LayoutActions& out) {
    if (deadHosts_.erase(host) == 0) return;
    ++revision_;
    // Resumes moves that had no live copy source.
    for (auto& [id, change] : changes_) {
        const auto* const move = std::get_if<Move>(&change.view.spec);
        if (!move || change.view.state != ChangeState::copying || !change.source.empty()) continue;
        change.source = chooseCopySource(change);
        if (!change.source.empty()) out.push_back(StartCopy{id, move->slice, change.source, move->to});
    }
}

void ChangeManager::handleHostDeath(Millis now, ChangeIterator found, const std::string& host,
                                    LayoutActions& out) {
    Change& change = found->second;
    const auto* const move = std::get_if<Move>(&change.view.spec);
    if (!move) {
        change.awaitedHosts.erase(host);  // the others serve; it receives the epoch when it returns
        return checkConfirmations(now, change, out);
    }
    if (change.view.state == ChangeState::releasing && change.undoing)
        return;  // the target is being removed, so the death of either host has no effect
    if (host == move->to) return undo(now, found, fmt::format("host {} died", host), out);
    const bool isIncomplete =
        change.view.state == ChangeState::copying || change.view.state == ChangeState::catchingUp;
    if (!isIncomplete || host != change.source) return;
    // B may lack writes that only A had received, so the copy restarts from another complete host.
    change.source = chooseCopySource(change);
    out.push_back(StopCopy{change.view.id, move->to});
    if (change.source.empty())
        return undo(now, found, fmt::format("host {} died, and no other live host has a complete copy", host),
                    out);
    if (change.view.state == ChangeState::catchingUp)
        publish(slicesWithHolder(move->slice, move->to, HolderState::copying), out);
    enterState(change, ChangeState::copying, now, limits_.copyTimeout);
    out.push_back(StartCopy{change.view.id, move->slice, change.source, move->to});
}

// Chooses a live complete host to copy from, preferring the source of the move. Returns empty if there is
// none.
std::string ChangeManager::chooseCopySource(const Change& change) const {
    const Move& move = std::get<Move>(change.view.spec);
    if (!deadHosts_.contains(move.from)) return move.from;
    for (const Holder& h : layout_->find(move.slice)->holders)
        if (h.isComplete() && h.host != move.to && !deadHosts_.contains(h.host)) return h.host;
    return {};
}

}  // namespace beechpoint::layout
