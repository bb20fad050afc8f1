// Whether a history of operations on one duty can have come from one register that changes in an instant (Wing and
// Gong's search, with Lowe's memory of what was tried). The register is a duty as its users see it: who holds it and
// under which fencing number; by itself it may become free (a session ended) and be granted to anybody, under a number
// one higher each time. An operation of unknown outcome may have had its effect at any time from its start on, or never.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechpoint::emulator {

struct DutyOp {
    enum class Kind { take, giveUp };
    Kind kind = Kind::take;
    std::string member;
    double from = 0, to = 0;  // called, answered; not known: to is ignored
    bool known = true, yes = false;
    std::uint64_t fencingToken = 0;  // take: of the answer, where yes; giveUp: of the call
};

// At most some hundreds of operations that overlap little; `tries` bounds the search (a history that exhausts it is
// called good: the search never calls a good one bad).
bool linearizable(const std::vector<DutyOp>& history, std::size_t tries = 200'000);

// A line an operation, in the order of their calls: for whoever looks at a history that was found bad.
std::string textOf(const std::vector<DutyOp>& history);

}  // namespace beechpoint::emulator
