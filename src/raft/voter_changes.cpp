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

bool RaftConsensus::isVoter(const std::string& name) const { return contains(voters_, name); }

void RaftConsensus::setVoters() {
    for (auto e = log_.rbegin(); e != log_.rend(); ++e)
        if (e->entry.kind == Kind::voters) {
            voters_ = splitNames(e->entry.data);
            return;
        }
    voters_ = baseVoters_;
}

// A change of voters may make a learner of a voter, and the other way round. Who comes in may have been a voter
// before and have forgotten it, so it recovers first.
void RaftConsensus::roleByVoters(Millis now, Actions& out) {
    if (role_ == Role::learner && isVoter(self_)) {
        role_ = options_.safeguards.recovery ? Role::recovering : Role::follower;
        askAt_ = now;
        out.notes.push_back("ledger: now a voter");
    } else if (role_ != Role::learner && role_ != Role::leader && role_ != Role::empty && !isVoter(self_)) {
        role_ = Role::learner;
        askAt_ = now;
        out.notes.push_back("ledger: no longer a voter");
    }
}

bool RaftConsensus::changeVoters(Millis now, std::vector<std::string> voters, Actions& out) {
    if (!ready() || voters.empty() || voters.size() > kMaxVoters) return false;
    for (Index i = commit_ + 1; i <= last(); ++i)
        if (at(i).kind == Kind::voters) return false;
    std::sort(voters.begin(), voters.end());
    std::vector<std::string> old = voters_, differ;
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
        if (f == followers_.end() || !f->second.counts ||
            now - f->second.heard > kOfLate * options_.heartbeat)
            return false;
    }
    append({term_, Kind::voters, names});
    out.keep = true;
    for (const std::string& name : voters_)
        if (!followers_.contains(name)) {
            Follower f;
            f.next = last();
            f.heard = now;
            followers_[name] = f;
        }
    signs(now, out);
    settle(now, out);
    return true;
}

}  // namespace beechpoint::raft
