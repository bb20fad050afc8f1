// Which of the live members holds a duty: rendezvous hashing, so that a member that leaves moves only its own duties.
// The fence under which a holder acts is the epoch of the view that named it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::leases {

// Weight of a member for a duty; the same on every machine and build.
std::uint64_t rendezvousWeight(std::string_view role, std::string_view member);

// The members in the order in which they are to hold the duty: the first does, the next when that one fails.
std::vector<std::string> rendezvousOrder(std::string_view role, std::vector<std::string> members);

// Place of `member` in that order; members.size() where it is not among them.
std::size_t rendezvousRank(std::string_view role, const std::vector<std::string>& members,
                           std::string_view member);

}  // namespace beechpoint::leases
