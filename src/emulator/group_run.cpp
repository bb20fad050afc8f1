#include "emulator/group_run.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::emulator {

namespace {

// The director's stage in virtual time.
class VirtualStage : public GroupStage {
public:
    explicit VirtualStage(GroupWorld& world) : world_(world) {}
    void kill(int m) override { world_.kill(m); }
    void start(int m) override { world_.restart(m); }
    void end(int m) override {
        if (upgraded_.erase(m) == 0) return world_.leave(m);
        world_.kill(m);
        world_.restart(m);
    }
    void stop(int m) override { world_.stop(m); }
    void proceed(int m) override { world_.proceed(m); }
    // One process here: the old one ends in order, and the new one has its address from then on.
    void upgrade(int m) override {
        if (world_.stopped(m)) return;
        world_.leave(m);
        upgraded_.insert(m);
    }
    void endNewest(int m) override { end(m); }  // the old one joins anew: here, too, a new life
    void wipe(int m) override { world_.wipe(m); }
    void cutPair(int from, int to, bool on) override { world_.cut(from, to, on); }
    void lose(double share) override { world_.loss(share); }
    void delay(Millis more) override { world_.spike(more); }
    void replayOld() override { world_.replayOld(); }
    bool runs(int m) const override { return world_.alive(m); }
    bool whole(int m) const override {
        const auto role = world_.alive(m) ? world_.core(m).raft().role() : raft::Role::empty;
        return role == raft::Role::learner || role >= raft::Role::follower;
    }
    int leads() const override { return world_.leader(); }
    int holds(int singletonRole) const override {
        return world_.holder(GroupWorld::singletonRoleName(singletonRole));
    }
    std::string roleOf(int m) const override {
        return world_.alive(m) ? nameOf(world_.core(m).raft().role()) : "";
    }
    void takeDuty(int m, int singletonRole) override {
        world_.take(m, GroupWorld::singletonRoleName(singletonRole));
    }
    void giveDuty(int m, int singletonRole, int to) override {
        world_.giveUp(m, GroupWorld::singletonRoleName(singletonRole), to >= 0 ? GroupWorld::name(to) : "");
    }

private:
    GroupWorld& world_;
    std::set<int> upgraded_;
};

std::string times(std::vector<Millis> list) {
    if (list.empty()) return "none";
    std::sort(list.begin(), list.end());
    return fmt::format("{} of them, median {:.2f} s, worst {:.2f} s", list.size(),
                       list[list.size() / 2] / 1000, list.back() / 1000);
}
std::string counts(const std::map<std::string, std::uint64_t>& of) {
    std::string out;
    for (const auto& [what, n] : of) out += fmt::format("{}{} {}", out.empty() ? "" : ", ", what, n);
    return out.empty() ? "none" : out;
}

}  // namespace

