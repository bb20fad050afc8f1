// Membership of the voters: who they are by the log, how one is added or removed, and the role that follows.
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

namespace {
constexpr double kOfLate = 2.5;  // heartbeats
}  // namespace

bool RaftConsensus::isVoter(const std::string& name) const { return contains(log_.voters(), name); }

// A change of voters may make a learner of a voter, and the other way round. Who comes in may have been a voter
// before and have forgotten it, so it recovers first.
void RaftConsensus::updateRole(Millis now, Actions& out) {
    if (role_ == Role::learner && isVoter(self_)) {
        role_ = options_.safeguards.recovery ? Role::recovering : Role::follower;
        requestDeadline_ = now;
        out.events.push_back("raft: now a voter");
    } else if (role_ != Role::learner && role_ != Role::leader && role_ != Role::empty && !isVoter(self_)) {
        role_ = Role::learner;
        requestDeadline_ = now;
        out.events.push_back("raft: no longer a voter");
    }
}

bool RaftConsensus::changeVoters(Millis now, std::vector<std::string> voters, Actions& out) {
    if (!isReadyLeader() || voters.empty() || voters.size() > kMaxVoters) return false;
    for (Index i = commitIndex_ + 1; i <= lastLogIndex(); ++i)
        if (log_.entry(i).kind == EntryKind::voters) return false;
    std::sort(voters.begin(), voters.end());
    std::vector<std::string> old = log_.voters(), differ;
    std::sort(old.begin(), old.end());
    std::set_symmetric_difference(old.begin(), old.end(), voters.begin(), voters.end(),
                                  std::back_inserter(differ));
    const std::string names = joinNames(voters);
    if (differ.size() != 1 || names.size() > kMaxEntryBytes) return false;
    // All of the new set but a newcomer: one that is away or has forgotten is replaced, not outvoted. Else the new set may have no
    // majority with its memory: it could settle nothing, not even that it is the new set, and nobody could recover by it.
    for (const std::string& name : voters) {
        if (name == self_ || !isVoter(name)) continue;
        const auto f = followers_.find(name);
        if (f == followers_.end() || !f->second.canVote ||
            now - f->second.lastContact > kOfLate * options_.heartbeatInterval)
            return false;
    }
    log_.append({currentTerm_, EntryKind::voters, names});
    out.mustPersist = true;
    for (const std::string& name : log_.voters())
        if (!followers_.contains(name)) {
            Follower f;
            f.nextIndex = lastLogIndex();
            f.lastContact = now;
            followers_[name] = f;
        }
    sendHeartbeats(now, out);
    advanceCommitIndex(now, out);
    return true;
}

}  // namespace beechpoint::raft
