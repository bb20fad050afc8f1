#include "host_discovery/host_list_changes.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "core/splitmix.hpp"

namespace beechpoint::host_discovery {
namespace {

Host host(const std::string& id, Millis warmupLeft = 0) {
    Host out;
    out.instanceId = id;
    out.service = "model";
    out.address = "10.0.0.1:80";
    out.zone = "z";
    out.warmupLeft = warmupLeft;
    return out;
}

HostList listOf(std::uint64_t number, Millis readAt, std::vector<Host> hosts) {
    return {{1, number, 7}, readAt, std::move(hosts)};
}

std::shared_ptr<const HostList> shared(HostList list) {
    return std::make_shared<const HostList>(std::move(list));
}

TEST(HostListChanges, ListAddedChangedAndRemovedHosts) {
    const HostList base = listOf(1, 1000, {host("b"), host("c"), host("d")});
    Host draining = host("c");
    draining.state = HostState::draining;
    const HostList list = listOf(2, 3000, {host("a"), host("b"), draining, host("e")});
    const HostListChanges changes = changesBetween(base, list);
    EXPECT_EQ(changes.base, base.version);
    EXPECT_EQ(changes.version, list.version);
    EXPECT_EQ(changes.sinceBase, 2000);
    EXPECT_EQ(changes.changed, (std::vector<Host>{host("a"), draining, host("e")}));
    EXPECT_EQ(changes.removed, (std::vector<std::string>{"d"}));
    const auto applied = applyChanges(base, changes, 3000);
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->hosts, list.hosts);
}

TEST(HostListChanges, PassedTimeIsNoChangeAndIsSubtracted) {
    Host leaving = host("b");
    leaving.remaining = 5000;
    const HostList base = listOf(1, 1000, {host("a", 2500), leaving, host("c", 500)});
    Host later = leaving;
    later.remaining = 3000;
    const HostList list = listOf(2, 3000, {host("a", 500), later, host("c")});
    const HostListChanges changes = changesBetween(base, list);
    EXPECT_TRUE(changes.changed.empty());
    EXPECT_TRUE(changes.removed.empty());
    // The receiver's clock is another one.
    const auto applied = applyChanges(listOf(1, 70'900, base.hosts), changes, 72'950);
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->hosts, list.hosts);
    EXPECT_EQ(applied->readAt, 72'950);
}

TEST(HostListChanges, RestartedWarmupIsAChange) {
    const HostList base = listOf(1, 1000, {host("a")});
    const HostList list = listOf(2, 2000, {host("a", 3000)});
    EXPECT_EQ(changesBetween(base, list).changed, list.hosts);
}

TEST(HostListChanges, DoNotApplyToAnotherBase) {
    const HostList base = listOf(1, 1000, {host("a"), host("b")});
    const HostListChanges changes = changesBetween(base, listOf(2, 2000, {host("a")}));
    EXPECT_FALSE(applyChanges(listOf(3, 1000, base.hosts), changes, 2000));
    EXPECT_FALSE(applyChanges(listOf(1, 1000, {host("a")}), changes, 2000))
        << "the host that is to go is not there";
}

TEST(HostListHistory, KeepsOnlyTheLastLists) {
    HostListHistory history;
    std::vector<Host> hosts;
    for (char id = 'a'; id <= 'j'; id++) hosts.push_back(host(std::string(1, id)));
    for (std::uint64_t number = 1; number <= HostListHistory::kMaxLists + 2; number++) {
        hosts.front().revision = std::to_string(number);
        history.add(shared(listOf(number, 1000.0 * static_cast<double>(number), hosts)));
        history.add(shared(listOf(number, 9, hosts)));  // the same version again
    }
    EXPECT_EQ(history.size(), HostListHistory::kMaxLists);
    EXPECT_FALSE(history.since({1, 2, 7}));
    EXPECT_FALSE(history.since({1, HostListHistory::kMaxLists + 2, 7})) << "the newest itself";
    const auto changes = history.since({1, 3, 7});
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->changed, (std::vector<Host>{hosts.front()}));
}

TEST(HostListHistory, KeepsNewestOfLargeLists) {
    HostListHistory history;
    std::vector<Host> hosts(HostListHistory::kMaxHosts, host("x"));
    history.add(shared(listOf(1, 0, hosts)));
    history.add(shared(listOf(2, 0, hosts)));
    EXPECT_EQ(history.size(), 1u);
    EXPECT_FALSE(history.since({1, 1, 7}));
}

TEST(HostListHistory, GivesNoChangesWhenMostHostsDiffer) {
    HostListHistory history;
    history.add(shared(listOf(1, 0, {host("a"), host("b"), host("c")})));
    history.add(shared(listOf(2, 0, {host("a"), host("d"), host("e")})));
    EXPECT_FALSE(history.since({1, 1, 7}));
}

// Whatever versions a receiver misses, applying the changes gives the list that the sender holds, times within the rounding.
TEST(HostListHistory, ChangesReproduceSendersListInRandomRuns) {
    constexpr int kCourses = 200;
    constexpr int kSteps = 30;
    for (std::uint64_t seed = 1; seed <= kCourses; seed++) {
        SplitMix random(seed);
        HostListHistory history;
        std::shared_ptr<const HostList> sender, receiver;
        std::vector<Host> hosts;
        for (int id = 0; id < 12; id++) hosts.push_back(host("h" + std::to_string(100 + id)));
        Millis now = 1000;
        for (std::uint64_t step = 1; step <= kSteps; step++) {
            const Millis passed = 1 + 2000 * random();
            now += passed;
            for (Host& one : hosts) one.warmupLeft = std::max(0.0, one.warmupLeft - passed);
            const std::uint64_t kind = random.below(4);
            const std::size_t index = random.below(hosts.size());
            if (kind == 0 && hosts.size() > 6)
                hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(index));
            if (kind == 1) hosts[index].warmupLeft = 3000 * random();
            if (kind == 2) hosts[index].state = HostState::draining;
            if (kind == 3) hosts.push_back(host("h" + std::to_string(200 + step), 2500));
            sender = shared(listOf(step, now, hosts));
            history.add(sender);
            if (receiver && random() < 0.5) continue;  // this version is missed
            const auto changes = receiver ? history.since(receiver->version) : std::nullopt;
            if (!changes) {
                receiver = sender;
                continue;
            }
            receiver = applyChanges(*receiver, *changes, now);
            ASSERT_TRUE(receiver) << "seed " << seed << ", step " << step;
            EXPECT_EQ(receiver->version, sender->version);
            ASSERT_TRUE(sameHosts(*receiver, *sender, 1.0 * kSteps)) << "seed " << seed << ", step " << step;
        }
    }
}

}  // namespace
}  // namespace beechpoint::host_discovery
