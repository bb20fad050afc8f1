/// Assignment of singleton roles to live members by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
/// each member has a weight for each role, and the member of the highest weight carries the role out. Every process that knows
/// the same members comes to the same assignment without a message, and a member that leaves moves only its own roles.
///
/// Not here: who is live (the view of the control members), and how a role is handed over. The fencing token under which the
/// member acts is the epoch of the view that named it.
///
/// Pure functions; to be called from any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::leases {

/// Weight of a member for a role; the same on every machine and build, since all processes have to agree on the order.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view role, std::string_view member);

/// The members in the order in which they carry the role out: the first does, the next when that one fails. By falling
/// weight, equal weights by name.
[[nodiscard]] std::vector<std::string> rendezvousOrder(std::string_view role,
                                                       std::vector<std::string> members);

/// Rank of `member` in that order, from 0; members.size() where it is not among them.
[[nodiscard]] std::size_t rendezvousRank(std::string_view role, const std::vector<std::string>& members,
                                         std::string_view member);

}  // namespace beechpoint::leases
