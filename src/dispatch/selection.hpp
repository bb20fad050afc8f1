/// The hosts that a request may go to now, scored by the retry design (Zheng and Lyu, "A Distributed Replication Strategy
/// Evaluation and Selection Framework for Fault Tolerant Web Services", section 4): s = t/t_user + f/f_user. Costs of a
/// repeated prefill and of bytes between regions and zones are added in the same unit. A score of a (policy::kDropAbove) is
/// as bad as losing the request, so what costs some part of its value adds that part of a.
///
/// The gatherer's coordinator ranks the replicas of a shard by the same design (coordinator/ranking.hpp). Score, ranking,
/// draw, width test and failure tree are shared (coordinator/score.hpp, width.hpp, failure_tree.hpp); only which hosts come
/// into question and what is added to the score stands in both.
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

/// Reads the host table and prunes the slots' logs of sends; owns nothing.
class Selection {
public:
    Selection(const Settings& settings, HostTable& hosts) : settings_(settings), hosts_(hosts) {}

    /// Indexes of all hosts that the rules allow for the request, whether or not they can take it now: of its service, serving, in no
    /// evacuated zone, in an allowed region.
    [[nodiscard]] std::vector<int> allowed(const Request& request) const;
    /// Of these the ones that may be sent to now, best first: not full, within the slow start's bound, not partitioned
    /// (unless all are), and without an attempt of this request in flight.
    [[nodiscard]] std::vector<coordinator::policy::Scored> ranked(const Request& request,
                                                                  const RouteRecord& route,
                                                                  ServiceState& service, Millis now) const;
    /// Prompt tokens that the host is expected to have to prefill.
    [[nodiscard]] double tokensToPrefill(const Request& request, const ServiceState& service, int host) const;

private:
    struct Option {
        int host = 0;
        double miss = 0;  // part of the shared prefix that is not expected there
    };
    std::vector<Option> options(const Request& request, const ServiceState& service) const;
    std::vector<Option> withAffinity(const Request& request, const std::vector<int>& hosts) const;
    bool regional(const Request& request, const std::vector<int>& hosts) const;
    double crossingScore(const Request& request, const Host& host) const;
    double crossingScore(double price, Millis delay, double bytes, const Request& request) const;
    double prefillScore(const Request& request, double miss) const;
    bool takesNow(HostSlot& slot, const Request& request, const ServiceState& service, Millis now) const;

    const Settings& settings_;
    HostTable& hosts_;
};

}  // namespace beechpoint::dispatch
