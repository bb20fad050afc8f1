#include "dispatch/load_reporter.hpp"

#include <utility>

namespace beechpoint::dispatch {

void LoadReporter::report() {
    if (!state_.isEnabled(Mechanism::loadReports)) return;
    state_.reportedLoad.expire(state_.now);
    state_.services.setPeerLoadKnown(state_.reportedLoad.active());
    ReportLoad changes = takeChanges();
    if (!changes.hosts.empty()) state_.actions.add(std::move(changes));
}

ReportLoad LoadReporter::takeChanges() {
    ReportLoad changes;
    for (int i = 0; i < static_cast<int>(state_.hosts.size()); ++i) {
        HostSlot& slot = state_.hosts.at(i);
        if (!slot.loadChanged) continue;
        slot.loadChanged = false;
        const std::uint32_t key = hostKey(slot.host.instanceId);
        changes.hosts.push_back({key, slot.waiting, slot.waitingPrefillS});
        if (slot.newSlowness > 0) changes.speeds.push_back({key, slot.newSlowness});
        slot.newSlowness = 0;
    }
    return changes;
}

}  // namespace beechpoint::dispatch
