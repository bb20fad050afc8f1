// The hosts that a request may go to now, scored by the design: s = t/t_user + f/f_user, with the prices of reading a
// shared prefix again and of bytes between regions and zones in the same unit. A score of a (policy::kDropAbove) is as
// bad as losing the request, so what costs some share of its worth adds that share of a.
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

class Selection {
public:
    Selection(const Settings& settings, HostTable& hosts) : settings_(settings), hosts_(hosts) {}

    // All hosts that the rules allow for the request, whether or not they can take it now: of its service, serving, in no
    // evacuated zone, in an allowed region.
    std::vector<int> allowed(const Request& request) const;
    // Of these the ones that may be sent to now, best first: not full, within the cold allowance, not cut off (unless all
    // are), and without an attempt of this request out.
    std::vector<coordinator::policy::Scored> ranked(const Request& request, const RouteRecord& route,
                                                    ServiceState& service, Millis now) const;
    // Prompt tokens that the host is expected to have to read.
    double tokensToPrefill(const Request& request, const ServiceState& service, int host) const;

private:
    struct Option {
        int host = 0;
        double miss = 0;  // share of the shared prefix that is not expected there
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