GroupPlan planOf(const GroupScenario& s) {
    GroupPlan plan;
    plan.members = s.members, plan.voters = s.voters, plan.willing = s.willing,
    plan.singletonRoles = s.singletonRoles;
    plan.length = s.length, plan.quiet = s.quiet;
    plan.faultEvery = 0;
    plan.lasting = s.folder;
    plan.scripted = true;
    plan.delayFrom = s.delayMs[0], plan.delayTo = s.delayMs[1];
    plan.twice = s.twice, plan.spoilt = s.spoilt;
    if (s.broken == "noMargin") plan.times.drift = plan.times.margin = plan.times.stabilization = 0;
    if (s.broken == "forgetsVote") plan.safeguards.recovery = false;
    if (s.broken == "noPreVote") plan.safeguards.preVote = false;
    if (s.broken == "olderTerm") plan.safeguards.ownTermCommit = false;
    if (s.broken == "noFence") plan.fencesChecked = false;
    if (s.broken == "notProlonged") plan.times.extendOnElection = false;
    return plan;
}
GroupSweep sweepGroup(const GroupScenario& scenario, std::uint64_t from, std::uint64_t count) {
    GroupSweep sum;
    for (std::uint64_t seed = from; seed < from + count; ++seed) {
        const GroupReport r = runGroupVirtual(scenario, seed).report;
        ++sum.seeds;
        sum.handOvers += r.handOvers, sum.lateActs += r.lateActs, sum.datagrams += r.datagrams;
        sum.mostTerms = std::max(sum.mostTerms, r.terms);
        for (const auto& [what, n] : r.outcomes) sum.operations += n;
        for (const auto& [what, n] : r.faults) sum.faults[what] += n;
        for (const auto& [what, n] : r.met) sum.met[what] += n;
        for (const auto& [what, n] : r.folders) sum.folders[what] += n;
        if (!r.rested && ++sum.restless == 1)
            sum.first.push_back(fmt::format("seed {}: not at rest: {}", seed, r.restless));
        for (const auto& [kind, n] : r.broken)
            if (++sum.broken[kind] == 1) {
                const auto v = std::find_if(
                    r.violations.begin(), r.violations.end(),
                    [&k = kind](const std::string& text) { return text.find(k) != std::string::npos; });
                sum.first.push_back(fmt::format("seed {}: {}", seed, v != r.violations.end() ? *v : kind));
            }
    }
    return sum;
}
std::string summary(const GroupScenario& s, const GroupSweep& sum) {
    std::string out = fmt::format(
        "{}{}: {} seeds, {} members, {:.0f} s each, folder {}\nfaults: {}\n  met: {}\n{} operations, {} "
        "hand-overs, {} acts "
        "turned away, {} datagrams, highest term {}\n",
        s.name, s.broken.empty() ? "" : " with " + s.broken, sum.seeds, s.members, s.length / 1000,
        s.folder ? "kept" : "none", counts(sum.faults), counts(sum.met), sum.operations, sum.handOvers,
        sum.lateActs, sum.datagrams, sum.mostTerms);
    if (!sum.folders.empty()) out += fmt::format("folders read: {}\n", counts(sum.folders));
    out += fmt::format("broken, by seeds: {}; not at rest: {}\n", counts(sum.broken), sum.restless);
    for (const std::string& line : sum.first) out += line.substr(0, 300) + "\n";
    return out;
}
GroupResults runGroupVirtual(const GroupScenario& scenario, std::uint64_t seed, const GroupTrace& trace) {
    GroupWorld world(planOf(scenario), seed);
    VirtualStage stage(world);
    GroupDirector director(scenario, seed, stage);
    director.trace = trace;
    world.loss(scenario.loss);
    if (trace) world.trace = [&](const std::string& line) { trace(world.now(), line); };
    world.until(700);
    world.found(0, 17);
    bool quiet = false;
    while (world.now() < scenario.length) {
        // The quiet part's first third is left out: what the faults left behind is told then.
        const Millis measured = scenario.length - scenario.quiet * 2 / 3;
        world.until(std::min({director.next(), scenario.length, quiet ? scenario.length : measured}));
        if (!quiet && world.now() >= measured) quiet = true, world.quietBegins();
        director.advance(world.now());
    }
    world.finish();
    GroupResults r{world.report(), director.times()};
    r.report.faults = r.times.faults, r.report.met = r.times.met;
    return r;
}
std::string summary(const GroupScenario& s, std::uint64_t seed, const GroupResults& results) {
    const GroupReport& r = results.report;
    std::string out = fmt::format(
        "{}, seed {}: {} members, {} voters, {} duties, {:.0f} s, folder {}\n"
        "faults: {}\n"
        "  met: {}\n"
        "operations: {}\n"
        "acts {}, hand-overs {}\n"
        "  from an old holder's last act to the next one's first: {}\n"
        "  from a kill to the next act: {}\n"
        "  from SIGTERM to the next act: {}\n"
        "  from an upgrade's start to the next act: {}\n"
        "datagrams {}, {:.0f} bytes a second and member, longest {}\n",
        s.name, seed, s.members, s.voters, s.singletonRoles, s.length / 1000, s.folder ? "kept" : "none",
        counts(r.faults), counts(r.met), counts(r.outcomes), r.acts, r.handOvers, times(r.gaps),
        times(results.times.afterKill), times(results.times.afterEnd), times(results.times.afterUpgrade),
        r.datagrams, static_cast<double>(r.bytes) / (s.length / 1000) / s.members, r.longest);
    if (r.restMost > 0)  // virtual time alone knows who sent what
        out += fmt::format("  the busiest one {:.0f}; at rest {:.0f}, the busiest one {:.0f}\n",
                           r.mostBytesPerS, r.restMean, r.restMost);
    for (const std::string& v : r.violations) out += "BROKEN " + v + "\n";
    if (!r.rested) out += "NOT AT REST: " + r.restless + "\n";
    if (r.violations.empty() && r.rested)
        out +=
            "held: one holder at a time, rising numbers, linearizable histories, equal copies at the end\n";
    return out;
}

}  // namespace beechpoint::emulator
