/// Scores the hosts that a request can be sent to by the retry design (Zheng and Lyu, "A Distributed
/// Replication Strategy Evaluation and Selection Framework for Fault Tolerant Web Services", section 4): s =
/// t/t_user + f/f_user. The costs of repeated prefills and of transfers between regions and zones are added
/// in the same unit: a score of policy::kDropAbove equals the loss of the request, so a cost of x times the
/// request's value adds x * kDropAbove.
///
/// The gatherer's coordinator ranks the replicas of a shard by the same design (coordinator/ranking.hpp).
/// Score, ranking, draw, width test and failure tree are shared (coordinator/score.hpp, width.hpp,
/// failure_tree.hpp); the set of eligible hosts and the additional costs are separate.
#pragma once

#include <string>
#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/predictor.hpp"
#include "dispatch/request.hpp"

namespace beechpoint::dispatch {

struct ServiceState;

/// Reads the host table and expires entries of the slots' slow-start logs. Owns nothing.
class Selection {
public:
    Selection(const Settings& settings, HostTable& hosts) : settings_(settings), hosts_(hosts) {}

    /// Indexes of all hosts that may serve the request, whether or not they can take it now: hosts of its
    /// service that are serving, in no evacuated zone and in an allowed region.
    [[nodiscard]] std::vector<int> allowed(const Request& request) const;
    /// The allowed hosts that can take the request now, best score first: not full, within the slow-start
    /// limit, not partitioned (unless all are), and without an attempt of this request in flight.
    [[nodiscard]] std::vector<coordinator::policy::Scored> ranked(const Request& request,
                                                                  const RouteRecord& route,
                                                                  ServiceState& service, Millis now) const;
    /// Number of prompt tokens that the host is expected to prefill.
    [[nodiscard]] double tokensToPrefill(const Request& request, const ServiceState& service, int host) const;

private:
    struct Candidate {
        int host = 0;
        double missRatio = 0;  // fraction of the shared prefix that is not expected in the host's cache
    };
    std::vector<Candidate> candidates(const Request& request, const ServiceState& service) const;
    std::vector<Candidate> withAffinity(const Request& request, const std::vector<int>& hosts) const;
    bool usesRegionalAffinity(const Request& request, const std::vector<int>& hosts) const;
    double transferPenalty(const Request& request, const Host& host) const;
    double transferPenalty(double price, Millis delay, double bytes, const Request& request) const;
    double prefillPenalty(const Request& request, double missRatio) const;
    bool canTake(HostSlot& slot, const Request& request, const ServiceState& service, Millis now) const;

    const Settings& settings_;
    HostTable& hosts_;
};

}  // namespace beechpoint::dispatch
