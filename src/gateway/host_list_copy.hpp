/// A gateway's copy of the platform's host list, as control sends it: in full, as changes, or confirmed unchanged. Also takes
/// lists that the gateway read from the platform itself. Free of I/O.
#pragma once

#include <memory>
#include <optional>

#include "control_messages/messages.hpp"
#include "host_discovery/host_list.hpp"

namespace beechpoint::gateway {

class HostListCopy {
public:
    /// Applies what a control member's reply says of the list, at `now`. Whether the list is another now.
    bool apply(const control::PollReply& reply, Millis now);
    /// A list that this process read itself, confirmed at `confirmedAt`. Whether the list is another now.
    bool offer(std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt, Millis now);

    /// The version that a poll states as known here; none where the last changes did not fit and the full list is wanted.
    [[nodiscard]] host_discovery::HostListVersion versionToPollWith() const;
    /// Null: none yet.
    [[nodiscard]] const std::shared_ptr<const host_discovery::HostList>& list() const {
        return newest_.list();
    }
    [[nodiscard]] host_discovery::HostListVersion version() const { return newest_.version(); }
    /// Time since the list was last read or confirmed; nothing where there is none.
    [[nodiscard]] std::optional<Millis> age(Millis now) const { return newest_.age(now); }

private:
    bool applyChanges(const control::PollReply& reply, Millis now);

    host_discovery::NewestHostList newest_;
    bool needsFullList_ = false;
};

}  // namespace beechpoint::gateway
