/// Problems of the current view according to the heartbeat reports: the reasons for a view change.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "replica/view.hpp"

namespace beechpoint::replica {

struct Assessment {
    std::set<std::string> excluded;  // internal addresses of members to leave out
    std::set<std::string> stalled;   // subset of `excluded` that is slow to store the head's current item
    std::vector<Member> joiners;     // processes to add, except members that only restarted
    bool restarted = false;          // a member of the view runs with a new session
    bool unfinished =
        false;  // a member promised for a view that was not decided, or the view was never installed
    bool voters = false;            // the set of voters must change
    bool observedDirectly = false;  // this process observed at least one cause itself
    bool possible = true;           // the remaining members are sufficient

    bool isChangeNeeded() const { return unfinished || hasCauseBesidesUnfinished(); }
    bool isActionable() const { return isChangeNeeded() && possible; }
    bool isOnlyUnfinished() const { return !hasCauseBesidesUnfinished(); }

    /// Members of the next view according to this assessment, in unspecified order.
    std::vector<Member> nextMembers(const View& view) const {
        std::vector<Member> members = joiners;
        for (const Member& member : view.members)
            if (!excluded.contains(member.internalAddress)) members.push_back(member);
        return members;
    }

private:
    bool hasCauseBesidesUnfinished() const {
        return !excluded.empty() || !joiners.empty() || restarted || voters;
    }
};

}  // namespace beechpoint::replica
