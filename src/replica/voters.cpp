#include "replica/voters.hpp"

#include <algorithm>
#include <iterator>

namespace beechpoint::replica {

namespace {

// The members of the chain that may get a vote and have none.
std::vector<Member> candidatesOf(const std::vector<Voter>& present, const std::vector<Member>& chain,
                                 const Tolerance& tolerance) {
    View counted;
    std::ranges::copy_if(chain, std::back_inserter(counted.members), &Member::counted);
    const bool all = !tolerance.covers(counted);
    std::vector<Member> candidates;
    for (const Member& member : chain) {
        const bool votes =
            std::ranges::any_of(present, [&](const Voter& voter) { return sameDisk(voter.member, member); });
        if (!votes && (all || member.counted)) candidates.push_back(member);
    }
    return candidates;
}

std::vector<Member> membersOf(const std::vector<Voter>& voters) {
    std::vector<Member> members;
    for (const Voter& voter : voters) members.push_back(voter.member);
    return members;
}

bool bearsWith(std::vector<Voter> voters, std::size_t place, const Member& member,
               const Tolerance& tolerance) {
    voters[place].member = member;
    return bears(membersOf(voters), tolerance);
}

// The candidate that takes this place over: the same machine first, then one with which the set bears what it must.
std::vector<Member>::iterator successorOf(const std::vector<Voter>& voters, std::size_t place,
                                          std::vector<Member>& candidates, const Tolerance& tolerance) {
    const auto namesake = std::ranges::find(candidates, voters[place].member.name, &Member::name);
    if (namesake != candidates.end()) return namesake;
    const auto fitting = std::ranges::find_if(
        candidates, [&](const Member& member) { return bearsWith(voters, place, member, tolerance); });
    return fitting != candidates.end() ? fitting : candidates.begin();
}

void handOver(std::vector<Voter>& voters, Presence presence, std::vector<Member>& candidates,
              const Tolerance& tolerance) {
    for (std::size_t place = 0; place < voters.size() && !candidates.empty(); ++place) {
        if (voters[place].presence != presence) continue;
        const auto successor = successorOf(voters, place, candidates, tolerance);
        voters[place] = Voter{*successor, Presence::here};
        candidates.erase(successor);
    }
}

// Gives up a place where the set bears the tolerance without it; false if there is none to give up.
bool giveUpOne(std::vector<Voter>& voters, const Tolerance& tolerance) {
    const bool enough = bears(membersOf(voters), tolerance);
    for (auto voter = voters.begin(); voter != voters.end(); ++voter) {
        if (enough && voter->presence == Presence::here) continue;
        if (voter->presence == Presence::away && voters.size() <= kLeastVoters) continue;
        std::vector<Member> others = membersOf(voters);
        others.erase(others.begin() + (voter - voters.begin()));
        if (!bears(others, tolerance)) continue;
        voters.erase(voter);
        return true;
    }
    return false;
}

}  // namespace

bool bears(const std::vector<Member>& voters, const Tolerance& tolerance) {
    const std::size_t needed = voters.size() / 2 + 1;
    const std::size_t left = voters.size() - std::min(voters.size(), tolerance.machines);
    return left >= needed && remainingAfterZoneLoss(voters, tolerance.zones) >= needed;
}

std::vector<Member> nextVoters(const std::vector<Voter>& present, const std::vector<Member>& chain,
                               const Tolerance& tolerance) {
    std::vector<Voter> voters = present;
    std::vector<Member> candidates = candidatesOf(present, chain, tolerance);
    handOver(voters, Presence::lost, candidates, tolerance);
    handOver(voters, Presence::leaving, candidates, tolerance);
    handOver(voters, Presence::away, candidates, tolerance);
    while (!candidates.empty() && voters.size() < kMaxMembers && !bears(membersOf(voters), tolerance)) {
        voters.push_back(Voter{candidates.front(), Presence::here});
        candidates.erase(candidates.begin());
    }
    while (giveUpOne(voters, tolerance)) {
    }
    return membersOf(voters);
}

}  // namespace beechpoint::replica
