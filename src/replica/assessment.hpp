/// What is wrong with the view in force, by the reports of the heartbeats: the grounds of a view change.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "replica/view.hpp"

namespace beechpoint::replica {

struct Assessment {
    std::set<std::string> excluded;  // internal addresses of members to leave out
    std::set<std::string> stalled;   // those of them that have not stored the head's item for too long
    std::vector<Member> joiners;     // processes to take in, beyond members that only restarted
    bool restarted = false;          // a member of the view runs under another session
    bool unfinished =
        false;            // a member promised for a view that did not come, or the view was never installed
    bool voters = false;  // a vote is to change hands
    bool observedDirectly = false;  // this process saw some cause itself
    bool possible = true;           // what would be left is sufficient

    bool isChangeNeeded() const { return unfinished || hasCauseBesidesUnfinished(); }
    bool isActionable() const { return isChangeNeeded() && possible; }
    bool isOnlyUnfinished() const { return !hasCauseBesidesUnfinished(); }

    /// The members of the next view by this assessment, in no order that counts.
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
