/// The messages between lease clients and the lease manager. Values only; cluster/wire.hpp has their form on the wire.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lease_sessions/session_table.hpp"

namespace beechpoint::lease_sessions {

inline constexpr std::size_t kMaxRoleNameBytes = 23;  // bytes of a duty's name
inline constexpr std::size_t kMaxLeasesPerRenewal =
    2;  // in one answer to a renewal, in turn: each grant is told by itself as well

// `number` is the request's, the same when it is sent again; renewals have numbers of their own. Whatever the leader says, it
// says to one life of a member: numbers begin anew with each, and a datagram to the one before may still come.
struct CommandRequest {
    Command command;  // session, duty, fence and to as the operation needs
};
struct CommandReply {
    ProcessIncarnation to = 0;
    std::uint64_t number = 0;
    Result result;
    std::string leader;  // where it was no leader's: whom it takes for one, or empty
};
struct RenewRequest {
    Index session = 0;
    std::uint64_t number = 0;
};
struct RenewReply {
    ProcessIncarnation to = 0;
    std::uint64_t number = 0;
    Verdict verdict = Verdict::rejected;  // yes; gone: no such session; no: ask the leader named
    Index session = 0;
    std::string leader;
    std::vector<std::pair<std::string, std::uint64_t>> leases;  // some of what it holds, in turn
};

// A grant as soon as it is settled; lost, it comes with the next renewal. Settled for that session, it holds while the
// holder's own clock says that the session does.
struct GrantNotice {
    ProcessIncarnation to = 0;
    Index session = 0;
    std::string singletonRole;
    std::uint64_t fencingToken = 0;
};

using Body = std::variant<CommandRequest, CommandReply, RenewRequest, RenewReply, GrantNotice>;
struct Message {
    std::string from, to;
    ProcessIncarnation processIncarnation = 0;  // of the sender
    Body body;
};

}  // namespace beechpoint::lease_sessions
