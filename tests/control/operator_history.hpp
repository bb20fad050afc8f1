/// Random histories of operators' calls in virtual time: the real OperatorCalls at three members over a model of the replicated log,
/// and operators that retry, delay and duplicate their calls and send them to other members. Members are partitioned, frozen, restarted
/// and drained; answers and the outcomes of writes are lost. Every answer of a member, including lost ones, is checked against the
/// log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechpoint::control {

struct HistoryReport {
    std::vector<std::string> violations;
    std::size_t answers = 0;        // of any kind, by members
    std::size_t applied = 0;        // PUT and PATCH in the log
    std::size_t appliedAgain = 0;   // 200 to a call that was in the log before it arrived
    std::size_t rejected = 0;       // 4xx
    std::size_t reads = 0;          // 200 to GET
    std::size_t atStaleMember = 0;  // calls that arrived at a member with an outdated view
    std::size_t unknown = 0;        // writes with unknown outcome
    std::size_t viewChanges = 0;
};

/// Simulates the history of one seed and checks these guarantees:
///   - a call enters the log at most once, on the version that it names, and only a valid one;
///   - 200 to a change means that this very call is in the log;
///   - 4xx means that it is not and never will be, and that the log justified it at some time between the call's arrival and the answer;
///   - a read or an evacuation is answered from the log at such a time;
///   - after the faults every call completes, and an applied call is acknowledged again at any member.
HistoryReport playHistory(std::uint64_t seed);

}  // namespace beechpoint::control
