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

#include "control/messages.hpp"
#include "core/logger.hpp"
#include "instances/poller.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::replica {
class Replica;
}

namespace beechpoint::control {

inline constexpr Millis kTakeoverAfter =
    2000;  // an unconfirmed list, for each place in the order of the duty

class SharedHosts {
public:
    // `onChange` is called with each list that takes another's place, not from within the constructor.
    SharedHosts(asio::io_context& io, const Clock& clock, Logger& logger,
                instances::Poller::Settings settings, std::uint64_t seed, std::function<void()> onChange);

    // Reads or leaves it to another, by the view. Null: this process may not read.
    void look(Millis now, const replica::Replica* replica);
    void stop() { poller_.stop(); }
    // What another member told.
    void take(Millis now, const Share& share);
    // A member that is no longer in the view can't hold the duty.
    void forget(const std::function<bool(const std::string& member)>& isMember);

    // Fills in the version, the age and what the gateway lacks.
    void answer(Millis now, const PollRequest& request, PollReply& reply) const;
    bool hasNewsFor(const PollRequest& request) const { return list() && version() > request.hostList; }
    // Fills in the version, the age and whether this member reads.
    void describe(Millis now, Share& share) const;
    std::optional<SharedHostList> whole(Millis now) const;  // nothing: none known

    const std::shared_ptr<const instances::HostList>& list() const { return holder_.list(); }
    instances::HostListVersion version() const { return holder_.version(); }
    std::optional<Millis> age(Millis now) const { return holder_.age(now); }
    bool reads() const { return poller_.running(); }

private:
    void offer(std::shared_ptr<const instances::HostList> list, Millis confirmedAt);
    bool isReadBefore(const std::vector<std::string>& order, std::size_t rank, Millis now) const;
    void read(std::uint64_t epoch);
    Millis readAge(Millis now) const;

    const Clock& clock_;
    Millis startedAt_;
    instances::HostListHolder holder_;
    instances::HostListHistory history_;  // of holder_
    std::function<void()> onChange_;
    std::map<std::string, Millis> readElsewhere_;  // when each other member last said that it reads
    std::uint64_t fence_ = 0;
    instances::Poller poller_;
};

}  // namespace beechpoint::control
