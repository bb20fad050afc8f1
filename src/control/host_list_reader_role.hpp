/// Decides whether this control member reads the platform's host list: a singleton role of the view.
///
/// Members are ranked by rendezvous hashing of the role's name. The first one reads, with the view's epoch as its fencing token. The member of
/// rank n takes over when its list has not been confirmed for n * kTakeoverAfter and no member of lower rank reports reading, and stops when
/// one does. Two concurrent readers are harmless: list versions carry the fencing token and the reader.
/// Without I/O except for the HostListSource, which it starts and stops. Owned by HostListDistributor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/host_list_source.hpp"
#include "control_messages/messages.hpp"

namespace beechpoint::control {

/// Takeover delay of an unconfirmed list per member of lower rank. Milliseconds.
inline constexpr Millis kTakeoverAfter = 2000;

/// A member that has not reported reading for longer than this is not considered a reader. Milliseconds.
inline constexpr Millis kReaderReportExpiry = 1500;

class HostListReaderRole {
public:
    /// @param source must outlive it
    HostListReaderRole(Millis now, HostListSource& source) : startedAt_(now), source_(source) {}

    /// Starts or stops reading according to the view and the other members' reports.
    /// @param replica null: this process may not read
    /// @param known the newest list known here
    void update(Millis now, const CommittedTableSource* replica, const host_discovery::NewestHostList& known);
    void stop() { source_.stop(); }

    /// Handles another member's report: whether it reads, and its newest version.
    void onPeerUpdate(Millis now, const PeerUpdate& peerUpdate);
    void forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember);

    [[nodiscard]] bool reads() const { return source_.running(); }
    /// Whether no reading has failed since the last complete one.
    [[nodiscard]] bool succeeds() const { return source_.failures() == 0; }

private:
    [[nodiscard]] bool isReadBefore(const std::vector<std::string>& order, std::size_t rank,
                                    Millis now) const;
    void read(std::uint64_t epoch, const host_discovery::NewestHostList& known);

    Millis startedAt_;
    HostListSource& source_;
    std::map<std::string, Millis> reportedReadingAt_;  // when each other member last reported that it reads
    std::uint64_t fencingToken_ = 0;                   // under which the source was last started
};

}  // namespace beechpoint::control
