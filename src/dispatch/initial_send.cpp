#include "dispatch/initial_send.hpp"

#include <algorithm>
#include <deque>

#include "coordinator/failure_tree.hpp"
#include "coordinator/width.hpp"

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr double kOddsPowerWithPeerLoad = 12;  // if the load of the other gateways is known

}  // namespace

void InitialSend::send(Request& request) {
    const Scores choice = policy::passing(state_.ranked(request));
    if (choice.empty()) {
        awaitHost(request, state_.now);
        return;
    }
    request.pending = false;
    request.width = widthOf(request, choice);
    if (request.width == 1)
        sendToOne(request, choice);
    else
        sendToSeveral(request, choice);
}

int InitialSend::widthOf(const Request& request, const Scores& choice) {
    const bool several = state_.isEnabled(Mechanism::widthTest) && request.hedgingAllowed() &&
                         state_.hasLatencyHeadroom(request);
    if (!several) return 1;
    static const std::deque<double> none;
    const RouteRecord& route = state_.routeOf(request);
    const auto recentOf = [&](int host) -> const std::deque<double>& {
        const auto& records = state_.hosts.at(host).records;
        const auto found = records.find(route.id);
        return found == records.end() ? none : found->second.recent;
    };
    return std::min(policy::width(choice, route.gainTargetS(), recentOf), request.arrival.maxAttempts);
}

// With the load of the other gateways the scores are more accurate, so the draw can favour the best hosts
// more.
double InitialSend::oddsPower() const {
    return state_.reportedLoad.active() ? kOddsPowerWithPeerLoad : policy::kOddsPower;
}

void InitialSend::sendToOne(Request& request, const Scores& choice) {
    const int host = policy::weightedDraw(choice, state_.random(), oddsPower());
    const auto reason = sender_.send(request, host, choice, AttemptKind::ordinary);
    if (reason) completion_.giveUpUnlessInFlight(request, *reason);
}

void InitialSend::sendToSeveral(Request& request, const Scores& choice) {
    double failures = 0;
    for (int i = 0; i < request.width; ++i) {
        const policy::Scored& scored = choice[static_cast<std::size_t>(i)];
        const AttemptKind kind = i == 0 ? AttemptKind::ordinary : AttemptKind::hedged;
        if (sender_.send(request, scored.server, choice, kind)) break;
        failures += scored.f / request.width;
    }
    request.failsOverIndependently = failures >= policy::kErroneous;
}

}  // namespace beechpoint::dispatch
