// What is wrong with the present view by the heartbeats' reports, and the view that would follow it. Decides nothing that
// safety rests on except the source of the next view.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/chain.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/view_agreement.hpp"
#include "replica/voters.hpp"

namespace beechpoint::replica {

struct Assessment {
    std::set<std::string> excluded;  // internal addresses of members to leave out
    std::set<std::string> stalled;   // those of them at which the chain hangs
    std::vector<Member> joiners;     // processes to take in, beyond members that only restarted
    bool restarted = false;          // a member of the view runs under another session
    bool unfinished =
        false;              // a member has promised for a view that did not come, or the epoch never settled
    bool voters = false;    // a vote is to change hands
    bool observed = false;  // this process saw some cause itself
    bool possible = true;   // what would be left is enough

    bool any() const { return !excluded.empty() || !joiners.empty() || restarted || unfinished || voters; }
    bool actionable() const { return any() && possible; }
    bool onlyUnfinished() const { return excluded.empty() && joiners.empty() && !restarted && !voters; }
};

class ViewPlanner {
public:
    ViewPlanner(const Membership& membership, const FailureDetector& detector, const Chain& chain)
        : membership_(membership), detector_(detector), chain_(chain) {}

    void enterView(Millis now, const View& before);

    // A proposal begins on these grounds. The chain of a sealed head no longer shows where it hung, so that is kept until the next
    // view; else the member at which it hung would be taken over from view to view.
    void propose(const Assessment& assessment) { stalled_ = assessment.stalled; }
    Assessment assess(Millis now) const;
    // A majority of the view's voters, this disk perhaps included, answers at present.
    bool hearsMajority(Millis now) const;
    // Place among the members that may propose; beyond the last one if this process should not.
    std::size_t rank(Millis now, const Assessment& assessment) const;
    // The view to propose from these promises; nothing if none would do.
    std::optional<View> compose(Millis now, const std::map<std::string, ReceivedPromise>& promises) const;
    View composeFounding(const std::map<std::string, ReceivedPromise>& promises) const;

private:
    using Pair = std::pair<std::string, std::string>;
    struct Removal {
        Member process;
        Millis at;
    };

    void assessMembers(Millis now, Assessment& assessment) const;
    void assessLinks(Millis now, Assessment& assessment) const;
    void assessStalls(Millis now, Assessment& assessment) const;
    void assessUncounted(Assessment& assessment) const;
    void assessLeavers(Millis now, Assessment& assessment) const;
    enum class Joiners { ready, any };
    void assessJoiners(Millis now, Assessment& assessment, Joiners which) const;
    void assessVoters(Millis now, Assessment& assessment) const;
    std::vector<Member> planned(const Assessment& assessment) const;
    std::vector<Voter> presentVoters(Millis now, const Assessment& assessment) const;
    Voter presentVoter(Millis now, const Member& voter, const Assessment& assessment) const;
    bool leaves(const Member& member, Millis now) const;
    void excludeStalled(const std::string& address, Assessment& assessment) const;
    bool heardByAny(const std::string& address, Millis now) const;
    Millis learnsUntil(const Peer& peer) const;
    bool isReady(const Peer& peer, Millis now) const;
    Millis probationOf(const Member& process, Millis now) const;
    bool mayJoin(const Peer& peer, Millis now, const Assessment& assessment) const;
    bool reachedByAll(const std::string& address, Millis now, const Assessment& assessment) const;
    void dropUncounted(std::vector<Member>& members) const;
    bool enough(const std::vector<Member>& members) const;
    bool maySpare(const std::vector<Member>& members) const;
    const Member* listed(const std::string& address) const;

    const Membership& membership_;
    const FailureDetector& detector_;
    const Chain& chain_;
    std::vector<Removal> removed_;   // processes that recent views left out
    std::set<std::string> stalled_;  // when the present proposal began
    Millis enteredAt_ = 0;
};

}  // namespace beechpoint::replica
