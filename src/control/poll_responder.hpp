/// Builds the replies to gateways' polls.
///
///   small state   directory sample, counts, members, ages: in each reply
///   large state   table and host list, where they are newer than what the gateway holds. To a gateway that accepts packed state more than
///                 kLargeReply is sent only with a transfer slot, the others are told when to ask again; and a reply of more than
///                 kReplyBudget in all has the table only, the gateway's next poll asks for the host list. A table of more than kChunkBytes
///                 goes in chunks to gateways that accept them (table_transfers.hpp)
///
/// When a poll is answered is GatewayServiceState's decision. Free of I/O. Owned by GatewayServiceState, as all that it refers to.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "control/committed_table_source.hpp"
#include "control/directory_sample.hpp"
#include "control/host_list_distributor.hpp"
#include "control/long_polls.hpp"
#include "control/packed_table_updates.hpp"
#include "control/table_transfers.hpp"
#include "control/transfer_slots.hpp"
#include "control_messages/messages.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

inline constexpr Millis kDirectoryRefresh = 100;  ///< the directory sample is at most so old; milliseconds
inline constexpr std::size_t kLargeReply = 4096;  ///< bytes of packed state; more needs a transfer slot
inline constexpr std::size_t kReplyBudget =
    65'536;  ///< bytes of packed state in a reply with table and host list

class PollResponder {
public:
    /// All references must outlive it.
    /// @param leaseMs length of the leases, milliseconds
    PollResponder(Millis leaseMs, const leases::LeaseTable& leases, HostListDistributor& hosts,
                  const LongPolls& polls)
        : leaseMs_(leaseMs), leases_(leases), hosts_(hosts), polls_(polls) {}

    /// The gateway polled: its previous reply has arrived.
    void onPoll(Millis now, const std::string& gateway) { slots_.release(now, gateway); }

    /// The gateway renewed its lease: records the region of its zone.
    void onRenewal(const leases::Gateway& gateway);

    /// The state that the gateway lacks; status notFresh if the table is not fresh.
    [[nodiscard]] PollReply reply(Millis now, const CommittedTableSource& table, const PollRequest& request);

    /// For a poll that a newer one of the same gateway has replaced: without the state that the newer one's answer contains.
    [[nodiscard]] PollReply supersededReply(const CommittedTableSource& table,
                                            const PollRequest& request) const;

    /// Contains no state except the members of the view, if there is a table.
    [[nodiscard]] PollReply refusal(const CommittedTableSource* table, PollStatus status) const;

private:
    [[nodiscard]] bool addTable(Millis now, const CommittedTableSource& table, const PollRequest& request,
                                PollReply& reply);
    void limitLargeState(Millis now, const PollRequest& request, PollReply& reply);
    void addDirectory(Millis now, const PollRequest& request, PollReply& reply);
    void addSmallState(Millis now, const CommittedTableSource& table, const PollRequest& request,
                       PollReply& reply);
    void addMembers(const CommittedTableSource& table, PollReply& reply) const;

    Millis leaseMs_;
    const leases::LeaseTable& leases_;
    HostListDistributor& hosts_;
    const LongPolls& polls_;
    TransferSlots slots_;
    PackedTableUpdates tableUpdates_;
    TableTransfers transfers_;
    DirectorySamples directory_;
    std::optional<Millis> directoryUpdatedAt_;
    std::map<std::string, std::string> regions_;  // by zone, as gateways report
};

}  // namespace beechpoint::control
