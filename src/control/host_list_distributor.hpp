/// The platform's host list at a control member: holds the newest list known and fills in what a gateway or another member lacks of it.
///
/// HostListReaderRole decides whether this member reads the list; PeerUpdates and PollResponder decide when it is sent and to whom. Free of I/O.
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

/// A member that does not read the list sends it to others only when it has held it for so long: after two peer updates the reader has sent it
/// to all members that it reaches. Milliseconds.
inline constexpr Millis kRelayAfter = 1200;

/// How a list is sent to another member.
enum class HostListEncoding { plain, packed };

class HostListDistributor {
public:
    /// @param source must outlive it; what it reads is to be handed to offer()
    HostListDistributor(Millis now, HostListSource& source) : role_(now, source) {}

    /// Starts or stops reading. Null: this process may not read.
    void updateReaderRole(Millis now, const CommittedTableSource* replica) {
        role_.update(now, replica, consumer_);
    }
    void stop() { role_.stop(); }
    [[nodiscard]] bool reads() const { return role_.reads(); }

    /// A list, read here or received. True where it replaces the one held.
    /// @param confirmedAt when the platform last gave or confirmed it, on this process's clock
    bool offer(Millis now, std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt);
    /// What another member reports. True where the list held was replaced.
    [[nodiscard]] bool onPeerUpdate(Millis now, const PeerUpdate& peerUpdate);
    /// A member that is no longer in the view can't have the reader role.
    void forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember) {
        role_.forgetMembersExcept(isMember);
    }

    /// Fills in the version, the age and what the gateway lacks.
    void fillReply(Millis now, const PollRequest& request, PollReply& reply);
    [[nodiscard]] bool hasUpdateFor(const PollRequest& request) const {
        return list() && version() > request.hostList;
    }

    /// Fills in the version, the age and whether this member reads with success.
    void describe(Millis now, PeerUpdate& peerUpdate) const;
    /// Whether this member is to send the list to another one that reported `held`: the reader at once, others after kRelayAfter.
    [[nodiscard]] bool needsUpdate(Millis now, const host_discovery::HostListVersion& held) const;
    /// Fills in what it lacks: changes where they are known and smaller, else the full list (plain: always the full list).
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
    // Both are packed at the first use for each list, since many gateways and members lack the same.
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
