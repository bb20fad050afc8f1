/// The acceptors of the agreement on the next view: the founders for the first view, afterwards the voters and chain members
/// of the current view. Chain members without a vote must promise too, since a promise seals them (Vertical Paxos 2009, 3);
/// only votes count towards the majority.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "replica/membership.hpp"

namespace beechpoint::replica {

class AcceptorSet {
public:
    explicit AcceptorSet(const Membership& membership) : membership_(membership) {}

    /// No view is known and this process may vote on the first one.
    bool isFounding() const { return membership_.view.epoch == 0 && !membership_.founders.empty(); }
    /// Key of an acceptor: its disk, or for the first view its control address. Empty for any other process.
    std::string keyOf(const Member& member) const;
    bool hasVote(const Member& member) const { return isFounding() || membership_.view.findVoter(member); }
    /// Internal addresses of all acceptors, including this process if it is one.
    std::vector<std::string> addresses() const;
    std::size_t majority() const;

private:
    const Membership& membership_;
};

}  // namespace beechpoint::replica
