// Values with every field set to one of its own, for messages between gateways and control members.
#pragma once

#include <cstddef>
#include <vector>

#include "control_messages/messages.hpp"

namespace beechpoint::golden {

leases::Gateway sampleGateway();
// Without load, as the directory has them.
std::vector<leases::Gateway> sampleDirectory(std::size_t count);

host_discovery::Host sampleHost();
// As many hosts with ids in order; the first is sampleHost().
std::vector<host_discovery::Host> sampleHosts(std::size_t count);
host_discovery::HostList sampleHostList(std::size_t count);
control::HostListSnapshot sampleSharedList();
host_discovery::HostListChanges sampleHostChanges(std::size_t count);

// As many changes, and the removal of a key.
TableUpdate sampleTableUpdate(std::size_t count);

control::PollRequest samplePollRequest();
// With the plain fields; encoding it packs the table.
control::PollReply samplePollReply();
control::PeerUpdate sampleShare();
control::PeerUpdateReply sampleShareReply();

}  // namespace beechpoint::golden
