// Mixed integer program, solved with GLPK. It has a binary variable for each candidate move, a variable for
// each host's load above its margin, and a binary variable for each slice whose holders keep sharing a site.
// The objective minimizes shared sites, then load above the margin, then bytes, with weights that enforce
// this order.
#include <glpk.h>

#include <algorithm>
#include <map>
#include <memory>

#include "layout/planner.hpp"

namespace beechpoint::layout {

namespace {

// Owns a GLPK problem and collects its coefficients.
struct Problem {
    Problem() : handle(glp_create_prob()) { glp_set_obj_dir(handle, GLP_MIN); }
    ~Problem() { glp_delete_prob(handle); }
    Problem(const Problem&) = delete;
    Problem& operator=(const Problem&) = delete;
    int row(int kind, double lower, double upper) {
        const int r = glp_add_rows(handle, 1);
        glp_set_row_bnds(handle, r, kind, lower, upper);
        return r;
    }
    int column(double cost, bool binary) {
        const int c = glp_add_cols(handle, 1);
        if (binary)
            glp_set_col_kind(handle, c, GLP_BV);
        else
            glp_set_col_bnds(handle, c, GLP_LO, 0, 0);
        glp_set_obj_coef(handle, c, cost);
        return c;
    }
    void setCoefficient(int r, int c, double value) {
        rows.push_back(r);
        columns.push_back(c);
        values.push_back(value);
    }
    void load() {
        glp_load_matrix(handle, static_cast<int>(values.size()) - 1, rows.data(), columns.data(),
                        values.data());
    }
    glp_prob* handle;
    std::vector<int> rows{0}, columns{0};  // GLPK indexes from 1
    std::vector<double> values{0};
};

double loadPerHolder(const FleetSlice& s) {
    return s.load / static_cast<double>(std::max<std::size_t>(1, s.holders.size()));
}

}  // namespace

bool solve(const Fleet& fleet, const PlanLimits& limits, const std::vector<Candidate>& candidates,
           std::vector<std::size_t>& chosen, bool& timedOut) {
    chosen.clear();
    timedOut = false;
    if (candidates.empty()) return false;
    glp_term_out(GLP_OFF);
    double totalBytes = 1e-9, smallestLoad = 1e300;
    for (const FleetSlice& s : fleet.slices) {
        totalBytes += s.bytes;
        if (s.load > 0) smallestLoad = std::min(smallestLoad, loadPerHolder(s));
    }
    // The total weight of all bytes is less than that of the smallest excess load, and the total weight of
    // all excess load is less than that of one shared site.
    const double excessWeight = 10.0 / std::max(1e-9, smallestLoad);
    double totalLoad = 0;
    for (const FleetSlice& s : fleet.slices) totalLoad += s.load;
    const double siteWeight = 10 + 10 * excessWeight * totalLoad;

    Problem problem;
    const int moveCountRow = problem.row(GLP_UP, 0, static_cast<double>(limits.maxMoves));
    std::map<std::size_t, int> hostRows, sliceRows;
    std::vector<double> load(fleet.hosts.size(), 0);
    for (const FleetSlice& s : fleet.slices)
        for (const std::size_t h : s.holders) load[h] += loadPerHolder(s);
    const auto rowOfHost = [&](std::size_t h) {
        const auto [found, inserted] = hostRows.emplace(h, 0);
        if (!inserted) return found->second;
        const double headroom = fleet.hosts[h].capacity * (1 - limits.margin) - load[h];
        found->second = problem.row(GLP_UP, 0, headroom);  // incoming - outgoing - excess <= headroom
        problem.setCoefficient(found->second, problem.column(excessWeight, false), -1);
        return found->second;
    };
    std::vector<int> columns;
    for (const Candidate& c : candidates) {
        const FleetSlice& s = fleet.slices[c.slice];
        const int x = problem.column(s.bytes / totalBytes, true);
        columns.push_back(x);
        problem.setCoefficient(moveCountRow, x, 1);
        problem.setCoefficient(rowOfHost(c.from), x, -loadPerHolder(s));
        problem.setCoefficient(rowOfHost(c.to), x, loadPerHolder(s));
        const auto [found, inserted] = sliceRows.emplace(c.slice, 0);
        if (inserted) {
            bool sharesSite = false;
            for (std::size_t i = 0; i < s.holders.size(); ++i)
                for (std::size_t j = i + 1; j < s.holders.size(); ++j)
                    sharesSite |= fleet.hosts[s.holders[i]].site == fleet.hosts[s.holders[j]].site;
            // At most one move; for a shared site, exactly one move or the binary for an unresolved site.
            found->second = problem.row(sharesSite ? GLP_FX : GLP_UP, 1, 1);
            if (sharesSite) problem.setCoefficient(found->second, problem.column(siteWeight, true), 1);
        }
        problem.setCoefficient(found->second, x, 1);
    }
    problem.load();

    glp_iocp options;
    glp_init_iocp(&options);
    options.presolve = GLP_ON;
    options.msg_lev = GLP_MSG_OFF;
    options.tm_lim = limits.solverTimeoutMs;
    options.mip_gap = 0.001;
    const int result = glp_intopt(problem.handle, &options);
    const int status = glp_mip_status(problem.handle);
    timedOut = result == GLP_ETMLIM;
    if (status != GLP_OPT && status != GLP_FEAS) return false;
    for (std::size_t i = 0; i < columns.size(); ++i)
        if (glp_mip_col_val(problem.handle, columns[i]) > 0.5) chosen.push_back(i);
    return true;
}

}  // namespace beechpoint::layout
