/// Messages of a control member's internal address, sent over rpc by gateways and by the other control members. Plain structs: codec.hpp and
/// replica_codec.hpp write and read them, message_fields.hpp has the order of their fields.
///
/// A request is one byte, its RequestKind, and then the message; a reply is the message alone. Messages are MessagePack arrays of their fields
/// in the order below, nested structs likewise. Later versions add fields at the end only: a receiver keeps the defaults of those that are
/// missing and ignores those that it does not know.
///
///   kind             request          sender          reply             fields in order
///   1 poll           PollRequest      gateway         PollReply         request: gateway, position, hostList, waitMs,
///                                                                         requestsLoad, directoryDigest,
///                                                                         acceptsHostChanges, acceptsPackedState,
///                                                                         clusterId, acceptsChunks, transferDigest, transferOffset,
///                                                                         unixTime
///                                                                       reply: status, packedTable, hostList, hostListVersion,
///                                                                         hostListAge, liveGatewayCount, maxLiveGateways,
///                                                                         members, otherGatewaysLoad,
///                                                                         leaseMs, directoryDigest, directory, hostChanges,
///                                                                         packedHostList, packedHostChanges, packedDirectory,
///                                                                         hostListReadAge, retryAfterMs, memberRegions,
///                                                                         clusterId, memberIncarnation, transferDigest,
///                                                                         transferOffset, transferSize,
///                                                                         estimatedUnixTime, usageAddress, usageTerm
///   2 replica        replica::Message control member  those that answer at once, if any (replica_codec.hpp)
///   3 peerUpdate     PeerUpdate       control member  PeerUpdateReply   request: member, session, epoch, leases, hostListVersion,
///                                                                         hostListAge, hostList, readsHostList, renewals,
///                                                                         packedHostList, packedHostChanges, hostListReadAge, clusterId
///                                                                       reply: hostListVersion, acceptsIncrements, unknownLeases
///   4 usage          UsageMessage     gateway         UsageReply        request: report, term, unixTime,
///                                                                         clusterId
///                                                                       reply: accepted, recordedBefore
///   5 proposal       Proposal         control member  ProposalReply     request: subject, number, token, holder, body
///                                                                       reply: answered, outcome, intent
///   6 settlement     Settlement       control member  SettlementReply   request: subject, number, state
///                                                                       reply: recorded
///
///   packed field                 | stands for                  | sent where the receiver                 | empty
///   PollReply::packedTable       | table                       | is any                                  | nothing newer, or left out for its size
///   ...packedHostList            | hostList                    | acceptsPackedState, acceptsIncrements   | not newer, or changes are sent
///   ...packedHostChanges         | hostChanges                 | the same                                | not newer, or the list is sent in full
///   PollReply::packedDirectory   | directory                   | acceptsPackedState                      | the digest is the receiver's
///
/// Fields that were added last are left out at the end of a message while they have their defaults, so that a message that needs none of them is
/// written as it was before (message_fields.hpp, FirstOmittable).
///
/// A packed table of more than kChunkBytes is sent in chunks to a gateway that accepts them: a reply has the bytes from transferOffset on of
/// the transferSize bytes whose digest is transferDigest, and the next poll names the digest and how much of it the gateway has.
///
/// Decoding fills in the plain fields from the packed ones and clears those. `table` and PeerUpdate::hostChanges are never on the wire
/// themselves. Times are durations in milliseconds, since clocks of two machines are not compared.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "duties/intent_log.hpp"
#include "duties/usage.hpp"
#include "host_discovery/host_list.hpp"
#include "host_discovery/host_list_changes.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

/// First byte of a request.
enum class RequestKind : std::uint8_t {
    poll = 1,        ///< PollRequest -> PollReply
    replica = 2,     ///< replica messages (replica_codec.hpp) -> those that answer them at once, if any
    peerUpdate = 3,  ///< PeerUpdate -> PeerUpdateReply
    usage = 4,       ///< UsageMessage -> UsageReply
    proposal = 5,    ///< duties::Proposal -> ProposalReply
    settlement = 6,  ///< duties::Settlement -> SettlementReply
};

