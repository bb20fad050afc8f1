/// State machine of a control member for gateways' polls and the other members' updates, without I/O or clock.
///
/// Each event carries the time and the replica's current state (null: not open yet); poll answers and peer updates to send are returned.
/// GatewayService (gateway_service.hpp) drives it from one thread. It dispatches events to its components:
///
///   leases::LeaseTable     which gateways hold a lease; renewed by polls, merged from the other members' updates
///   LongPolls              selects the waiting polls to answer
///   PollResponder          builds the answer to a poll
///   GatewayCountMonitor    detects an increased gateway count, which is announced to all gateways
///   HostListDistributor    the platform's host list, and whether this member reads it
///   PeerUpdates            builds and schedules updates to the other members
///
///   event                  | long polls answered                        | peer updates
///   onPoll                 | the gateway's earlier one, with no update  | soon, if the gateway is new or changed for clients
///   onPeerUpdate           | where it brought another host list         | -
///   onTableChanged         | those of an older position                 | -
///   onHostList (new list)  | those of another list                      | at once, where this member reads the list
///   onViewChanged          | -                                          | at the next tick
///   tick                   | at the end of their wait; count increased  | by the interval, or where requested
///   drain                  | all, with notFresh                         | -
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/gateway_count_monitor.hpp"
#include "control/host_list_distributor.hpp"
#include "control/long_polls.hpp"
#include "control/peer_updates.hpp"
#include "control/poll_responder.hpp"
#include "control_messages/messages.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

/// The answer to the poll that came with `ticket`.
struct PollAnswer {
    PollTicket ticket = 0;
    PollReply reply;
};

/// Actions for the caller to perform, in this order.
struct ServiceActions {
    std::vector<PollAnswer> answers;
    std::vector<PeerUpdateCall> peerUpdates;
    bool gatewaysChanged = false;  ///< a lease was granted, or other members' leases were received
};

class GatewayServiceState {
public:
    /// @param source must outlive this; the lists that it reads are passed to onHostList()
    GatewayServiceState(leases::LeaseTable::Settings settings, Millis now, HostListSource& source);
    // Its components refer to one another.
    GatewayServiceState(const GatewayServiceState&) = delete;
    GatewayServiceState& operator=(const GatewayServiceState&) = delete;

    /// Handles a gateway's poll, which renews its lease. The answer with `ticket` is returned now or by a later event.
    [[nodiscard]] ServiceActions onPoll(Millis now, const CommittedTableSource* table, PollRequest request,
                                        PollTicket ticket);
    /// Handles another member's update. `reply` is filled in and must be sent before the actions are performed.
    [[nodiscard]] ServiceActions onPeerUpdate(Millis now, const CommittedTableSource* table,
                                              const PeerUpdate& peerUpdate, PeerUpdateReply& reply);
    /// Completes a PeerUpdateCall. Empty: no reply in time, or a malformed one.
    void onPeerUpdateReply(const std::string& member, const std::optional<PeerUpdateReply>& reply);
    /// The committed table has a new position.
    [[nodiscard]] ServiceActions onTableChanged(Millis now, const CommittedTableSource* table);
    /// The replica has another view.
    void onViewChanged(Millis now, const CommittedTableSource* table);
    /// The source read a list, or confirmed its current list at `confirmedAt`.
    [[nodiscard]] ServiceActions onHostList(Millis now, const CommittedTableSource* table,
                                            std::shared_ptr<const host_discovery::HostList> list,
                                            Millis confirmedAt);
    /// To be called every kServiceTick.
    [[nodiscard]] ServiceActions tick(Millis now, const CommittedTableSource* table);
    /// Graceful shutdown: answers all long polls, and every later poll at once, with notFresh, so that gateways switch to another member.
    [[nodiscard]] ServiceActions drain();

    [[nodiscard]] const leases::LeaseTable& leases() const { return leases_; }
    [[nodiscard]] const HostListDistributor& hosts() const { return hosts_; }
    [[nodiscard]] std::size_t pendingLongPolls() const { return polls_.size(); }
    /// Whether a poll waits for the table to become fresh; tick() must then be called more often.
    [[nodiscard]] bool waitsForFreshness() const { return polls_.waitsForFreshness(); }
    [[nodiscard]] Millis leaseMs() const { return leaseMs_; }

private:
    enum class Renewal { refused, unchanged, changed };

    [[nodiscard]] Freshness freshness(Millis now, const CommittedTableSource* table) const;
    [[nodiscard]] Renewal renewLease(Millis now, const leases::Gateway& gateway);
    [[nodiscard]] bool hasUpdate(const CommittedTableSource& table, const PollRequest& request);
    void noteTableChanges(const CommittedTableSource& table);

    [[nodiscard]] bool isOfOtherCluster(const CommittedTableSource* table, std::uint64_t clusterId) const;

    // Includes the members of the view, if known, so that a gateway without other addresses can switch to them.
    void refuse(const CommittedTableSource* table, PollTicket ticket, PollStatus status,
                ServiceActions& actions) const;
    void answerSuperseded(Millis now, const CommittedTableSource* table, const std::string& gateway,
                          ServiceActions& actions);
    void answer(Millis now, const CommittedTableSource* table, const PollRequest& request, PollTicket ticket,
                ServiceActions& actions);
    void answerAll(Millis now, const CommittedTableSource* table, const std::vector<LongPoll>& polls,
                   ServiceActions& actions);
    void answerAnswerable(Millis now, const CommittedTableSource* table, Millis ahead,
                          ServiceActions& actions);
    void updateReaderRole(Millis now, const CommittedTableSource* table);

    Millis leaseMs_;
    leases::LeaseTable leases_;
    HostListDistributor hosts_;
    LongPolls polls_;
    PollResponder responder_;
    GatewayCountMonitor count_;
    PeerUpdates peerUpdates_;
    Position checkedPosition_;  // committed position at the last check for changes
    Position updatePosition_;   // newest position with a change relevant to gateways
    bool draining_ = false;
};

}  // namespace beechpoint::control
