#include "dispatch/failover.hpp"

#include <vector>

#include "coordinator/failure_tree.hpp"

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

void Failover::retry(Request& request, int failed) {
    if (!policy::failsOver(request.inFlightCount(), request.width, request.failsOverIndependently)) return;
    if (const auto reason = sender_.forbidden(request)) {
        completion_.giveUpUnlessInFlight(request, *reason);
        return;
    }
    const std::vector<policy::Scored> all = state_.ranked(request);
    const std::vector<policy::Scored> choice = policy::passing(all);
    if (choice.empty()) {
        if (request.inFlightCount() == 0) awaitHost(request, state_.now);
        return;
    }
    const auto tried = [&](int host) { return request.triedAt(state_.hosts.at(host).host.instanceId); };
    const int target = policy::nextTarget(all, choice, failed, tried);
    const auto reason = sender_.send(request, target, choice, AttemptKind::ordinary);
    if (reason) completion_.giveUpUnlessInFlight(request, *reason);
}

}  // namespace beechpoint::dispatch
