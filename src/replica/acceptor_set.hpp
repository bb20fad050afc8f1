/// The acceptors of the agreement on the next view: at the founding the founders, later the voters and the members of the chain of
/// the view in force. Members of the chain that have no vote are asked to promise too, since a promise seals them (Vertical
/// Paxos 2009, 3); only votes count towards the majority.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "replica/membership.hpp"

namespace beechpoint::replica {

class AcceptorSet {
public:
    explicit AcceptorSet(const Membership& membership) : membership_(membership) {}

    /// No view is known, and this process may vote on the first one.
    bool isFounding() const { return membership_.view.epoch == 0 && !membership_.founders.empty(); }
    /// Names the disk (at the founding: the control address) of an acceptor; empty for any other process.
    std::string keyOf(const Member& member) const;
    bool hasVote(const Member& member) const { return isFounding() || membership_.view.findVoter(member); }
    /// Internal addresses, this process's own included if it is an acceptor.
    std::vector<std::string> addresses() const;
    std::size_t majority() const;

private:
    const Membership& membership_;
};

}  // namespace beechpoint::replica
