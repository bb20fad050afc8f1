// Who decides on the next view. The voters are disks, and not the chain: a member that is away is left out of the chain, so that
// writes go on, but keeps its vote, so that its return counts. A set of voters that shrank with the chain would stop for good
// once a disk of the smaller set was lost, although the members that are away hold theirs.
//
// Each view names the voters that decide on the view after it. A new set is part of the view that the old set agrees on.
#pragma once

#include <vector>

#include "replica/view.hpp"

namespace beechpoint::replica {

enum class Presence {
    here,
    away,     // silent, perhaps with its disk
    leaving,  // about to end, perhaps for good
    lost,     // its disk is gone
};

// A set that is larger than this may give up the place of a voter that is merely away.
inline constexpr std::size_t kLeastVoters = 3;

struct Voter {
    Member member;  // as known last
    Presence presence = Presence::here;
};

// Whether a majority is left after each loss (machines, or zones) that is to be tolerated.
bool bears(const std::vector<Member>& voters, const Tolerance& tolerance);

// The voters that follow `present`, given the members of the chain of the same new view:
//   - the place of one that is not here is handed over one for one, to the same machine's new disk or to another member without
//     a vote; those of lost disks first;
//   - places are added while the set does not bear what is to be tolerated, and there are members without a vote;
//   - a place is given up only where the set bears the tolerance without it: that of a voter that is not here (one that is merely
//     away only down to kLeastVoters), or any where the set does not bear the tolerance with it.
// Members that are not counted get a vote only where the counted ones of the chain are too few to acknowledge anything.
std::vector<Member> nextVoters(const std::vector<Voter>& present, const std::vector<Member>& chain,
                               const Tolerance& tolerance);

}  // namespace beechpoint::replica
