/// The set of voters that decide on the next view.
///
/// Voters are disks and are distinct from the members of the chain: an unreachable member is removed from the chain so that writes
/// continue, but it keeps its vote so that it counts again on return. If the voters shrank with the chain, the loss of one disk of
/// the smaller set could block the group permanently although the unreachable members still have their disks.
///
/// Each view lists the voters that decide on the next view. A new set is part of the view that the old set agrees on, as with
/// configuration changes in Raft (thesis, chapter 4), but any number of votes may be transferred at once, since each epoch has one
/// decision, made by the old set alone.
#pragma once

#include <cstddef>
#include <vector>

#include "replica/view.hpp"

namespace beechpoint::replica {

enum class VoterState {
    present,
    unreachable,  // its disk may be intact
    leaving,      // shutting down, possibly permanently
    diskLost,
};

/// Only a set larger than this may remove a voter that is merely unreachable.
inline constexpr std::size_t kMinVoters = 3;

struct Voter {
    Member member;  // as last reported
    VoterState state = VoterState::present;
};

/// Whether a majority remains after each loss of machines or zones that must be tolerated.
[[nodiscard]] bool toleratesLosses(const std::vector<Member>& voters, const Tolerance& tolerance);

/// The voters that follow `present`, given the members of the chain of the same new view:
///   - the vote of a voter that is not present is transferred to the same machine's new disk or to another member without a vote,
///     votes of lost disks first;
///   - voters are added while the set does not tolerate the losses and there are members without a vote;
///   - a voter is removed only if the set tolerates the losses without it: a voter that is not present (a merely unreachable one
///     only down to kMinVoters), or any voter if the set does not tolerate the losses with it.
/// Uncounted members (countsAsLoss unset) get a vote only if the chain's counted members are too few to acknowledge anything.
[[nodiscard]] std::vector<Member> nextVoters(const std::vector<Voter>& present,
                                             const std::vector<Member>& chain, const Tolerance& tolerance);

}  // namespace beechpoint::replica
