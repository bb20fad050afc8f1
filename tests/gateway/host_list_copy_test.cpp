// A gateway's copy of the host list: full list, changes, confirmation.
#include "gateway/host_list_copy.hpp"

#include <gtest/gtest.h>

namespace beechpoint::gateway {
namespace {

host_discovery::Host hostNamed(const std::string& id) {
    host_discovery::Host host;
    host.instanceId = id;
    host.service = "s";
    host.address = "10.0.0.1:80";
    return host;
}

control::PollReply fullList(std::uint64_t number, std::vector<host_discovery::Host> hosts) {
    control::PollReply reply;
    reply.hostListVersion = {1, number, 1};
    reply.hostListAge = 0;
    reply.hostList = control::HostListSnapshot{reply.hostListVersion, 100, std::move(hosts)};
    return reply;
}

control::PollReply changes(std::uint64_t from, std::uint64_t to, std::vector<host_discovery::Host> changed) {
    control::PollReply reply;
    reply.hostListVersion = {1, to, 1};
    reply.hostListAge = 0;
    reply.hostChanges.emplace();
    reply.hostChanges->changes.base = {1, from, 1};
    reply.hostChanges->changes.version = {1, to, 1};
    reply.hostChanges->changes.changed = std::move(changed);
    return reply;
}

TEST(HostListCopy, AppliesFullListOnItsOwnClock) {
    HostListCopy copy;
    EXPECT_FALSE(copy.list());
    EXPECT_TRUE(copy.apply(fullList(1, {hostNamed("a")}), 5000));
    EXPECT_EQ(copy.list()->readAt, 4900);
    EXPECT_EQ(copy.versionToPollWith().number, 1u);
}

TEST(HostListCopy, AppliesChangesToItsList) {
    HostListCopy copy;
    copy.apply(fullList(1, {hostNamed("a")}), 5000);
    EXPECT_TRUE(copy.apply(changes(1, 2, {hostNamed("b")}), 6000));
    EXPECT_EQ(copy.list()->hosts.size(), 2u);
    EXPECT_EQ(copy.version().number, 2u);
}

TEST(HostListCopy, AsksForFullListWhenChangesDoNotFit) {
    HostListCopy copy;
    EXPECT_FALSE(copy.apply(changes(3, 4, {hostNamed("b")}), 5000));
    copy.apply(fullList(1, {hostNamed("a")}), 5000);
    EXPECT_FALSE(copy.apply(changes(3, 4, {hostNamed("b")}), 6000));
    EXPECT_EQ(copy.list()->hosts.size(), 1u);
    EXPECT_EQ(copy.versionToPollWith(), host_discovery::HostListVersion{});
    EXPECT_TRUE(copy.apply(fullList(4, {hostNamed("a"), hostNamed("b")}), 7000));
    EXPECT_EQ(copy.versionToPollWith().number, 4u);
}

TEST(HostListCopy, StaysYoungWhenConfirmedUnchanged) {
    HostListCopy copy;
    copy.apply(fullList(1, {hostNamed("a")}), 5000);
    control::PollReply same;
    same.hostListVersion = {1, 1, 1};
    same.hostListAge = 50;
    EXPECT_FALSE(copy.apply(same, 9000));
    EXPECT_EQ(copy.age(9000), 50);
}

}  // namespace
}  // namespace beechpoint::gateway
