// Whole groups in virtual time: safe under every fault that a seed draws, at rest once they end; and two safeguards
// without which a checker finds what they prevent.
#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/group_world.hpp"

namespace beechpoint::emulator {
namespace {

constexpr std::uint64_t kNumber = 7001;

std::string text(const GroupReport& r) {
    std::string out;
    for (const std::string& v : r.violations) out += v + "\n";
    return out + r.restless;
}
GroupPlan shortPlan() {
    GroupPlan plan;
    plan.length = 24'000;
    plan.faultEvery = 500;
    return plan;
}
// Nothing broken and all at rest, over the seeds; what the faults met comes back summed up.
GroupReport allSound(GroupPlan plan, std::uint64_t from, std::uint64_t count) {
    GroupReport sum;
    for (std::uint64_t seed = from; seed < from + count; ++seed) {
        const GroupReport r = GroupWorld(plan, seed).run();
        EXPECT_TRUE(r.broken.empty()) << "seed " << seed << ": " << text(r);
        EXPECT_TRUE(r.rested) << "seed " << seed << ": " << r.restless;
        EXPECT_LE(r.longest, 256u);
        sum.handOvers += r.handOvers, sum.lateActs += r.lateActs, sum.leaders += r.leaders;
        sum.snapshots += r.snapshots, sum.refused += r.refused;
        for (const auto& [kind, n] : r.folders) sum.folders[kind] += n;
        for (const auto& [kind, n] : r.met) sum.met[kind] += n;
        for (const auto& [kind, n] : r.outcomes) sum.outcomes[kind] += n;
    }
    return sum;
}
// A calm group of five whose first leader is up.
struct Calm : GroupWorld {
    explicit Calm(GroupPlan plan = calm(), std::uint64_t seed = 1) : GroupWorld(plan, seed) {
        until(300);
        found(0, kNumber);
        until(5000);
    }
    static GroupPlan calm() {
        GroupPlan plan;
        plan.faultEvery = 0;
        return plan;
    }
    // Time until somebody other than `old` acts on the duty.
    Millis nextHolder(int old, const std::string& singletonRole) {
        const Millis from = now();
        while (now() < from + 20'000) {
            until(now() + 5);
            if (const int h = holder(singletonRole); h >= 0 && h != old) break;
        }
        return now() - from;
    }
};

TEST(Cluster, WithoutFaultsElectsOnceAndActsOnEveryRole) {
    GroupPlan plan = Calm::calm();
    plan.length = 15'000;
    const GroupReport r = GroupWorld(plan, 1).run();
    EXPECT_TRUE(r.broken.empty()) << text(r);
    EXPECT_TRUE(r.rested) << r.restless;
    EXPECT_EQ(r.leaders, 1u);
    EXPECT_GT(r.acts, 500u);
    EXPECT_EQ(r.refused, 0u);
}

// The short form of the long run in docs/group.md. A report whose faults met nothing would prove nothing.
TEST(ClusterSeeds, FiveWithoutADisk) {
    const GroupReport r = allSound(shortPlan(), 1, 30);
    EXPECT_GT(r.handOvers, 30u);
    EXPECT_GT(r.refused, 20u);  // spoilt datagrams
    for (const char* kind : {"kill at a leader", "stop at a leader", "stop at a holder"})
        EXPECT_GT(r.met.count(kind) ? r.met.at(kind) : 0, 0u) << kind;
}
TEST(ClusterSeeds, FiveWithAFolder) {
    GroupPlan plan = shortPlan();
    plan.lasting = true;
    const GroupReport r = allSound(plan, 1, 20);
    // A disk that keeps what it promised is never read as damaged, and crashes did come in the middle of writes.
    EXPECT_FALSE(r.folders.contains("damaged"));
    EXPECT_GT(r.folders.at("sound"), 20u);
    EXPECT_GT(r.folders.at("its last write was cut short"), 0u);
}
TEST(ClusterSeeds, SevenWithoutADisk) {
    GroupPlan plan = shortPlan();
    plan.members = plan.voters = 7;
    allSound(plan, 1, 8);
}
TEST(ClusterSeeds, VotersThatChange) {
    GroupPlan plan = shortPlan();
    plan.members = 6, plan.voters = 4, plan.changesVoters = true;
    const GroupReport r = allSound(plan, 1, 12);
    std::uint64_t changes = 0;
    for (const auto& [what, n] : r.met) changes += what.starts_with("voters changed") ? n : 0;
    EXPECT_GE(changes, 2u);
}
TEST(ClusterSeeds, LearnersBesideTheVoters) {
    GroupPlan plan = shortPlan();
    plan.members = 9;
    allSound(plan, 1, 6);
}

// The holder's clock is slow, the leader's fast, and the holder is cut off: with the drift and the margin that the rules name
// it stops first; without them the next one begins while it still acts.
TEST(ClusterBroken, WithoutMarginForClockDriftTwoMembersAct) {
    const auto two = [](bool margin) {
        GroupPlan plan = Calm::calm();
        plan.singletonRoles = 1;
        plan.willing = 3;
        plan.rates = {1, 1, 1, 1, 1};
        if (!margin) plan.times.drift = plan.times.margin = plan.times.stabilization = 0;
        std::uint64_t broken = 0;
        for (int run = 0; run < 9; ++run) {
            const int slow = run % 3;
            plan.rates.assign(5, 1.05);
            plan.rates[static_cast<std::size_t>(slow)] = 0.95;
            Calm world(plan, 1 + static_cast<std::uint64_t>(run));
            const std::string singletonRole = GroupWorld::singletonRoleName(0);
            const int old = world.holder(singletonRole);
            if (old != slow) world.giveUp(old, singletonRole, GroupWorld::name(slow));
            world.until(world.now() + 2000);
            if (world.holder(singletonRole) != slow || world.leader() == slow) continue;
            world.cutOff(slow, false, false);
            world.until(world.now() + 6000);
            EXPECT_NE(world.holder(singletonRole), slow);
            broken += world.report().broken.contains("two holders");
        }
        return broken;
    };
    EXPECT_EQ(two(true), 0u);
    EXPECT_GT(two(false), 0u);
}
TEST(ClusterBroken, WithoutFencingCheckALateActIsCarriedOut) {
    const auto back = [](bool checked) {
        GroupPlan plan = Calm::calm();
        plan.fencesChecked = checked;
        Calm world(plan);
        const std::string singletonRole = GroupWorld::singletonRoleName(0);
        const int old = world.holder(singletonRole);
        world.stop(old);  // between its check and its act
        world.nextHolder(old, singletonRole);
        world.until(world.now() + 500);
        world.proceed(old);
        return world.report().broken.contains("fence went back");
    };
    EXPECT_FALSE(back(true));
    EXPECT_TRUE(back(false));
}
// A member that is heard but hears nothing asks for votes without end. With pre-votes nobody's term moves.
TEST(ClusterBroken, WithoutPreVoteTermsRise) {
    const auto terms = [](bool preVote) {
        GroupPlan plan = Calm::calm();
        plan.safeguards.preVote = preVote;
        Calm world(plan);
        const int deaf = (world.leader() + 1) % 5;
        const raft::Term before = world.core(world.leader()).raft().currentTerm();
        world.cutOff(deaf, false, true);
        world.until(world.now() + 20'000);
        raft::Term most = 0;
        for (int i = 0; i < 5; ++i) most = std::max(most, world.core(i).raft().currentTerm());
        return most - before;
    };
    EXPECT_EQ(terms(true), 0u);
    EXPECT_GT(terms(false), 10u);
}

// ---- single troubles, each with its time

TEST(Cluster, LeaseOfAKilledHolderIsGrantedAfterItsEndAndNotBefore) {
    Calm world;
    const std::string singletonRole = GroupWorld::singletonRoleName(0);
    int old = world.holder(singletonRole);
    ASSERT_GE(old, 0);
    world.kill(old);
    const Millis took = world.nextHolder(old, singletonRole);
    EXPECT_GT(took, 1500);  // what is left of a lease that was renewed within the last 0.4 s
    EXPECT_LT(took, 3500);
}
TEST(Cluster, GracefulShutdownTransfersLeasesAtOnce) {
    Calm world;
    const std::string singletonRole = GroupWorld::singletonRoleName(1);
    const int old = world.holder(singletonRole);
    ASSERT_GE(old, 0);
    world.leave(old);
    EXPECT_LT(world.nextHolder(old, singletonRole), 1000);
}
// A drain that is undone: it takes part again, under new numbers, and never acts on what it had given up.
TEST(Cluster, DrainedMemberReleasesItsLeasesAndRejoinsLater) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Calm world(Calm::calm(), seed);
        const std::string singletonRole = GroupWorld::singletonRoleName(0);
        const int old = world.holder(singletonRole);
        const std::uint64_t fencingToken = world.core(old).leaseClient().heldLeases().at(singletonRole);
        world.leave(old);
        world.resume(old);  // at once: while its session is still being closed
        for (int i = 0; i < 200; ++i) {
            world.until(world.now() + 5);
            const auto& held = world.core(old).leaseClient().heldLeases();
            if (const auto h = held.find(singletonRole);
                h != held.end() && world.holder(singletonRole) == old) {
                ASSERT_GT(h->second, fencingToken) << seed;
            }
        }
        world.until(world.now() + 3000);
        EXPECT_TRUE(world.core(old).leaseClient().inSession(world.localNow(old))) << seed;
        EXPECT_TRUE(world.report().broken.empty()) << text(world.report());
    }
}
// Found in virtual time (short.json, seed 7): a take is settled and told by a renewal before its own answer comes; the duty
// is given up meanwhile, and the answer, late, must not bring it back: another holds it by then.
TEST(LeaseClient, LateReplyRestoresNoReleasedLease) {
    lease_sessions::LeaseClient h({}, "a", 1, {"l"}, 1, 0);
    std::vector<lease_sessions::Message> out;
    const auto says = [&](Millis now, lease_sessions::Body body) {
        h.receive(now, {"l", "a", 9, std::move(body)}, out);
    };
    h.advance(0, out);
    says(10, lease_sessions::CommandReply{1, 1, {lease_sessions::Verdict::done, 0, 5}, "l"});  // in session 5
    h.acquire("d");
    h.advance(20, out);
    std::uint64_t renewal = 0, take = 0;
    for (const lease_sessions::Message& m : out) {
        if (const auto* r = std::get_if<lease_sessions::RenewRequest>(&m.body)) renewal = r->number;
        if (const auto* a = std::get_if<lease_sessions::CommandRequest>(&m.body)) take = a->command.number;
    }
    ASSERT_EQ(take, 2u);
    says(30, lease_sessions::RenewReply{1, renewal, lease_sessions::Verdict::done, 5, "l", {{"d", 77}}});
    ASSERT_EQ(h.mayAct(31, "d"), 77u);
    h.release("d");
    EXPECT_FALSE(h.mayAct(32, "d"));
    says(40, lease_sessions::CommandReply{1, take, {lease_sessions::Verdict::done, 77, 5}, "l"});
    EXPECT_FALSE(h.mayAct(41, "d"));
    says(50, lease_sessions::GrantNotice{1, 5, "d", 77});
    EXPECT_FALSE(h.mayAct(51, "d"));
    says(60, lease_sessions::GrantNotice{1, 4, "d", 80});  // an earlier session's
    EXPECT_FALSE(h.mayAct(61, "d"));
    says(70, lease_sessions::GrantNotice{1, 5, "d", 80});
    EXPECT_EQ(h.mayAct(71, "d"), 80u);
    EXPECT_FALSE(h.mayAct(2500, "d"));
}
// Found in virtual time (short.json, seed 1): the session runs out by the own clock and is opened anew, under the same number,
// while the giving up is still on its way. A word of the old grant comes with the first renewal.
TEST(LeaseClient, ReleasedLeaseStaysReleasedWhenTheSessionIsReopened) {
    lease_sessions::LeaseClient h({}, "a", 1, {"l"}, 1, 0);
    std::vector<lease_sessions::Message> out;
    const auto says = [&](Millis now, lease_sessions::Body body) {
        h.receive(now, {"l", "a", 9, std::move(body)}, out);
    };
    const auto newestRenewal = [&] {
        std::uint64_t number = 0;
        for (const lease_sessions::Message& m : out)
            if (const auto* r = std::get_if<lease_sessions::RenewRequest>(&m.body)) number = r->number;
        return number;
    };
    h.advance(0, out);
    says(10, lease_sessions::CommandReply{1, 1, {lease_sessions::Verdict::done, 0, 5}, "l"});
    says(20,
         lease_sessions::RenewReply{1, newestRenewal(), lease_sessions::Verdict::done, 5, "l", {{"d", 77}}});
    ASSERT_EQ(h.mayAct(21, "d"), 77u);
    h.release("d");
    h.advance(30, out);    // asked; nobody answers
    h.advance(2500, out);  // the session is over by its own clock
    ASSERT_FALSE(h.inSession(2500));
    h.advance(8100, out);  // the giving up is called not known, and the session is asked for anew
    for (Millis t = 8200; t < 9000 && !h.inSession(t); t += 200) {
        h.advance(t, out);
        for (const lease_sessions::Message& m : std::vector<lease_sessions::Message>(out))
            if (const auto* a = std::get_if<lease_sessions::CommandRequest>(&m.body);
                a && a->command.op == lease_sessions::Operation::open)
                says(t, lease_sessions::CommandReply{
                            1, a->command.number, {lease_sessions::Verdict::done, 0, 5}, "l"});
    }
    ASSERT_TRUE(h.inSession(9000));
    says(9000, lease_sessions::RenewReply{
                   1, newestRenewal(), lease_sessions::Verdict::done, 5, "l", {{"d", 77}, {"e", 78}}});
    EXPECT_FALSE(h.mayAct(9001, "d"));
    EXPECT_EQ(h.mayAct(9001, "e"), 78u);
    // Its asking came to nothing, so it is given up anew: else nobody would ever have it.
    out.clear();
    h.advance(9300, out);
    const auto again = std::find_if(out.begin(), out.end(), [](const lease_sessions::Message& m) {
        const auto* a = std::get_if<lease_sessions::CommandRequest>(&m.body);
        return a != nullptr && a->command.op == lease_sessions::Operation::release &&
               a->command.fencingToken == 77;
    });
    EXPECT_NE(again, out.end());
}
// Found over 10,000 seeds (3595): numbers begin anew with each life, so an answer to the one before, come again much later, was
// taken for one's own; with it a session, and with another old word a duty.
TEST(LeaseClient, IgnoresRepliesToAnEarlierProcessIncarnation) {
    lease_sessions::LeaseClient h({}, "a", 2, {"l"}, 1, 0);
    std::vector<lease_sessions::Message> out;
    h.advance(0, out);
    h.receive(10,
              {"l", "a", 9, lease_sessions::CommandReply{1, 1, {lease_sessions::Verdict::done, 0, 5}, "l"}},
              out);
    EXPECT_FALSE(h.inSession(11));
    h.receive(12,
              {"l", "a", 9, lease_sessions::CommandReply{2, 1, {lease_sessions::Verdict::done, 0, 6}, "l"}},
              out);
    ASSERT_TRUE(h.inSession(13));
    h.receive(14, {"l", "a", 9, lease_sessions::GrantNotice{1, 6, "d", 80}}, out);
    h.receive(
        14,
        {"l", "a", 9, lease_sessions::RenewReply{1, 1, lease_sessions::Verdict::done, 6, "l", {{"d", 80}}}},
        out);
    EXPECT_FALSE(h.mayAct(15, "d"));
}
// Found over 10,000 seeds (1179): two renewals lost in a row, and from then on it asked everybody but the leader until its lease
// was over, though each of them named the leader.
TEST(LeaseClient, AsksTheNamedLeaderAfterTwoLostRenewals) {
    lease_sessions::LeaseClient h({}, "a", 1, {"l", "m", "n"}, 1, 0);
    std::vector<lease_sessions::Message> out;
    h.setLeader("l");
    h.advance(0, out);
    h.receive(10,
              {"l", "a", 9, lease_sessions::CommandReply{1, 1, {lease_sessions::Verdict::done, 0, 5}, "l"}},
              out);
    std::size_t seen = out.size();
    int lost = 2, toLeader = 0;
    for (Millis t = 20; t < 1900; t += 10) {
        h.advance(t, out);
        for (; seen < out.size(); ++seen) {
            const lease_sessions::Message m = out[seen];
            const auto* r = std::get_if<lease_sessions::RenewRequest>(&m.body);
            if (r == nullptr) continue;
            if (m.to == "l") {
                if (lost-- > 0) continue;
                ++toLeader;
            }
            h.receive(t + 5,
                      {m.to, "a", 9,
                       lease_sessions::RenewReply{
                           1,
                           r->number,
                           m.to == "l" ? lease_sessions::Verdict::done : lease_sessions::Verdict::rejected,
                           5,
                           "l",
                           {}}},
                      out);
        }
    }
    EXPECT_GE(toLeader, 1);
    EXPECT_TRUE(h.inSession(2500));
}
// Whoever waits for a request's end hears of it, also where the member leaves: a drain never ends by itself.
TEST(LeaseClient, EndSessionFailsPendingCommands) {
    lease_sessions::LeaseClient h({}, "a", 1, {"l"}, 1, 0);
    std::vector<lease_sessions::Message> out;
    h.advance(0, out);
    h.receive(10,
              {"l", "a", 9, lease_sessions::CommandReply{1, 1, {lease_sessions::Verdict::done, 0, 5}, "l"}},
              out);
    const std::uint64_t request = h.acquire("d");
    h.advance(20, out);
    EXPECT_TRUE(h.takeOutcomes().empty());
    h.endSession(30, out);
    const std::vector<lease_sessions::CommandOutcome> ends = h.takeOutcomes();
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].request, request);
    EXPECT_FALSE(ends[0].known);
}
// A request goes on to whom the asked one names, not to the next in turn.
TEST(LeaseClient, ResendsACommandToTheNamedLeader) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        lease_sessions::LeaseClient h({}, "a", 1, {"m", "n", "o"}, seed,
                                      0);  // the leader is none of those it knows
        std::vector<lease_sessions::Message> out;
        std::size_t seen = 0;
        for (Millis t = 0; t < 400 && !h.inSession(t); t += 10) {
            h.advance(t, out);
            for (; seen < out.size(); ++seen) {
                const lease_sessions::Message m = out[seen];
                const auto* ask = std::get_if<lease_sessions::CommandRequest>(&m.body);
                if (ask == nullptr) continue;
                const auto number = ask->command.number;
                const bool leads = m.to == "l";
                h.receive(
                    t + 5,
                    {m.to, "a", 9,
                     lease_sessions::CommandReply{
                         1,
                         number,
                         {leads ? lease_sessions::Verdict::done : lease_sessions::Verdict::retryLater, 0, 5},
                         "l"}},
                    out);
            }
        }
        EXPECT_TRUE(h.inSession(400)) << seed;
    }
}
TEST(Cluster, LeaseIsTransferredToANamedMember) {
    Calm world;
    const std::string singletonRole = GroupWorld::singletonRoleName(1);
    const int old = world.holder(singletonRole), next = (old + 2) % 5;
    world.giveUp(old, singletonRole, GroupWorld::name(next));
    EXPECT_LT(world.nextHolder(old, singletonRole), 900);
    EXPECT_EQ(world.holder(singletonRole), next);
    world.until(world.now() + 5000);
    EXPECT_EQ(world.holder(singletonRole), next);  // and stays
}
// It believes that nothing happened; its first act after waking asks its own clock, and what was begun before is late.
TEST(Cluster, HolderPausedPastItsLeaseDoesNotActAgain) {
    Calm world;
    const std::string singletonRole = GroupWorld::singletonRoleName(0);
    const int old = world.holder(singletonRole);
    world.stop(old);
    world.nextHolder(old, singletonRole);
    const std::uint64_t late = world.report().lateActs;
    world.until(world.now() + 500);  // the successor has acted
    world.proceed(old);
    EXPECT_EQ(world.report().lateActs, late + 1);
    EXPECT_NE(world.holder(singletonRole), old);
    world.until(world.now() + 5000);
    EXPECT_TRUE(world.report().broken.empty()) << text(world.report());
}
// The leader holds every duty and is cut off with them: for a moment there are two leaders, never two holders.
TEST(Cluster, PartitionedLeaderStopsActingBeforeOthersBegin) {
    Calm world;
    const int lead = world.leader();
    for (int d = 0; d < 3; ++d) {
        const int by = world.holder(GroupWorld::singletonRoleName(d));
        if (by != lead) world.giveUp(by, GroupWorld::singletonRoleName(d), GroupWorld::name(lead));
    }
    world.until(world.now() + 2000);
    for (int d = 0; d < 3; ++d) ASSERT_EQ(world.holder(GroupWorld::singletonRoleName(d)), lead);
    world.cutOff(lead, false, false);
    for (int d = 0; d < 3; ++d) world.nextHolder(lead, GroupWorld::singletonRoleName(d));
    world.until(world.now() + 3000);
    world.heal();
    world.until(world.now() + 5000);
    world.finish();
    EXPECT_TRUE(world.report().broken.empty()) << text(world.report());
    EXPECT_TRUE(world.report().rested) << world.report().restless;
}
// One that can send but not hear must not lead for ever: its followers hear it, and nothing is ever settled.
TEST(Cluster, LeaderWithoutContactToAMajorityStepsDown) {
    Calm world;
    const int lead = world.leader();
    world.cutOff(lead, false, true);
    world.until(world.now() + 5000);
    EXPECT_NE(world.leader(), lead);
    EXPECT_GE(world.leader(), 0);
}
// More than half forgot at once: the group decides nothing, invents nothing, and begins anew only by a person's word.
TEST(Cluster, CommitsNothingWithoutAMajorityWithStateUntilFoundedAgain) {
    Calm world;
    for (int i = 0; i < 3; ++i) world.kill(i);
    world.until(world.now() + 500);
    for (int i = 0; i < 3; ++i) world.restart(i);
    world.until(world.now() + 20'000);
    EXPECT_EQ(world.leader(), -1);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(world.core(i).raft().role(), raft::Role::recovering);
    for (int d = 0; d < 3; ++d) EXPECT_EQ(world.holder(GroupWorld::singletonRoleName(d)), -1);
    world.found(0, kNumber + 1);  // not while others have something
    world.until(world.now() + 3000);
    EXPECT_EQ(world.core(0).raft().groupNumber(), kNumber);
    for (int i = 0; i < 5; ++i) world.kill(i);
    for (int i = 0; i < 5; ++i) world.restart(i);
    world.until(world.now() + 3000);
    EXPECT_EQ(world.leader(), -1);
    world.found(2, kNumber + 1);
    world.until(world.now() + 6000);
    EXPECT_GE(world.leader(), 0);
    EXPECT_EQ(world.core(0).raft().groupNumber(), kNumber + 1);
    EXPECT_TRUE(world.report().broken.empty()) << text(world.report());
}
TEST(Cluster, TwoConcurrentFoundCallsMakeOneGroup) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GroupWorld world(Calm::calm(), seed);
        world.until(100);
        world.found(0, 11);
        world.until(100 + static_cast<Millis>(seed));
        world.found(1, 12);
        world.until(9000);
        std::set<std::uint64_t> numbers;
        for (int i = 0; i < 5; ++i)
            if (world.core(i).raft().groupNumber() != 0) numbers.insert(world.core(i).raft().groupNumber());
        EXPECT_LE(numbers.size(), 1u) << seed;
        EXPECT_TRUE(world.report().broken.empty()) << text(world.report());
    }
}
// 300 gatherers, five of them voters, at rest.
TEST(Cluster, CostOfThreeHundredMembersIsBounded) {
    GroupPlan plan = Calm::calm();
    plan.members = 300, plan.willing = 12;
    plan.length = 20'000;
    const GroupReport r = GroupWorld(plan, 1).run();
    EXPECT_TRUE(r.rested) << r.restless;
    EXPECT_LE(r.mostBytesPerS, 40'000) << r.mostBytesPerS;
}

}  // namespace
}  // namespace beechpoint::emulator
