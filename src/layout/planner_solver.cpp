// The mixed integer program, by GLPK: a variable for each move that may be made, one for what each host
// carries over its margin, one for each slice whose holders stay in one site. Least is: sites left wrong,
// then work over the margin, then bytes, by weights that keep this order.
#include <glpk.h>

#include <algorithm>
#include <map>
#include <memory>

#include "layout/planner.hpp"

namespace beechpoint::layout {

namespace {

struct Problem {
    Problem() : p(glp_create_prob()) { glp_set_obj_dir(p, GLP_MIN); }
    ~Problem() { glp_delete_prob(p); }
    Problem(const Problem&) = delete;
    Problem& operator=(const Problem&) = delete;
    int row(int kind, double lower, double upper) {
        const int r = glp_add_rows(p, 1);
        glp_set_row_bnds(p, r, kind, lower, upper);
        return r;
    }
    int column(double cost, bool binary) {
        const int c = glp_add_cols(p, 1);
        if (binary)
            glp_set_col_kind(p, c, GLP_BV);
        else
            glp_set_col_bnds(p, c, GLP_LO, 0, 0);
        glp_set_obj_coef(p, c, cost);
        return c;
    }
    void at(int r, int c, double value) {
        rows.push_back(r);
        columns.push_back(c);
        values.push_back(value);
    }
    void load() {
        glp_load_matrix(p, static_cast<int>(values.size()) - 1, rows.data(), columns.data(), values.data());
    }
    glp_prob* p;
    std::vector<int> rows{0}, columns{0};  // GLPK counts from 1
    std::vector<double> values{0};
};

double share(const FleetSlice& s) {
    return s.load / static_cast<double>(std::max<std::size_t>(1, s.holders.size()));
}

}  // namespace

bool solve(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& candidates,
           std::vector<std::size_t>& chosen, bool& ranOut) {
    chosen.clear();
    ranOut = false;
    if (candidates.empty()) return false;
    glp_term_out(GLP_OFF);
    double bytes = 1e-9, least = 1e300;
    for (const FleetSlice& s : fleet.slices) {
        bytes += s.bytes;
        if (s.load > 0) least = std::min(least, share(s));
    }
    // All bytes there are weigh less than the smallest part of work left over, and that less than one site.
    const double perWork = 10.0 / std::max(1e-9, least);
    double work = 0;
    for (const FleetSlice& s : fleet.slices) work += s.load;
    const double perSite = 10 + 10 * perWork * work;

    Problem problem;
    const int most = problem.row(GLP_UP, 0, static_cast<double>(limits.moves));
    std::map<std::size_t, int> hostRow, sliceRow;
    std::vector<double> load(fleet.hosts.size(), 0);
    for (const FleetSlice& s : fleet.slices)
        for (const std::size_t h : s.holders) load[h] += share(s);
    const auto rowOfHost = [&](std::size_t h) {
        const auto [found, fresh] = hostRow.emplace(h, 0);
        if (!fresh) return found->second;
        const double free = fleet.hosts[h].capacity * (1 - limits.margin) - load[h];
        found->second = problem.row(GLP_UP, 0, free);  // in - out - over <= what is free
        problem.at(found->second, problem.column(perWork, false), -1);
        return found->second;
    };
    std::vector<int> columns;
    for (const Candidate& c : candidates) {
        const FleetSlice& s = fleet.slices[c.slice];
        const int x = problem.column(s.bytes / bytes, true);
        columns.push_back(x);
        problem.at(most, x, 1);
        problem.at(rowOfHost(c.from), x, -share(s));
        problem.at(rowOfHost(c.to), x, share(s));
        const auto [found, fresh] = sliceRow.emplace(c.slice, 0);
        if (fresh) {
            bool wrong = false;
            for (std::size_t i = 0; i < s.holders.size(); ++i)
                for (std::size_t j = i + 1; j < s.holders.size(); ++j)
                    wrong |= fleet.hosts[s.holders[i]].site == fleet.hosts[s.holders[j]].site;
            found->second =
                problem.row(wrong ? GLP_FX : GLP_UP, 1, 1);  // moved once at most; or once, or left wrong
            if (wrong) problem.at(found->second, problem.column(perSite, true), 1);
        }
        problem.at(found->second, x, 1);
    }
    problem.load();

    glp_iocp how;
    glp_init_iocp(&how);
    how.presolve = GLP_ON;
    how.msg_lev = GLP_MSG_OFF;
    how.tm_lim = limits.solverMs;
    how.mip_gap = 0.001;
    const int result = glp_intopt(problem.p, &how);
    const int status = glp_mip_status(problem.p);
    ranOut = result == GLP_ETMLIM;
    if (status != GLP_OPT && status != GLP_FEAS) return false;
    for (std::size_t i = 0; i < columns.size(); ++i)
        if (glp_mip_col_val(problem.p, columns[i]) > 0.5) chosen.push_back(i);
    return true;
}

}  // namespace beechpoint::layout
