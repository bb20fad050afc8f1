// What must hold of a soak, judged from the records once it is over. Free of I/O. Each function returns its findings, one text each.
#pragma once

#include <string>
#include <vector>

#include "soak_clients.hpp"
#include "soak_history.hpp"
#include "surroundings.hpp"

namespace beechpoint::system_test {

using Findings = std::vector<std::string>;

struct SoakRecord {
    std::vector<Attempt> attempts;
    std::vector<HostRun> runs;
    std::vector<DutyCall> dutyCalls;
    KeyHistory keys;
    DisruptionHistory disruptions;
    Period healthy;  // nothing was disrupted, the duty's holder is settled
};

// No host saw a key, no request was run for another tenant or for a key that nobody held, none that can't be repeated ran twice.
Findings checkRuns(const SoakRecord& record);
// Every answer is whole or visibly broken, and a request that was read by a process that went on, or ended as planned, has one.
Findings checkAnswers(const SoakRecord& record);
// One body of a window, one holder of a token, no falling tokens, no turns of holders within the lease.
Findings checkDutyCalls(const std::vector<DutyCall>& calls);
// Every window of the healthy stretch is reported in time, and the counts are those of the hosts.
Findings checkUsage(const SoakRecord& record);
// Whether an accepted report of each window of the period is there.
bool allReported(const std::vector<DutyCall>& calls, const Period& period);

}  // namespace beechpoint::system_test
