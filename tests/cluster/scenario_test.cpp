// Scenarios of faults as files: read strictly, and played in virtual time with the state machines that the processes run.
#include <gtest/gtest.h>

#include "cluster/outbox.hpp"
#include "cluster/wire.hpp"
#include "emulator/group_run.hpp"

namespace beechpoint {
namespace {

using namespace emulator;

std::string why(const std::string& text) {
    try {
        readGroupScenario(text);
        return "";
    } catch (const BadGroupScenario& e) {
        return e.what();
    }
}
TEST(GroupScenario, NamesTheFieldOfAnInvalidScenario) {
    EXPECT_EQ(why(R"({"name":"x"})"), "");
    EXPECT_EQ(why(R"({"name":"x","member":3})"), "scenario: no such key: member");
    EXPECT_EQ(why(R"({"name":"x","voters":9,"members":12})"), "voters: 1 to 7, and no more than members");
    EXPECT_EQ(why(R"({"name":"x","script":[{"atS":1,"what":"burn"}]})"), "script: no such fault: burn");
    EXPECT_EQ(why(R"({"name":"x","script":[{"atS":1,"what":"kill","whom":"g7"}]})"), "script: nobody is g7");
    EXPECT_EQ(why(R"({"name":"x","script":[{"atS":25,"what":"kill"}]})"),
              "script: kill at 25 s is not before the quiet end");
    EXPECT_EQ(why(R"({"name":"x","random":{"everyMs":900,"weights":{"flood":1}}})"),
              "random: no such fault: flood");
    EXPECT_NE(why("{"), "");
}
// The files that real processes are played by (process_test), here in virtual time and over seeds.
TEST(GroupScenario, ShortScenarioPassesInVirtualTime) {
    const GroupScenario s = readGroupScenarioFile(BEECHPOINT_SCENARIOS "/group/short.json");
    GroupTimes all;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const GroupResults r = runGroupVirtual(s, seed);
        EXPECT_TRUE(r.report.broken.empty() && r.report.rested) << summary(s, seed, r);
        all.afterKill.insert(all.afterKill.end(), r.times.afterKill.begin(), r.times.afterKill.end());
        all.afterEnd.insert(all.afterEnd.end(), r.times.afterEnd.begin(), r.times.afterEnd.end());
    }
    ASSERT_GT(all.afterKill.size(), 8u);
    ASSERT_GT(all.afterEnd.size(), 8u);
    std::sort(all.afterEnd.begin(), all.afterEnd.end());
    EXPECT_LT(all.afterEnd[all.afterEnd.size() / 2], 300);  // handed on in order: no lease is waited for
    EXPECT_GT(*std::min_element(all.afterKill.begin(), all.afterKill.end()), 1000);
}
TEST(GroupScenario, LongScenariosPassInVirtualTimeForTwoMinutes) {
    for (const char* file : {"/group/long-5.json", "/group/long-7.json"}) {
        GroupScenario s = readGroupScenarioFile(std::string(BEECHPOINT_SCENARIOS) + file);
        s.length = 120'000;
        const GroupResults r = runGroupVirtual(s, s.seed);
        EXPECT_TRUE(r.report.broken.empty() && r.report.rested) << summary(s, s.seed, r);
        EXPECT_GT(r.report.handOvers, 20u) << summary(s, s.seed, r);
    }
}

// Nothing that was said after a promise leaves before the promise is durable, and the order stays.
TEST(Outbox, DelaysDatagramsUntilTheEarlierWriteIsDurable) {
    using cluster::Datagram;
    cluster::Outbox box(3);
    const auto step = [](const char* text) { return std::vector<Datagram>{{"g1", text}}; };
    const auto text = [](const std::vector<Datagram>& list) {
        std::string all;
        for (const Datagram& d : list) all += d.bytes;
        return all;
    };
    EXPECT_EQ(text(box.enqueue(step("a"), false)), "a");
    EXPECT_EQ(text(box.enqueue(step("b"), true)), "");
    EXPECT_EQ(text(box.enqueue(step("c"), false)), "");
    EXPECT_EQ(text(box.enqueue(step("d"), true)), "");
    EXPECT_EQ(text(box.enqueue(step("lost"), false)), "");  // no room: as if lost on its way
    EXPECT_EQ(box.dropped(), 1u);
    EXPECT_EQ(text(box.enqueue(step("too"), true)), "");  // the gate stays, its words are lost
    EXPECT_EQ(text(box.releaseOldestWrite()), "bc");
    EXPECT_EQ(text(box.releaseOldestWrite()), "d");
    EXPECT_EQ(text(box.releaseOldestWrite()), "");
    EXPECT_EQ(box.waiting(), 0u);
    EXPECT_EQ(text(box.enqueue(step("e"), false)), "e");
}

// Membership's longest messages fit into one datagram, and what is read is what was written.
TEST(MembershipWire, LongestMessagesFitOneDatagram) {
    const std::string name(19, 'n');
    gossip::PingRequest longest{~0ull, name, {}};
    // As many as the rule's bytes let in: each three of the form, the name and two numbers.
    for (std::size_t bytes = 0; (bytes += 3 + name.size() + 5 + 5) <= gossip::kMaxRumourBytes;)
        longest.rumours.push_back({name, gossip::Presence::suspect, (1ull << 32) - 1, 0xffffffffull});
    const std::string body = cluster::write(gossip::Body(longest));
    const std::string sealed =
        gossip::encodeDatagram("group", {gossip::Channel::membership, name, ~0ull, 0x7fffffff}, body);
    EXPECT_FALSE(sealed.empty());
    EXPECT_LE(sealed.size(), 256u);
    const auto read = cluster::readMembership(body);
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<gossip::PingRequest>(*read).rumours.back().member, name);
    longest.rumours.assign(gossip::kMaxRumours + 1, {"g", gossip::Presence::alive, 1, 0});
    EXPECT_FALSE(
        cluster::readMembership(cluster::write(gossip::Body(longest))));  // more than the rule allows
    EXPECT_FALSE(cluster::readMembership(body.substr(1)));
}

}  // namespace
}  // namespace beechpoint
