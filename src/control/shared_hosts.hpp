// The platform's host list at a control member: holds the newest one known, reads it while this member has the duty, and says
// what a gateway or another member lacks of it. How lists travel between members is GatewayService's part.
//
// The duty: the first in the rendezvous order of the view's members reads, under the epoch as its fence. The next one steps in when the
// list has not been confirmed for kTakeoverAfter for each place in the order, and steps back when one before it reads again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/host_list_source.hpp"
#include "control/messages.hpp"

namespace beechpoint::control {

inline constexpr Millis kTakeoverAfter =
    2000;                                    // an unconfirmed list, for each place in the order of the duty
inline constexpr Millis kRelayAfter = 1200;  // two shares: the reader has told all members by then

class SharedHosts {
public:
    // `source` must outlive it; what it reads is to be handed to offer().
    SharedHosts(Millis now, HostListSource& source) : startedAt_(now), source_(source) {}

    // Reads or leaves it to another, by the view. Null: this process may not read.
    void look(Millis now, const CommittedTableSource* replica);
    void stop() { source_.stop(); }
    // A list, read here or told. Whether it is the newest now.
    bool offer(Millis now, std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt);
    // What another member told. Whether there is another list now.
    bool take(Millis now, const PeerUpdate& peerUpdate);
    // A member that is no longer in the view can't hold the duty.
    void forget(const std::function<bool(const std::string& member)>& isMember);

    // Fills in the version, the age and what the gateway lacks.
    void answer(Millis now, const PollRequest& request, PollReply& reply);
    bool hasNewsFor(const PollRequest& request) const { return list() && version() > request.hostList; }
    // Fills in the version, the age and whether this member reads.
    void describe(Millis now, PeerUpdate& peerUpdate) const;
    // Whether another member, which said that it has `held`, is to be sent the list by this one: by the reader at once, by others where the
    // reader did not within kRelayAfter.
    bool isToTell(Millis now, const host_discovery::HostListVersion& held) const;
    // Fills in what it lacks; packed only where it takes that.
    void tell(Millis now, const host_discovery::HostListVersion& held, bool packed, PeerUpdate& peerUpdate);

    const std::shared_ptr<const host_discovery::HostList>& list() const { return holder_.list(); }
    host_discovery::HostListVersion version() const { return holder_.version(); }
    std::optional<Millis> age(Millis now) const { return holder_.age(now); }
    bool reads() const { return source_.running(); }

private:
    bool takeList(Millis now, const PeerUpdate& peerUpdate);
    const std::string& packedList();
    const std::string& packedChanges(
        const host_discovery::HostListVersion& held);       // empty: none, or not worth it
    std::optional<SharedHostList> whole(Millis now) const;  // nothing: none known
    bool isReadBefore(const std::vector<std::string>& order, std::size_t rank, Millis now) const;
    void read(std::uint64_t epoch);
    Millis readAge(Millis now) const;

    Millis startedAt_;
    HostListSource& source_;
    host_discovery::NewestHostList holder_;
    host_discovery::HostListHistory history_;  // of holder_
    Millis takenAt_ = 0;                       // when holder_ took its list
    std::string packedList_;                   // of holder_; empty: not packed yet
    std::map<host_discovery::HostListVersion, std::string> packedChanges_;  // to holder_'s list, by the base
    std::map<std::string, Millis> readElsewhere_;  // when each other member last said that it reads
    std::uint64_t fencingToken_ = 0;
};

}  // namespace beechpoint::control
