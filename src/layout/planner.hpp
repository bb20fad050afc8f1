// Plans the next moves of slices: as few bytes as possible, so that every slice's holders stand in different
// sites and no host carries more than its capacity less a margin, with at most so many moves at once. Free of
// I/O; it owns nothing of what it is handed. The greedy plan is the same for the same fleet; the solver's
// too, unless its time runs out, when the better of what it found and the greedy plan is taken.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "layout/changes.hpp"

namespace beechpoint::layout {

struct FleetHost {
    std::string name;
    std::string site;
    double capacity = 1;  // in the slices' unit of load
};

struct FleetSlice {
    SliceId id = 0;
    double load = 0;                   // of all its holders, who carry even parts of it
    double bytes = 0;                  // to copy
    std::vector<std::size_t> holders;  // indexes of hosts
};

struct Fleet {
    std::vector<FleetHost> hosts;
    std::vector<FleetSlice> slices;
};

struct PlanLimits {
    std::size_t moves = 8;  // at once
    double margin = 0.2;    // of a host's capacity that stays free
    int solverMs = 2'000;   // 0: greedy only
};

struct PlannedMove {
    Move move;
    double bytes = 0;
    std::string why;
};

struct MovePlan {
    std::vector<PlannedMove> moves;
    double bytes = 0;
    // Highest load over capacity of a host; slices with two holders in one site; work over the margin, of all
    // hosts.
    double worstBefore = 0, worstAfter = 0;
    std::size_t sameSiteBefore = 0, sameSiteAfter = 0;
    double excessBefore = 0, excessAfter = 0;
    bool bySolver = false;
    bool solverRanOut = false;  // of its time
};

// Throws BadLayout where a slice names no such host, or one twice.
MovePlan plan(const Fleet& fleet, const PlanLimits& limits);

// ---- the parts of it, for tests and comparison

struct Candidate {
    std::size_t slice, from, to;  // indexes
};
MovePlan greedyPlan(const Fleet& fleet, const PlanLimits& limits);
// Chooses among candidates by a mixed integer program. False: nothing was found in time.
bool solve(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& candidates,
           std::vector<std::size_t>& chosen, bool& ranOut);

}  // namespace beechpoint::layout
