/// Builds the updates that this control member sends to the other members of the view, and tracks what each has acknowledged.
///
///   leases      sent in full (ReportedLease) until the receiver knows them, then as renewals of those granted since the last update that it
///               acknowledged; a receiver that accepts no increments gets all of them in full each time
///   host list   its version and age in each update, the list or its changes where the receiver lacks them (HostListDistributor)
///   when        every kPeerUpdateInterval, and within kPeerUpdateGatherWindow after a change that can't wait; at most one update at a time is
///               in flight to a member
///
/// Free of I/O. Owned by GatewayServiceState, which also owns the lease table and the host list that it reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/host_list_distributor.hpp"
#include "control_messages/messages.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

// Milliseconds.
inline constexpr Millis kServiceTick = 100;             ///< from one tick to the next
inline constexpr Millis kPeerUpdateInterval = 500;      ///< to each other member of the view
inline constexpr Millis kPeerUpdateGatherWindow = 100;  ///< changes within it are sent together
inline constexpr Millis kPeerUpdateTimeout = 1000;      ///< of the call that carries an update

/// An update to send. Its completion, answered or not, must be reported to PeerUpdates::onReply().
struct PeerUpdateCall {
    std::string member;   ///< name of the receiver
    std::string address;  ///< its internal address, IP:PORT
    PeerUpdate peerUpdate;
};

class PeerUpdates {
public:
    /// Both references must outlive it.
    /// @param maxGateways bounds the record of leases that a peer knows, together with the lease table's own limit
    PeerUpdates(const leases::LeaseTable& leases, HostListDistributor& hosts, std::size_t maxGateways)
        : leases_(leases), hosts_(hosts), maxGateways_(maxGateways) {}

    /// Updates for all other members. None where this member is not in the view. Null: the replica is not open.
    [[nodiscard]] std::vector<PeerUpdateCall> updateAll(Millis now, const CommittedTableSource* table);

    /// A change that can't wait for the interval: updates now, or none where the last ones were sent within kPeerUpdateGatherWindow; then the
    /// next onTick() sends.
    [[nodiscard]] std::vector<PeerUpdateCall> updateSoon(Millis now, const CommittedTableSource* table);

    /// Returns updates if the interval is over or updates were requested. To be called every kServiceTick.
    [[nodiscard]] std::vector<PeerUpdateCall> onTick(Millis now, const CommittedTableSource* table);

    /// The next onTick() sends.
    void requestUpdate() { updateRequested_ = true; }

    /// Another member reported which host list it has. Ignored where it is not in the view.
    void onPeerHostList(const CommittedTableSource* table, const std::string& member,
                        const host_discovery::HostListVersion& version);

    /// Completes a PeerUpdateCall. Empty: no reply within kPeerUpdateTimeout, or a malformed one; its content is sent again.
    void onReply(const std::string& member, const std::optional<PeerUpdateReply>& reply);

    /// Drops the state of members that left the view.
    void forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember);

private:
    struct Peer {
        host_discovery::HostListVersion hostList;  // as it reported
        bool awaitsReply = false;                  // an update to it is in flight
        Millis sentAt = 0;                         // the newest update to it
        bool acceptsIncrements = false;
        Millis acknowledgedUntil = 0;         // leases granted before were acknowledged
        std::set<std::uint64_t> knownLeases;  // ids of leases that were sent in full
    };

    [[nodiscard]] PeerUpdate commonPart(Millis now, const CommittedTableSource& table) const;
    [[nodiscard]] std::optional<PeerUpdateCall> updateOne(Millis now, const replica::Member& member,
                                                          PeerUpdate peerUpdate);
    void addLeases(Millis now, Peer& peer, PeerUpdate& peerUpdate) const;

    const leases::LeaseTable& leases_;
    HostListDistributor& hosts_;
    std::size_t maxGateways_;
    std::map<std::string, Peer> peers_;  // by member's name
    Millis lastUpdateAt_ = 0;
    bool updateRequested_ = false;
};

}  // namespace beechpoint::control