/// A gateway requests updates and renews its lease. Answered at once if there is an update, else after `waitMs`.
struct PollRequest {
    leases::Gateway gateway;                   ///< the gateway's own state; `load` may be empty
    Position position;                         ///< of the gateway's table; {0, 0}: none
    host_discovery::HostListVersion hostList;  ///< of the gateway's list; {0, 0, 0}: none
    Millis waitMs = 0;                         ///< at most; the member bounds it by kMaxPollWait
    bool requestsLoad = false;                 ///< send the other gateways' load by host
    std::uint64_t directoryDigest = 0;         ///< of the gateway's directory; 0: none
    bool acceptsHostChanges = false;           ///< understands PollReply::hostChanges; earlier versions don't
    bool acceptsPackedState =
        false;  ///< understands PollReply's packed fields and polls again after retryAfterMs
    std::uint64_t clusterId = 0;       ///< of the gateway's table (replicated_table.hpp); 0: unknown
    bool acceptsChunks = false;        ///< understands PollReply's transfer fields
    std::uint64_t transferDigest = 0;  ///< of the transfer in progress; 0: none
    std::uint64_t transferOffset = 0;  ///< bytes of it received so far
    Millis unixTime = 0;               ///< the gateway's wall-clock time, since 1970; 0: an earlier version
};

/// Largest chunk of a packed table in one reply, in bytes: a tenth of a second on a link of 10 Mbit/s.
inline constexpr std::size_t kChunkBytes = std::size_t{128} * 1024;

/// Longest wait of a poll. Milliseconds.
inline constexpr Millis kMaxPollWait = 2000;

enum class PollStatus : std::uint8_t {
    ok = 0,
    notFresh = 1,         ///< the member's table may be stale: poll another member; only `members` may be set
    leaseTableFull = 2,   ///< the member's lease table has no room for this gateway; likewise
    clusterMismatch = 3,  ///< the poll names another cluster; no other field is set
};

/// The platform's host list with its age when it was sent; the receiver subtracts the age from its own clock.
struct HostListSnapshot {
    host_discovery::HostListVersion version;
    Millis readAge = 0;  ///< milliseconds; the hosts' times count from the reading
    std::vector<host_discovery::Host> hosts;
};

/// The list as a value on the receiver's clock.
/// @param now when the snapshot was received, on the receiver's clock
[[nodiscard]] std::shared_ptr<const host_discovery::HostList> toHostList(const HostListSnapshot& snapshot,
                                                                         Millis now);

/// The changes from the receiver's list to the newest one, with the age of the newest one.
struct HostListDelta {
    host_discovery::HostListChanges changes;
    Millis readAge = 0;  ///< milliseconds
};

