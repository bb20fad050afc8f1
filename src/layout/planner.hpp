// Plans the next slice moves. Minimizes the bytes copied so that the holders of every slice are in different
// sites and no host carries more than its capacity less a margin, with a limited number of concurrent moves.
// Does no I/O and takes no ownership of its arguments. The greedy plan is deterministic for a given fleet. So
// is the solver's, unless it times out; the better of its best solution and the greedy plan is then used.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "layout/changes.hpp"

namespace beechpoint::layout {

struct FleetHost {
    std::string name;
    std::string site;
    double capacity = 1;  // same unit as FleetSlice::load
};

struct FleetSlice {
    SliceId id = 0;
    double load = 0;                   // total; its holders share it equally
    double bytes = 0;                  // to copy
    std::vector<std::size_t> holders;  // indexes into Fleet::hosts
};

struct Fleet {
    std::vector<FleetHost> hosts;
    std::vector<FleetSlice> slices;
};

struct PlanLimits {
    std::size_t maxMoves = 8;     // concurrent moves
    double margin = 0.2;          // fraction of a host's capacity to keep free
    int solverTimeoutMs = 2'000;  // 0 disables the solver
};

struct PlannedMove {
    Move move;
    double bytes = 0;
    std::string reason;
};

struct MovePlan {
    std::vector<PlannedMove> moves;
    double bytes = 0;
    // Before and after the moves: highest load/capacity of any host; number of slices with two holders in one
    // site; load above the margin, summed over all hosts.
    double maxUtilizationBefore = 0, maxUtilizationAfter = 0;
    std::size_t sameSiteBefore = 0, sameSiteAfter = 0;
    double excessBefore = 0, excessAfter = 0;
    bool fromSolver = false;
    bool solverTimedOut = false;
};

// Throws InvalidLayout if a slice has no holder, an unknown host or a duplicate one.
MovePlan plan(const Fleet& fleet, const PlanLimits& limits);

// ---- building blocks, for tests and benchmarks

// A possible move.
struct Candidate {
    std::size_t slice, from, to;  // indexes into Fleet::slices and Fleet::hosts
};
MovePlan greedyPlan(const Fleet& fleet, const PlanLimits& limits);
// Selects candidates with a mixed integer program. Returns false if no solution was found in time.
bool solve(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& candidates,
           std::vector<std::size_t>& chosen, bool& timedOut);

}  // namespace beechpoint::layout
