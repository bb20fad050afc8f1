#include "replica/voters.hpp"

#include <algorithm>
#include <iterator>

namespace beechpoint::replica {

namespace {

bool hasVote(const std::vector<Voter>& voters, const Member& member) {
    return std::ranges::any_of(voters, [&](const Voter& voter) { return sameDisk(voter.member, member); });
}

// Members of the chain without a vote that may get one.
std::vector<Member> candidatesAmong(const std::vector<Member>& chain, const std::vector<Voter>& present,
                                    const Tolerance& tolerance) {
    View counted;
    std::ranges::copy_if(chain, std::back_inserter(counted.members), &Member::countsAsLoss);
    const bool includeUncounted = !tolerance.covers(counted);
    std::vector<Member> candidates;
    for (const Member& member : chain) {
        if (hasVote(present, member)) continue;
        if (includeUncounted || member.countsAsLoss) candidates.push_back(member);
    }
    return candidates;
}

std::vector<Member> membersOf(const std::vector<Voter>& voters) {
    std::vector<Member> members;
    for (const Voter& voter : voters) members.push_back(voter.member);
    return members;
}

bool toleratesLossesWith(std::vector<Voter> voters, std::size_t index, const Member& member,
                         const Tolerance& tolerance) {
    voters[index].member = member;
    return toleratesLosses(membersOf(voters), tolerance);
}

// The candidate that takes over this vote: the same machine if possible, else one with which the set tolerates the losses.
std::vector<Member>::iterator replacementFor(const std::vector<Voter>& voters, std::size_t index,
                                             std::vector<Member>& candidates, const Tolerance& tolerance) {
    const auto namesake = std::ranges::find(candidates, voters[index].member.name, &Member::name);
    if (namesake != candidates.end()) return namesake;
    const auto suitable = std::ranges::find_if(candidates, [&](const Member& member) {
        return toleratesLossesWith(voters, index, member, tolerance);
    });
    return suitable != candidates.end() ? suitable : candidates.begin();
}

// Transfers the votes of all voters in this state while there are candidates.
void handOverVotes(std::vector<Voter>& voters, VoterState state, std::vector<Member>& candidates,
                   const Tolerance& tolerance) {
    for (std::size_t index = 0; index < voters.size() && !candidates.empty(); ++index) {
        if (voters[index].state != state) continue;
        const auto replacement = replacementFor(voters, index, candidates, tolerance);
        voters[index] = Voter{*replacement, VoterState::present};
        candidates.erase(replacement);
    }
}

// Removes one voter without which the set tolerates the losses; returns false if there is none.
bool removeOneVoter(std::vector<Voter>& voters, const Tolerance& tolerance) {
    const bool sufficient = toleratesLosses(membersOf(voters), tolerance);
    for (auto voter = voters.begin(); voter != voters.end(); ++voter) {
        if (sufficient && voter->state == VoterState::present) continue;
        if (voter->state == VoterState::unreachable && voters.size() <= kMinVoters) continue;
        std::vector<Member> others = membersOf(voters);
        others.erase(others.begin() + (voter - voters.begin()));
        if (!toleratesLosses(others, tolerance)) continue;
        voters.erase(voter);
        return true;
    }
    return false;
}

}  // namespace

bool toleratesLosses(const std::vector<Member>& voters, const Tolerance& tolerance) {
    const std::size_t needed = voters.size() / 2 + 1;
    const std::size_t left = voters.size() - std::min(voters.size(), tolerance.machines);
    return left >= needed && remainingAfterZoneLoss(voters, tolerance.zones) >= needed;
}

std::vector<Member> nextVoters(const std::vector<Voter>& present, const std::vector<Member>& chain,
                               const Tolerance& tolerance) {
    std::vector<Voter> voters = present;
    std::vector<Member> candidates = candidatesAmong(chain, present, tolerance);
    handOverVotes(voters, VoterState::diskLost, candidates, tolerance);
    handOverVotes(voters, VoterState::leaving, candidates, tolerance);
    handOverVotes(voters, VoterState::unreachable, candidates, tolerance);
    while (!candidates.empty() && voters.size() < kMaxMembers &&
           !toleratesLosses(membersOf(voters), tolerance)) {
        voters.push_back(Voter{candidates.front(), VoterState::present});
        candidates.erase(candidates.begin());
    }
    bool removed = true;
    while (removed) removed = removeOneVoter(voters, tolerance);
    return membersOf(voters);
}

}  // namespace beechpoint::replica
