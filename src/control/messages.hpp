// What is said to a control member over rpc, by gateways and by the other members. Plain structs; codec.hpp writes and reads them.
// Every request is one envelope: the kind in the first byte, then the message as msgpack.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "host_discovery/host_list.hpp"
#include "host_discovery/host_list_changes.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

enum class RequestKind : std::uint8_t {
    poll = 1,        // PollRequest -> PollReply
    replica = 2,     // replica messages (replica_codec.hpp) -> those that answer them at once, if any
    peerUpdate = 3,  // Share -> PeerUpdateReply
};

// A gateway asks what is new and thereby renews its lease. It is answered at once where something is, or after `waitMs`.
struct PollRequest {
    leases::Gateway
        gateway;        // name, session, place, front address, ready, draining, own load by host (optional)
    Position position;  // of the table held; {0, 0}: none
    host_discovery::HostListVersion hostList;  // held; {0, 0, 0}: none
    Millis waitMs = 0;                         // at most; the member bounds it by kMaxPollWait
    bool wantsLoad = false;                    // send the other gateways' load by host
    std::uint64_t directoryDigest = 0;         // of the gateways held for the directory; 0: none
    bool acceptsHostChanges = false;           // understands PollReply::hostChanges; gateways of before don't
    bool acceptsPackedState =
        false;  // understands PollReply's packed fields and comes back after retryAfterMs
};

inline constexpr Millis kMaxPollWait = 2000;

enum class PollStatus : std::uint8_t {
    ok = 0,
    notFresh =
        1,  // this member can't vouch that it holds the newest table: ask another; nothing else is filled in
    full = 2,  // no place for another gateway's lease
};

// The platform's list with the age of its reading at the time of the answer; the receiver subtracts it from its own clock.
struct HostListSnapshot {
    host_discovery::HostListVersion version;
    Millis readAge = 0;  // Host times are counted from then
    std::vector<host_discovery::Host> hosts;
};

// The list as a value on the receiver's clock.
std::shared_ptr<const host_discovery::HostList> toHostList(const HostListSnapshot& shared, Millis now);

// What changed from the list that a gateway holds to the newest, with the age of the newest one's reading.
struct HostListDelta {
    host_discovery::HostListChanges changes;
    Millis readAge = 0;
};

struct PollReply {
    PollStatus status = PollStatus::ok;
    std::optional<TableUpdate> table;  // where newer than the position held
    std::string
        packedTable;  // the same on the wire (table_packing.hpp); a sender that has it leaves `table` out
    std::optional<HostListSnapshot> hostList;         // where another than the one held
    host_discovery::HostListVersion hostListVersion;  // the member's
    std::optional<Millis> hostListAge;          // since it was last read or confirmed; nothing: no list known
    std::optional<std::uint32_t> liveGateways;  // nothing: not known at the moment (keep the last)
    std::optional<std::uint32_t> largestLive;   // within the retry window
    std::vector<std::string> members;  // internal addresses (IP:PORT) of the control members, this one first
    std::vector<leases::InstanceLoad> othersLoad;  // where asked for
    Millis leaseMs = 0;                            // counted by the gateway from when it sent the poll
    std::uint64_t directoryDigest = 0;             // of the gateways with a lease, as far as clients care
    std::optional<std::vector<leases::Gateway>> directory;  // those, without load, where the digest differs
    std::optional<HostListDelta> hostChanges;               // in place of hostList, where few hosts differ
    // For a gateway that takes them (PollRequest::acceptsPackedState). A receiver finds them unpacked in the fields above.
    std::string packedHostList, packedHostChanges, packedDirectory;  // table_packing.hpp; empty: not here
    Millis hostListReadAge = 0;                                      // of the list in the packed ones
    Millis retryAfterMs = 0;  // there is more than this member sends now: ask again after so long
    std::vector<std::string> memberRegions;  // of `members`, in their order; empty: not known
};

// What one control member tells each other member of the view every half second, and at once where something changed that can't wait.
struct PeerUpdate {
    std::string member;
    std::uint64_t session = 0;
    std::uint64_t epoch = 0;
    std::vector<leases::ReportedLease> leases;  // granted by the sender since its last share
    host_discovery::HostListVersion hostListVersion;
    std::optional<Millis> hostListAge;              // since it was last read or confirmed
    std::optional<HostListSnapshot> hostList;       // where the receiver is not known to have it
    bool readsHosts = false;                        // the sender reads the platform's list, with success
    std::vector<leases::Renewal> renewals;          // of leases that the receiver was told before
    std::string packedHostList, packedHostChanges;  // as in PollReply; to a member that takes them
    Millis hostListReadAge = 0;                     // of the list in these
    std::optional<HostListDelta> hostChanges;       // not on the wire: packedHostChanges as received
};

struct PeerUpdateReply {
    host_discovery::HostListVersion hostListVersion;  // that the receiver has now
    bool acceptsIncrements = false;                   // understands Share::renewals and the packed fields
    std::vector<std::uint64_t> unknownLeases;         // renewed, and not known here: to be told whole
};

}  // namespace beechpoint::control
