#include "dispatch/prefix_affinity.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

std::vector<PromptPart> promptOf(int document, std::uint32_t sharedTokens) {
    return {{"system", sharedTokens / 3},
            {"document" + std::to_string(document), sharedTokens - sharedTokens / 3},
            {"own", 500}};
}

TEST(SharedPrefix, CoversAllPartsButTheLast) {
    const SharedPrefix shared = sharedPrefix(promptOf(1, 900));
    EXPECT_EQ(shared.tokens, 900u);
    EXPECT_NE(shared.key, sharedPrefix(promptOf(2, 900)).key);
    EXPECT_EQ(sharedPrefix({{"own", 10}}).tokens, 0u);
    EXPECT_EQ(sharedPrefix({}).tokens, 0u);
    EXPECT_NE(sharedPrefix({{"ab", 1}, {"c", 1}, {"x", 1}}).key,
              sharedPrefix({{"a", 1}, {"bc", 1}, {"x", 1}}).key);
}

TEST(Rendezvous, SpreadsPrefixesAndMovesOnlyThoseOfRemovedHost) {
    std::vector<std::string> names;
    for (int i = 0; i < 10; ++i) names.push_back("i-" + std::to_string(i));
    std::vector<const std::string*> all, fewer;
    for (const std::string& name : names) all.push_back(&name);
    fewer.assign(all.begin(), all.end() - 1);
    std::map<int, int> homes;
    for (std::uint64_t key = 0; key < 2000; ++key) {
        const std::vector<int> ranks = rendezvousRanks(key, all);
        const int home = static_cast<int>(std::find(ranks.begin(), ranks.end(), 0) - ranks.begin());
        ++homes[home];
        const std::vector<int> after = rendezvousRanks(key, fewer);
        if (home == 9) continue;
        EXPECT_EQ(after[static_cast<std::size_t>(home)], 0);
    }
    for (const auto& [home, prefixes] : homes) EXPECT_NEAR(prefixes, 200, 60) << home;
}

class PrefixAffinityTest : public testing::Test {
protected:
    static std::vector<Host> hosts() {
        std::vector<Host> list;
        for (int i = 0; i < 8; ++i) {
            Host host = makeHost("i-" + std::to_string(i));
            host.capacity = 64;
            list.push_back(host);
        }
        return list;
    }
    static RequestArrived stream(Harness& harness, int document, std::uint32_t sharedTokens) {
        RequestArrived arrived = harness.request(RequestType::streaming);
        arrived.latencyTarget = 800;
        arrived.deadline = 5000;
        arrived.prompt = promptOf(document, sharedTokens);
        arrived.maxOutputTokens = 50;
        return arrived;
    }
    static std::string sendAndServe(Harness& harness, const RequestArrived& arrived) {
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
        EXPECT_EQ(sends.size(), 1u);
        harness.advance(50);
        harness.serve(arrived.id, 0);
        return sends.empty() ? "" : sends.front().instanceId;
    }
};

TEST_F(PrefixAffinityTest, GatewaysWithDifferentSeedsChooseSameHostForLongPrefix) {
    Harness first(testSettings(), 1), second(testSettings(), 99);
    for (Harness* harness : {&first, &second}) harness->start(hosts(), {makeService("svc", 0, 0, true)}, 2);
    std::set<std::string> used;
    for (int document = 0; document < 40; ++document) {
        const std::string host = sendAndServe(first, stream(first, document, 6000));
        EXPECT_EQ(host, sendAndServe(second, stream(second, document, 6000)));
        EXPECT_EQ(host, sendAndServe(first, stream(first, document, 6000)));
        used.insert(host);
    }
    EXPECT_GE(used.size(), 6u);
}

TEST_F(PrefixAffinityTest, ShortPrefixIsSpreadOverHosts) {
    Harness harness;
    harness.start(hosts(), {makeService("svc", 0, 0, true)});
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i) used.insert(sendAndServe(harness, stream(harness, 1, 60)));
    EXPECT_GE(used.size(), 4u);
}

TEST_F(PrefixAffinityTest, OverloadedHomeSpillsToOtherHosts) {
    Harness harness;
    harness.start(hosts(), {makeService("svc", 0, 0, true)});
    std::map<std::string, int> used;
    for (int i = 0; i < 40; ++i) {
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(stream(harness, 1, 6000)));
        ASSERT_EQ(sends.size(), 1u);
        ++used[sends.front().instanceId];
    }
    EXPECT_GE(used.size(), 2u);
    for (const auto& [host, requests] : used) EXPECT_LT(requests, 30) << host;
}

TEST_F(PrefixAffinityTest, GatewaysChooseSameSecondHostWhenHomeIsRemoved) {
    Harness first(testSettings(), 1), second(testSettings(), 99);
    for (Harness* harness : {&first, &second}) harness->start(hosts(), {makeService("svc", 0, 0, true)}, 2);
    const std::string home = sendAndServe(first, stream(first, 3, 6000));
    std::vector<Host> remaining = hosts();
    std::erase_if(remaining, [&](const Host& host) { return host.instanceId == home; });
    for (Harness* harness : {&first, &second}) harness->handle(HostList{remaining});
    const std::string nextHost = sendAndServe(first, stream(first, 3, 6000));
    EXPECT_NE(nextHost, home);
    EXPECT_EQ(nextHost, sendAndServe(second, stream(second, 3, 6000)));
}

}  // namespace
}  // namespace beechpoint::dispatch
