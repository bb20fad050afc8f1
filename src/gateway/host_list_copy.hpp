// A gateway's copy of the platform's list, as control tells it: whole, as changes, or confirmed unchanged. Free of I/O.
#pragma once

#include <memory>
#include <optional>

#include "control/messages.hpp"
#include "host_discovery/host_list.hpp"

namespace beechpoint::gateway {

class HostListCopy {
public:
    // What a control member said. Whether the list is another now.
    bool take(const control::PollReply& reply, Millis now);
    // A list that this process read by itself. Whether the list is another now.
    bool offer(std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt, Millis now);

    // What a poll says that is held; nothing where the changes told did not fit and the whole list is wanted.
    host_discovery::HostListVersion versionToAskWith() const;
    const std::shared_ptr<const host_discovery::HostList>& list() const {
        return holder_.list();
    }  // null: none yet
    host_discovery::HostListVersion version() const { return holder_.version(); }
    std::optional<Millis> age(Millis now) const { return holder_.age(now); }

private:
    bool takeChanges(const control::PollReply& reply, Millis now);

    host_discovery::NewestHostList holder_;
    bool wantsWhole_ = false;
};

}  // namespace beechpoint::gateway
