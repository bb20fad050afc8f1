#include "host_discovery/host_list.hpp"

#include <gtest/gtest.h>

namespace beechpoint::host_discovery {
namespace {

Host host(const std::string& id, Millis warmupLeft = 0) {
    Host host;
    host.instanceId = id;
    host.service = "s";
    host.address = "10.0.0.1:80";
    host.warmupLeft = warmupLeft;
    return host;
}

std::shared_ptr<const HostList> list(HostListVersion version, Millis readAt, std::vector<Host> hosts = {}) {
    return std::make_shared<const HostList>(HostList{version, readAt, std::move(hosts)});
}

TEST(HostList, ComparesWarmupEndsAsMoments) {
    const HostList first{{}, 1000, {host("a", 5000)}};
    EXPECT_TRUE(sameHosts(first, {{}, 3000, {host("a", 3000)}}, 250));
    EXPECT_TRUE(sameHosts(first, {{}, 3000, {host("a", 3200)}}, 250));
    EXPECT_FALSE(sameHosts(first, {{}, 3000, {host("a", 5000)}}, 250));
    EXPECT_TRUE(sameHosts(first, {{}, 9000, {host("a", 0)}}, 250));
    EXPECT_FALSE(sameHosts(first, {{}, 9000, {host("a", 2000)}}, 250));
}

TEST(HostList, DiffersWhenAnyOtherFieldDiffers) {
    const HostList first{{}, 0, {host("a")}};
    const auto differs = [&](auto change) {
        HostList other = first;
        change(other.hosts.front());
        return !sameHosts(first, other, 250);
    };
    EXPECT_TRUE(differs([](Host& h) { h.instanceId = "b"; }));
    EXPECT_TRUE(differs([](Host& h) { h.service = "t"; }));
    EXPECT_TRUE(differs([](Host& h) { h.address = "10.0.0.2:80"; }));
    EXPECT_TRUE(differs([](Host& h) { h.zone = "z"; }));
    EXPECT_TRUE(differs([](Host& h) { h.revision = "v2"; }));
    EXPECT_TRUE(differs([](Host& h) { h.capacity = 3; }));
    EXPECT_TRUE(differs([](Host& h) { h.state = HostState::draining; }));
    EXPECT_TRUE(differs([](Host& h) { h.remaining = 100; }));
    EXPECT_TRUE(differs([](Host& h) { h.phase = "both"; }));
    EXPECT_TRUE(differs([](Host& h) { h.models = {{"m", 1, {}}}; }));
    EXPECT_FALSE(sameHosts(first, {{}, 0, {host("a"), host("b")}}, 250));
}

TEST(NewestHostList, AcceptsOnlyNewerVersions) {
    NewestHostList newest;
    EXPECT_FALSE(newest.age(0).has_value());
    EXPECT_FALSE(newest.offer(nullptr, 0, 0));
    EXPECT_TRUE(newest.offer(list({2, 1, 7}, 100), 100, 110));
    EXPECT_FALSE(newest.offer(list({1, 9, 7}, 200), 200, 210));
    EXPECT_EQ(newest.version().fencingToken, 2u);
    EXPECT_TRUE(newest.offer(list({2, 2, 7}, 200), 200, 210));
    EXPECT_EQ(newest.age(250), 50);
}

TEST(NewestHostList, AgeRestartsWhenConfirmed) {
    NewestHostList newest;
    newest.offer(list({1, 1, 7}, 100), 100, 100);
    EXPECT_TRUE(newest.confirm({1, 1, 7}, 900));
    EXPECT_FALSE(newest.confirm({1, 2, 7}, 950));
    EXPECT_TRUE(newest.confirm({1, 1, 7}, 500));  // reported late: changes nothing
    EXPECT_EQ(newest.age(1000), 100);
    EXPECT_FALSE(newest.offer(list({1, 1, 7}, 1000), 1000, 1000));
    EXPECT_EQ(newest.age(1000), 0);
}

// After all control members lost their disks the fencing tokens begin anew: a list that nobody confirms is replaced by a younger one.
TEST(NewestHostList, StaleListIsReplacedUnderLowerFencingToken) {
    NewestHostList newest;
    newest.offer(list({5, 1, 7}, 100), 100, 100);
    EXPECT_FALSE(newest.offer(list({1, 1, 7}, 3000), 3000, 3100));
    EXPECT_TRUE(newest.offer(list({1, 1, 7}, 3000), 3000, 3101));
}

}  // namespace
}  // namespace beechpoint::host_discovery
