/// Who decides on the next view.
///
/// The voters are disks, and not the members of the chain: a member that is unreachable is left out of the chain, so that writes go
/// on, but keeps its vote, so that its return counts. A set of voters that shrank with the chain would stop for good once a disk of
/// the smaller set was lost, although the unreachable members hold theirs.
///
/// Each view names the voters that decide on the view after it. A new set is part of the view that the old set agrees on, as with
/// configuration changes in Raft (thesis, chapter 4), but any number of votes may change hands at once: there is one decision an
/// epoch, and the old set alone makes it.
#pragma once

#include <cstddef>
#include <vector>

#include "replica/view.hpp"

namespace beechpoint::replica {

enum class VoterState {
    present,
    unreachable,  // perhaps with its disk
    leaving,      // about to end, perhaps for good
    diskLost,
};

/// A set that is larger than this may remove a voter that is merely unreachable.
inline constexpr std::size_t kMinVoters = 3;

struct Voter {
    Member member;  // as last reported
    VoterState state = VoterState::present;
};

/// Whether a majority is left after each loss (machines, or zones) that is to be tolerated.
[[nodiscard]] bool toleratesLosses(const std::vector<Member>& voters, const Tolerance& tolerance);

/// The voters that follow `present`, given the members of the chain of the same new view:
///   - the vote of one that is not present is handed over one for one, to the same machine's new disk or to another member without
///     a vote; those of lost disks first;
///   - voters are added while the set doesn't tolerate the losses, and there are members without a vote;
///   - a voter is removed only where the set tolerates the losses without it: one that is not present (one that is merely
///     unreachable only down to kMinVoters), or any where the set does not tolerate them with it.
/// Members that are not counted get a vote only where the counted ones of the chain are too few to acknowledge anything.
[[nodiscard]] std::vector<Member> nextVoters(const std::vector<Voter>& present,
                                             const std::vector<Member>& chain, const Tolerance& tolerance);

}  // namespace beechpoint::replica
