/// Assignment of singleton roles to live members by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
/// each member has a weight for each role, and the member with the highest weight performs the role. Processes with the
/// same member list compute the same assignment without messages, and a departing member moves only its own roles.
///
/// Out of scope: liveness (the view of the control members) and the handover of a role. The fencing token of the
/// performing member is the epoch of the view that assigned it.
///
/// Pure functions; callable from any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::leases {

/// Weight of a member for a role. Identical on every machine and build, since all processes must agree on the order.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view role, std::string_view member);

/// Members in order of precedence for the role: the first performs it, the next one takes over if the first fails.
/// Sorted by decreasing weight, then by name.
[[nodiscard]] std::vector<std::string> rendezvousOrder(std::string_view role,
                                                       std::vector<std::string> members);

/// Zero-based rank of `member` in rendezvousOrder(); members.size() if it is not listed.
[[nodiscard]] std::size_t rendezvousRank(std::string_view role, const std::vector<std::string>& members,
                                         std::string_view member);

}  // namespace beechpoint::leases
