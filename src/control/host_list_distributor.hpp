/// Holds the newest known host list of the platform and fills in the full list or the changes that a gateway or another member lacks.
///
/// HostListReaderRole decides whether this member reads the list; PeerUpdates and PollResponder decide when and to whom it is sent. Without I/O.
/// Owned by GatewayServiceState.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/committed_table_source.hpp"
#include "control/host_list_reader_role.hpp"
#include "control/host_list_source.hpp"
#include "control_messages/messages.hpp"

namespace beechpoint::control {

/// A member that is not the reader relays a list to others only after holding it for this long: within two peer updates the reader has sent it
/// to every member that it can reach. Milliseconds.
inline constexpr Millis kRelayAfter = 1200;

/// How a list is sent to another member.
enum class HostListEncoding { plain, packed };

class HostListDistributor {
public:
    /// @param source must outlive this; the lists that it reads are passed to offer()
    HostListDistributor(Millis now, HostListSource& source) : role_(now, source) {}

    /// Starts or stops reading. Null: this process may not read.
    void updateReaderRole(Millis now, const CommittedTableSource* replica) {
        role_.update(now, replica, consumer_);
    }
    void stop() { role_.stop(); }
    [[nodiscard]] bool reads() const { return role_.reads(); }

    /// Offers a list that was read here or received. Returns whether it replaced the current one.
    /// @param confirmedAt when the platform last returned or confirmed it, on this process's clock
    bool offer(Millis now, std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt);
    /// Handles another member's report. Returns whether the current list was replaced.
    [[nodiscard]] bool onPeerUpdate(Millis now, const PeerUpdate& peerUpdate);
    /// Drops members that left the view, which can't have the reader role any more.
    void forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember) {
        role_.forgetMembersExcept(isMember);
    }

    /// Fills in the version, the age and the list or changes that the gateway lacks.
    void fillReply(Millis now, const PollRequest& request, PollReply& reply);
    [[nodiscard]] bool hasUpdateFor(const PollRequest& request) const {
        return list() && version() > request.hostList;
    }

    /// Fills in the version, the age and whether this member reads the list successfully.
    void describe(Millis now, PeerUpdate& peerUpdate) const;
    /// Whether this member should send the list to one that reported `held`: the reader at once, other members after kRelayAfter.
    [[nodiscard]] bool needsUpdate(Millis now, const host_discovery::HostListVersion& held) const;
    /// Fills in the changes since `held` if they are known, else the full list (plain: always the full list).
    void addUpdate(Millis now, const host_discovery::HostListVersion& held, HostListEncoding encoding,
                   PeerUpdate& peerUpdate);

    /// Null: none known.
    [[nodiscard]] const std::shared_ptr<const host_discovery::HostList>& list() const {
        return consumer_.list();
    }
    [[nodiscard]] host_discovery::HostListVersion version() const { return consumer_.version(); }
    /// Milliseconds since the list was last read or confirmed; nothing: none known.
    [[nodiscard]] std::optional<Millis> age(Millis now) const { return consumer_.age(now); }

private:
    bool offerReceived(Millis now, const PeerUpdate& peerUpdate);
    // Both are packed on first use and cached, since many gateways and members lack the same data.
    const std::string& packedList();
    const std::string& packedChanges(const host_discovery::HostListVersion& base);  // empty: none to send
    [[nodiscard]] std::optional<HostListSnapshot> snapshot(Millis now) const;       // nothing: no list known
    [[nodiscard]] Millis readAge(Millis now) const;

    HostListReaderRole role_;
    host_discovery::NewestHostList consumer_;
    host_discovery::HostListHistory history_;  // of consumer_'s lists
    Millis replacedAt_ = 0;                    // when consumer_ accepted its list
    std::string packedList_;                   // empty: not packed yet
    std::map<host_discovery::HostListVersion, std::string> packedChanges_;  // by base
};

}  // namespace beechpoint::control
