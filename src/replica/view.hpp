/// The agreed view: the processes that hold the replicated table and their order, the starting state of the epoch, and the
/// voters that decide on the next view.
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
    std::uint64_t incarnation = 0;  // random, drawn when the disk is first used; never 0 in a view
    std::uint64_t session = 0;      // random, drawn at each process start
    std::string internalAddress;    // "ip:port" for messages between members
    std::string controlAddress;     // "ip:port" of the operator interface
    std::string zone;
    bool countsAsLoss =
        true;  // its loss counts against the tolerance; any number of the others may be lost at any time
    bool operator==(const Member&) const = default;
};

/// Votes are durable and tied to the disk, so a restarted process keeps its vote.
inline bool sameDisk(const Member& left, const Member& right) {
    return left.name == right.name && left.incarnation == right.incarnation;
}
inline bool sameProcess(const Member& left, const Member& right) {
    return sameDisk(left, right) && left.session == right.session;
}

/// Epoch 0 precedes the first view and has no members.
struct View {
    std::uint64_t epoch = 0;
    std::vector<Member> members;  // head first, tail last; the head is the source of the starting state
    Position start;               // position of the state that every member of the epoch starts from
    /// Voters that decide on the next view (replica/voters.hpp); use effectiveVoters() to read them. Empty, as in views of
    /// earlier releases: the members vote.
    std::vector<Member> voters = {};
    bool operator==(const View&) const = default;

    const Member* find(std::string_view name) const {
        const auto found = std::ranges::find(members, name, &Member::name);
        return found == members.end() ? nullptr : &*found;
    }
    /// The entry of this disk, regardless of the session.
    const Member* findDisk(const Member& member) const {
        const Member* found = find(member.name);
        return found && sameDisk(*found, member) ? found : nullptr;
    }
    const std::vector<Member>& effectiveVoters() const { return voters.empty() ? members : voters; }
    /// The entry of this disk among the voters.
    const Member* findVoter(const Member& member) const {
        const auto found = std::ranges::find_if(effectiveVoters(),
                                                [&](const Member& voter) { return sameDisk(voter, member); });
        return found == effectiveVoters().end() ? nullptr : &*found;
    }
    /// The members of the chain and the voters outside it.
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
    /// Number of votes that form a majority.
    std::size_t majority() const { return effectiveVoters().size() / 2 + 1; }
    std::size_t zones() const {
        std::set<std::string_view> names;
        for (const Member& member : members) names.insert(member.zone);
        return names.size();
    }
};

/// Simultaneous losses to be tolerated: acknowledgements require more members and zones than this.
struct Tolerance {
    std::size_t machines = 1;
    std::size_t zones = 1;
    bool covers(const View& view) const { return view.members.size() > machines && view.zones() > zones; }
};

/// Number of these members that remain when the `zones` largest zones are lost.
std::size_t remainingAfterZoneLoss(const std::vector<Member>& members, std::size_t zones);

/// Whether a majority remains if all uncounted members (those with countsAsLoss unset) are lost: the counted members form a
/// majority and still do after every tolerated loss that would leave them a majority of their own. Also true if the counted
/// members are too few to acknowledge anything alone, since then all members are needed.
bool majoritySurvivesWithoutUncounted(const std::vector<Member>& members, const Tolerance& tolerance);

/// Proposal number (Paxos Made Simple, 2.2); unique, since a session never reuses a round.
struct ProposalNumber {
    std::uint64_t round = 0;  // 0: none
    std::string member;
    std::uint64_t session = 0;
    auto operator<=>(const ProposalNumber&) const = default;
};

/// The promise and accepted value of an acceptor in the agreement on the view `epoch`.
struct Vote {
    std::uint64_t epoch = 0;
    ProposalNumber promised;
    ProposalNumber accepted;
    std::optional<View> value;  // accepted with proposal number `accepted`
    bool operator==(const Vote&) const = default;
};

}  // namespace beechpoint::replica
