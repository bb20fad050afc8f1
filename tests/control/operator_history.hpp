/// Random histories of operators' calls in virtual time: the real OperatorCalls at three members over a model of the replicated log,
/// and operators that send their calls again, late, twice and to other members. Members are partitioned, frozen, restarted and drained;
/// answers are lost, and so is the knowledge whether a write took effect. Every answer that a member gives, also one that is lost, is
/// checked against the log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechpoint::control {

struct HistoryReport {
    std::vector<std::string> violations;
    std::size_t answers = 0;        // of any kind, by members
    std::size_t applied = 0;        // PUT and PATCH in the log
    std::size_t appliedAgain = 0;   // 200 to a call that was in the log before it came
    std::size_t rejected = 0;       // 4xx
    std::size_t reads = 0;          // 200 to GET
    std::size_t atStaleMember = 0;  // calls that came to a member that believed in an older view
    std::size_t unknown = 0;        // writes whose outcome was not known
    std::size_t viewChanges = 0;
};

/// Plays the history of one seed. The guarantees that are checked:
///   - a call enters the log at most once, on the version that it names, and only a valid one;
///   - 200 to a change means that this very call is in the log;
///   - 4xx means that it is not and never will be, and that the log justified it at some moment between the call's coming and the answer;
///   - a read and an evacuation are answered by the log of such a moment;
///   - once faults end every call ends, and all that was applied is acknowledged again wherever it is sent.
HistoryReport playHistory(std::uint64_t seed);

}  // namespace beechpoint::control
