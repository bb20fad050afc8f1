/// The agreed view: which processes hold the replicated table, in which order, from which state their epoch starts, and who
/// decides on the next view.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {

inline constexpr std::size_t kMaxMembers = 9;

/// One process of the control role.
struct Member {
    std::string name;
    std::uint64_t incarnation = 0;  // drawn when the disk was first used; never 0 in a view
    std::uint64_t session = 0;      // drawn at each start of the process
    std::string internalAddress;    // "ip:port" that the members' own messages go to
    std::string controlAddress;     // "ip:port" of the operators' interface
    std::string zone;
    bool countsAsLoss =
        true;  // its loss is one that the tolerance speaks of; others may go in any number at any time
    bool operator==(const Member&) const = default;
};

/// Votes are durable, so a voter is a disk: a restarted process keeps them.
inline bool sameDisk(const Member& left, const Member& right) {
    return left.name == right.name && left.incarnation == right.incarnation;
}
inline bool sameProcess(const Member& left, const Member& right) {
    return sameDisk(left, right) && left.session == right.session;
}

/// Epoch 0 is the time before the first view: no members.
struct View {
    std::uint64_t epoch = 0;
    std::vector<Member> members;  // head first, tail last; the head is the source of the starting state
    Position start;               // the state that every member of the epoch starts from
    /// Who decides on the next view (replica/voters.hpp); read by effectiveVoters(). Empty: the members, as in views of earlier
    /// releases.
    std::vector<Member> voters = {};
    bool operator==(const View&) const = default;

    const Member* find(std::string_view name) const {
        const auto found = std::ranges::find(members, name, &Member::name);
        return found == members.end() ? nullptr : &*found;
    }
    /// The entry of this disk, whichever its session.
    const Member* findDisk(const Member& member) const {
        const Member* found = find(member.name);
        return found && sameDisk(*found, member) ? found : nullptr;
    }
    const std::vector<Member>& effectiveVoters() const { return voters.empty() ? members : voters; }
    /// The entry of this disk among those who decide on the next view.
    const Member* findVoter(const Member& member) const {
        const auto found = std::ranges::find_if(effectiveVoters(),
                                                [&](const Member& voter) { return sameDisk(voter, member); });
        return found == effectiveVoters().end() ? nullptr : &*found;
    }
    /// The members of the chain, and the voters that are not among them.
    std::vector<Member> membersAndVoters() const {
        std::vector<Member> listed = members;
        for (const Member& voter : effectiveVoters())
            if (!findDisk(voter)) listed.push_back(voter);
        return listed;
    }
    std::optional<std::size_t> indexOfProcess(const Member& member) const {
        for (std::size_t index = 0; index < members.size(); ++index)
            if (sameProcess(members[index], member)) return index;
        return std::nullopt;
    }
    /// Of the voters.
    std::size_t majority() const { return effectiveVoters().size() / 2 + 1; }
    std::size_t zones() const {
        std::set<std::string_view> names;
        for (const Member& member : members) names.insert(member.zone);
        return names.size();
    }
};

/// What may be lost at once: acknowledgements need one more of each.
struct Tolerance {
    std::size_t machines = 1;
    std::size_t zones = 1;
    bool covers(const View& view) const { return view.members.size() > machines && view.zones() > zones; }
};

/// How many of these members are left when the `zones` largest zones are lost.
std::size_t remainingAfterZoneLoss(const std::vector<Member>& members, std::size_t zones);

/// Whether all the uncounted among these members may go with a majority left: the counted are one, and stay one after each loss
/// that they would bear among themselves. Where they are too few to acknowledge anything alone, nothing better can be had than
/// to count all.
bool majoritySurvivesWithoutUncounted(const std::vector<Member>& members, const Tolerance& tolerance);

/// Number of a proposal (Paxos Made Simple, 2.2); unique, as a session never uses a round twice.
struct ProposalNumber {
    std::uint64_t round = 0;  // 0: none
    std::string member;
    std::uint64_t session = 0;
    auto operator<=>(const ProposalNumber&) const = default;
};

/// What a member has promised and accepted in the agreement on the view `epoch`.
struct Vote {
    std::uint64_t epoch = 0;
    ProposalNumber promised;
    ProposalNumber accepted;
    std::optional<View> value;  // accepted under `accepted`
    bool operator==(const Vote&) const = default;
};

}  // namespace beechpoint::replica
