#include "emulator/linear.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace beechpoint::emulator {

namespace {

struct State {
    std::string holder;  // empty: free, or whoever: `any`
    std::uint64_t fencingToken = 0;
    auto operator<=>(const State&) const = default;
};

// The states that the operation can leave behind, from `s`, after what the duty may do by itself; false: none.
bool apply(const State& s, const DutyOp& op, State& after) {
    if (op.kind == DutyOp::Kind::take) {
        if (!op.yes) return after = s, true;  // somebody held it: it may have been granted by itself
        if (op.fencingToken <= s.fencingToken) return false;
        return after = {op.member, op.fencingToken}, true;
    }
    const bool held =
        s.fencingToken == op.fencingToken ? s.holder == op.member : s.fencingToken < op.fencingToken;
    if (op.yes) {
        if (!held) return false;
        return after = {"", op.fencingToken}, true;
    }
    return after = s, true;  // its session may have ended before
}

class Search {
public:
    Search(const std::vector<DutyOp>& history, std::size_t tries) : ops_(history), tries_(tries) {
        std::sort(ops_.begin(), ops_.end(), [](auto& a, auto& b) { return a.from < b.from; });
        for (DutyOp& op : ops_)
            if (!op.known) op.to = std::numeric_limits<double>::infinity();
        done_.resize(ops_.size(), false);
    }
    bool run() { return go({}, 0); }

private:
    bool go(const State& s, std::size_t first) {
        while (first < ops_.size() && done_[first]) ++first;
        double soonest = std::numeric_limits<double>::infinity();
        bool left = false;
        for (std::size_t i = first; i < ops_.size(); ++i)
            if (!done_[i]) soonest = std::min(soonest, ops_[i].to), left = left || ops_[i].known;
        if (!left) return true;  // what is not known need never have happened
        if (tries_ == 0) return true;
        --tries_;
        if (!seen_.insert({done_, s}).second) return false;
        for (std::size_t i = first; i < ops_.size() && ops_[i].from <= soonest; ++i) {
            if (done_[i]) continue;
            State after;
            DutyOp op = ops_[i];
            if (!op.known) {
                op.yes = true;
                if (op.kind == DutyOp::Kind::take) op.fencingToken = s.fencingToken + 1;
            }
            if (!apply(s, op, after)) continue;
            done_[i] = true;
            if (go(after, first)) return true;
            done_[i] = false;
        }
        return false;
    }
    std::vector<DutyOp> ops_;
    std::size_t tries_;
    std::vector<bool> done_;
    std::set<std::pair<std::vector<bool>, State>> seen_;
};

}  // namespace

bool linearizable(const std::vector<DutyOp>& history, std::size_t tries) {
    return Search(history, tries).run();
}

std::string textOf(const std::vector<DutyOp>& history) {
    std::vector<DutyOp> ops = history;
    std::sort(ops.begin(), ops.end(), [](auto& a, auto& b) { return a.from < b.from; });
    std::string out;
    for (const DutyOp& op : ops)
        out += fmt::format("  {:9.1f} to {:9.1f} {} {} {} {}\n", op.from, op.to, op.member,
                           op.kind == DutyOp::Kind::take ? "takes" : "gives up",
                           !op.known ? "not known"
                           : op.yes  ? "yes"
                                     : "no",
                           op.fencingToken);
    return out;
}

}  // namespace beechpoint::emulator