struct PollReply {
    PollStatus status = PollStatus::ok;
    std::optional<TableUpdate> table;  ///< where newer than PollRequest::position
    std::string packedTable;           ///< the same on the wire; a sender that fills it in leaves `table` out
    std::optional<HostListSnapshot> hostList;         ///< where another one than PollRequest::hostList
    host_discovery::HostListVersion hostListVersion;  ///< the member's
    std::optional<Millis> hostListAge;  ///< since it was last read or confirmed; nothing: no list known
    std::optional<std::uint32_t>
        liveGatewayCount;  ///< with a lease; nothing: not known now, keep the last count
    std::optional<std::uint32_t>
        maxLiveGateways;               ///< largest such count in the lease table's window; likewise
    std::vector<std::string> members;  ///< internal addresses (IP:PORT) of the members, this one first
    std::vector<leases::InstanceLoad> otherGatewaysLoad;  ///< where PollRequest::requestsLoad
    Millis leaseMs = 0;                 ///< counted by the gateway from when it sent the poll
    std::uint64_t directoryDigest = 0;  ///< of the gateways in this gateway's directory
    std::optional<std::vector<leases::Gateway>> directory;  ///< those, without load, where the digest differs
    std::optional<HostListDelta> hostChanges;               ///< in place of hostList, where few hosts differ
    std::string packedHostList;
    std::string packedHostChanges;
    std::string packedDirectory;
    Millis hostListReadAge = 0;  ///< HostListSnapshot::readAge of the packed list or changes
    Millis retryAfterMs = 0;     ///< above 0: state was left out for its size, poll again after so long
    std::vector<std::string> memberRegions;  ///< of `members`, in their order; empty text: not known
    std::uint64_t clusterId = 0;             ///< of the member's table; 0: it has none yet
    std::uint64_t memberIncarnation = 0;     ///< of the member's disk; 0: an earlier version
    std::uint64_t transferDigest = 0;  ///< XXH3-64 of the complete packed table of which this is a chunk
    std::uint64_t transferOffset = 0;  ///< of packedTable's bytes in it
    std::uint64_t transferSize = 0;    ///< its bytes; 0: packedTable is complete
    Millis estimatedUnixTime = 0;      ///< estimated, since 1970; 0: not known
    std::string usageAddress;          ///< internal address of the usage duty's holder; empty: none
    std::uint64_t usageTerm = 0;       ///< epoch of the view that made it the holder
};

/// Update from one control member to another member of the view, sent every kPeerUpdateInterval and sooner after an urgent change.
struct PeerUpdate {
    std::string member;                         ///< name of the sender
    std::uint64_t session = 0;                  ///< of the sender's process
    std::uint64_t epoch = 0;                    ///< of the sender's view
    std::vector<leases::ReportedLease> leases;  ///< granted by the sender, unknown to the receiver
    host_discovery::HostListVersion hostListVersion;
    std::optional<Millis> hostListAge;         ///< since it was last read or confirmed
    std::optional<HostListSnapshot> hostList;  ///< where the receiver has not acknowledged it
    bool readsHostList = false;                ///< the sender reads the platform's list successfully
    std::vector<leases::Renewal> renewals;     ///< of leases known to the receiver
    std::string packedHostList;                ///< where the receiver acceptsIncrements
    std::string packedHostChanges;             ///< likewise
    Millis hostListReadAge = 0;                ///< HostListSnapshot::readAge of the packed list or changes
    std::optional<HostListDelta> hostChanges;  ///< not on the wire: packedHostChanges as received
    std::uint64_t clusterId = 0;               ///< of the sender's table; 0: it has none yet
};

struct PeerUpdateReply {
    host_discovery::HostListVersion hostListVersion;  ///< the receiver's current version
    bool acceptsIncrements = false;            ///< understands PeerUpdate::renewals and the packed fields
    std::vector<std::uint64_t> unknownLeases;  ///< renewed ids unknown here: must be sent in full
};

/// A gateway's usage counts for the holder of the usage duty.
struct UsageMessage {
    duties::UsageReport report;
    std::uint64_t term = 0;       ///< PollReply::usageTerm that named the receiver
    Millis unixTime = 0;          ///< the gateway's wall-clock time, since 1970
    std::uint64_t clusterId = 0;  ///< of the gateway's table; 0: not known
};

struct UsageReply {
    bool accepted = false;  ///< the receiver holds the duty in that term and keeps the counts
    duties::WindowNumber recordedBefore =
        0;  ///< earlier windows have an intent; their counts are no longer needed
};

struct ProposalReply {
    bool answered = false;  ///< the other fields are valid; else it is unknown whether anything was recorded
    duties::ProposalOutcome outcome = duties::ProposalOutcome::stale;
    duties::Intent intent;  ///< where accepted or recorded
};

struct SettlementReply {
    bool recorded = false;
};

}  // namespace beechpoint::control
