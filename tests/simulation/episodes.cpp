#include "episodes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace beechpoint::simulation {
namespace {

constexpr Millis kFirstView = 6'000;
constexpr Millis kFaultMoment = 4'000;           // to wait for the moment of a fault
constexpr Millis kNextAcknowledgement = 15'000;  // operators wait 2 s for each unresponsive member
constexpr Millis kContact = 4'000;      // contact_ms: the members count as stable so long after a fault
constexpr Millis kAcknowledge = 5'000;  // ack_ms
constexpr Millis kRecovery = 10'000;
constexpr Millis kLongestDisturbance = 2'500;
constexpr Millis kMinPartition = 15'000, kMaxPartition = 22'000;

using Members = std::vector<std::size_t>;

std::size_t anyMember(World& world) {
    const Members present = world.present();
    return present[world.network().below(present.size())];
}

// Mostly the head, which has the most to lose.
std::size_t victim(World& world) {
    const auto head = world.head();
    return head && world.network().chance(0.4) ? *head : anyMember(world);
}

// Some members, fewer than half, by their order or by draw.
Members minority(World& world, bool first) {
    Members members = world.present();
    const std::size_t most = (members.size() - 1) / 2;
    if (!first)
        std::ranges::rotate(
            members, members.begin() + static_cast<std::ptrdiff_t>(world.network().below(members.size())));
    members.resize(first ? most : 1 + world.network().below(most));
    return members;
}

// Injects the fault now, as a write is under way, right after an acknowledgement, or as a view comes.
void injectFault(World& world, Episode episode, std::function<void()> fault) {
    const auto done = std::make_shared<bool>(false);
    auto once = [&world, episode, fault = std::move(fault), done] {
        if (std::exchange(*done, true) || world.failed()) return;
        world.countFault(nameOf(episode));
        fault();
    };
    const bool afterAcknowledgement = episode == Episode::killAfterAcknowledgement ||
                                      episode == Episode::diskLossAfterAcknowledgement ||
                                      episode == Episode::diskLossAsAllLosePower;
    const double moment = world.network().draw(0, 1);
    if (afterAcknowledgement || moment < 0.25)
        world.onNextAcknowledgement(once);
    else if (moment < 0.75)
        world.onNextWrite(once);
    else
        world.network().at(world.now(), once);
    if (!world.network().runUntil(kFaultMoment, [&] { return *done; })) once();
    world.onNextAcknowledgement(nullptr);
    world.onNextWrite(nullptr);
}

void requireNextAcknowledgement(World& world, Millis within = kNextAcknowledgement) {
    const std::uint64_t before = world.acknowledged();
    const Millis began = world.now();
    if (!world.network().runUntil(within, [&] { return world.acknowledged() > before; })) {
        if (!world.failed()) world.fail("no change is acknowledged any more");
        return;
    }
    world.counters().slowestNextAcknowledgement =
        std::max(world.counters().slowestNextAcknowledgement, world.now() - began);
}

void requireRecovery(World& world) {
    const Millis began = world.now();
    if (!world.network().runUntil(kRecovery, [&] { return world.allMembersFresh(); })) {
        if (!world.failed()) world.fail("not all members came back");
        return;
    }
    world.counters().slowestRecovery = std::max(world.counters().slowestRecovery, world.now() - began);
}

// ---- Losses

void stopAndStart(World& world, Episode episode, std::size_t member, const std::function<void()>& stop) {
    injectFault(world, episode, stop);
    world.network().runFor(world.network().draw(30, 2'500));
    world.start(member);
}

void freezeForAWhile(World& world) {
    const std::size_t member = victim(world);
    injectFault(world, Episode::freeze, [&world, member] { world.freeze(member); });
    world.network().runFor(world.network().chance(0.2) ? world.network().draw(kMinPartition, kMaxPartition)
                                                       : world.network().draw(100, 4'000));
    world.thaw(member);
}

void loseDuringRecovery(World& world) {
    const std::size_t first = victim(world);
    injectFault(world, Episode::lossDuringRecovery, [&world, first] {
        world.network().chance(0.5) ? world.eraseDisk(first) : world.losePower(first);
    });
    world.network().at(world.now() + world.network().draw(50, 1'500),
                       [&world, first] { world.start(first); });
    Members stopped;
    for (int count = 0; count < 2; ++count) {
        const std::size_t next = anyMember(world);
        const auto done = std::make_shared<bool>(false);
        const auto stop = [&world, next, done] {
            if (std::exchange(*done, true)) return;
            world.countFault(nameOf(Episode::lossDuringRecovery));
            world.network().chance(0.5) ? world.kill(next) : world.losePower(next);
        };
        world.network().chance(0.5) ? world.onNextView(stop) : world.onNextVote(stop);
        world.network().runUntil(4'000, [&] { return *done; });
        *done = true;
        world.onNextView(nullptr);
        world.onNextVote(nullptr);
        world.network().runFor(world.network().draw(0, 1'200));
        world.start(next);
        stopped.push_back(next);
    }
    world.network().runFor(1'500);
    world.start(first);
}

void stopAll(World& world) {
    const bool power = world.network().chance(0.6);
    const std::size_t erased = world.network().chance(0.4) ? anyMember(world) : world.members();
    const Members all = world.present();
    injectFault(world, Episode::allAtOnce, [&world, all, power, erased] {
        for (const std::size_t member : all)
            member == erased ? world.eraseDisk(member) : power ? world.losePower(member) : world.kill(member);
    });
    for (const std::size_t member : all)
        world.network().at(world.now() + world.network().draw(50, 1'500),
                           [&world, member] { world.start(member); });
    world.network().runFor(1'500);
}

// All come back in any order; the one without its disk may be the first.
void loseDiskAsAllLosePower(World& world) {
    const std::size_t lost = victim(world);
    const Members all = world.present();
    injectFault(world, Episode::diskLossAsAllLosePower, [&world, all, lost] {
        for (const std::size_t member : all)
            member == lost ? world.eraseDisk(member) : world.losePower(member);
        for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway) world.stopGateway(gateway);
    });
    for (const std::size_t member : all)
        world.network().at(world.now() + world.network().draw(50, 1'500),
                           [&world, member] { world.start(member); });
    for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway)
        world.network().at(world.now() + world.network().draw(50, 1'500),
                           [&world, gateway] { world.restartGateway(gateway); });
    world.network().runFor(1'500);
}

// Restarts the member, or suspends it, for a drawn time unless it is lost by then.
void disturbForAWhile(World& world, std::size_t member,
                      const std::shared_ptr<std::optional<std::size_t>>& lost) {
    const double kind = world.network().draw(0, 1);
    if (kind < 0.4)
        world.kill(member);
    else if (kind < 0.7)
        world.losePower(member);
    else
        world.freeze(member);
    world.network().at(world.now() + world.network().draw(50, kLongestDisturbance), [&world, member, lost] {
        if (*lost == member) return;
        world.thaw(member);
        world.start(member);
    });
}

// Changes go on while the lost member is away.
void overlapThenLose(World& world) {
    const auto lost = std::make_shared<std::optional<std::size_t>>();
    for (std::size_t left = 2 + world.network().below(3); left > 0; --left) {
        const std::size_t member = anyMember(world);
        injectFault(world, Episode::overlapThenLoss,
                    [&world, member, lost] { disturbForAWhile(world, member, lost); });
    }
    const std::size_t member = victim(world);
    injectFault(world, Episode::overlapThenLoss, [&world, member, lost] {
        *lost = member;
        world.losePower(member);
    });
    world.network().runFor(kLongestDisturbance);  // all others are back
    requireNextAcknowledgement(world, kContact + kAcknowledge);
    world.network().runFor(world.network().draw(0, 3'000));
    world.start(member);
}

// ---- Partitions

enum class Direction { both, in, out };

void partitionBetween(World& world, Machine inside, Machine outside, Direction direction) {
    if (direction != Direction::out) world.network().partition(outside, inside);
    if (direction != Direction::in) world.network().partition(inside, outside);
}

void partitionMembers(World& world, const Members& inside, Direction direction) {
    const std::set<std::size_t> in(inside.begin(), inside.end());
    for (const std::size_t one : inside)
        for (const std::size_t other : world.present())
            if (!in.contains(other))
                partitionBetween(world, world.machineOf(one), world.machineOf(other), direction);
}

void partitionFromGateways(World& world, const Members& members,
                           const std::function<bool(std::size_t)>& concerns, Direction direction) {
    for (const std::size_t member : members)
        for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway)
            if (concerns(gateway))
                partitionBetween(world, world.machineOf(member), world.gatewayMachine(gateway), direction);
}

void partitionFromOperators(World& world, const Members& members, Machine only) {
    for (const std::size_t member : members)
        for (Machine operatorMachine = 0; operatorMachine < kOperators; ++operatorMachine)
            if (only == kOperators || operatorMachine == only)
                partitionBetween(world, world.machineOf(member), operatorMachine, Direction::both);
}

Members others(World& world, const Members& members) {
    Members rest = world.present();
    std::erase_if(rest,
                  [&](std::size_t member) { return std::ranges::find(members, member) != members.end(); });
    return rest;
}

// While the partition lasts, changes go on at the others.
void runPartitioned(World& world, const Members& inside) {
    const Millis until = world.now() + world.network().draw(kMinPartition, kMaxPartition);
    requireNextAcknowledgement(world);
    if (world.network().chance(0.3)) {  // a process may restart inside the partition
        world.network().runFor(world.network().draw(500, 5'000));
        world.kill(inside.front());
        world.network().runFor(world.network().draw(100, 2'000));
        world.start(inside.front());
    }
    world.network().runFor(std::max(0.0, until - world.now()));
    world.network().healAll();
}

void partitionOneMember(World& world) {
    const Members inside{victim(world)};
    const double choice = world.network().draw(0, 1);
    Direction direction = Direction::both;
    if (choice >= 0.75)
        direction = Direction::out;
    else if (choice >= 0.5)
        direction = Direction::in;
    const bool gateways = world.network().chance(0.4), operators = world.network().chance(0.4);
    injectFault(world, Episode::partitionOneMember, [&world, inside, direction, gateways, operators] {
        partitionMembers(world, inside, direction);
        if (gateways)
            partitionFromGateways(
                world, inside, [](std::size_t) { return true; }, direction);
        if (operators) partitionFromOperators(world, inside, kOperators);
    });
    runPartitioned(world, inside);
}

// Every other gateway is on the partitioned members' side, and sometimes one operator.
void partitionMinority(World& world, Episode episode) {
    const bool withSeeds = episode == Episode::partitionMinorityWithSeeds;
    const Members inside = minority(world, withSeeds);
    const bool anOperator = world.network().chance(0.3);
    const bool partOfGateways = !withSeeds || world.network().chance(0.6);
    injectFault(world, episode, [&world, inside, anOperator, partOfGateways] {
        const Members outside = others(world, inside);
        const auto isInside = [](std::size_t gateway) { return gateway % 2 == 0; };
        partitionMembers(world, inside, Direction::both);
        if (partOfGateways) {
            partitionFromGateways(world, outside, isInside, Direction::both);
            partitionFromGateways(world, inside, std::not_fn(isInside), Direction::both);
        }
        if (anOperator) partitionFromOperators(world, outside, 0);
    });
    if (withSeeds) {
        world.network().runFor(world.network().draw(200, 3'000));
        for (std::size_t gateway = 0; gateway < world.gateways(); gateway += 2) world.restartGateway(gateway);
    }
    runPartitioned(world, inside);
}

void loseDiskOutsidePartition(World& world) {
    const Members inside = minority(world, false);
    const Members rest = others(world, inside);
    injectFault(world, Episode::diskLossOutsidePartition,
                [&world, inside] { partitionMembers(world, inside, Direction::both); });
    requireNextAcknowledgement(world);
    world.network().runFor(world.network().draw(200, 3'000));
    const std::size_t lost = rest[world.network().below(rest.size())];
    for (const std::size_t member : rest) member == lost ? world.eraseDisk(member) : world.losePower(member);
    world.network().healAll();
    world.network().runFor(world.network().draw(50, 1'500));
    world.start(lost);
    world.network().runFor(world.network().draw(50, 3'000));
    for (const std::size_t member : rest)
        if (member != lost) world.start(member);
}

// ---- Replacements

void replace(World& world, bool planned) {
    const std::size_t old = victim(world);
    const Episode episode = planned ? Episode::replacePlanned : Episode::replaceLost;
    if (planned) {
        world.start(world.addMember(world.zoneOf(old)));
        requireRecovery(world);
        injectFault(world, episode, [&world, old] { world.retire(old); });
    } else {
        injectFault(world, episode, [&world, old] {
            world.losePower(old);
            world.retire(old);
        });
        world.network().runFor(world.network().draw(0, 2'000));
        world.start(world.addMember(world.zoneOf(old)));
    }
}

void play(World& world, Episode episode) {
    const std::size_t member = victim(world);
    switch (episode) {
        case Episode::kill:
        case Episode::killAfterAcknowledgement:
            return stopAndStart(world, episode, member, [&world, member] { world.kill(member); });
        case Episode::powerLoss:
            return stopAndStart(world, episode, member, [&world, member] { world.losePower(member); });
        case Episode::diskLoss:
        case Episode::diskLossAfterAcknowledgement:
            return stopAndStart(world, episode, member, [&world, member] { world.eraseDisk(member); });
        case Episode::freeze:
            return freezeForAWhile(world);
        case Episode::partitionOneMember:
            return partitionOneMember(world);
        case Episode::partitionMinority:
        case Episode::partitionMinorityWithSeeds:
            return partitionMinority(world, episode);
        case Episode::replacePlanned:
            return replace(world, true);
        case Episode::replaceLost:
            return replace(world, false);
        case Episode::lossDuringRecovery:
            return loseDuringRecovery(world);
        case Episode::allAtOnce:
            return stopAll(world);
        case Episode::diskLossOutsidePartition:
            return loseDiskOutsidePartition(world);
        case Episode::diskLossAsAllLosePower:
            return loseDiskAsAllLosePower(world);
        case Episode::overlapThenLoss:
            return overlapThenLose(world);
    }
}

}  // namespace

std::string nameOf(Episode episode) {
    static constexpr std::array<const char*, kEpisodes> kNames{"kill",
                                                               "power loss",
                                                               "disk loss",
                                                               "freeze",
                                                               "partition of one member",
                                                               "partition of a minority",
                                                               "partition of a minority with the seeds",
                                                               "planned replacement",
                                                               "replacement of a lost member",
                                                               "kill after an acknowledgement",
                                                               "disk loss after an acknowledgement",
                                                               "loss during recovery",
                                                               "loss of all at once",
                                                               "disk loss outside a partition",
                                                               "disk loss as all lose power",
                                                               "loss after restarts that overlap"};
    return kNames.at(static_cast<std::size_t>(episode));
}

void playEpisodes(World& world, const std::vector<Episode>& episodes) {
    for (const Episode episode : episodes) {
        if (world.failed()) return;
        world.traceEvent("episode: " + nameOf(episode));
        play(world, episode);
        requireNextAcknowledgement(world);
        requireRecovery(world);
        world.network().runFor(world.network().draw(0, 1'500));
    }
}

void playRun(World& world, const std::vector<Episode>& episodes) {
    VirtualNetwork& network = world.network();
    if (!network.runUntil(kFirstView, [&] { return world.allMembersFresh(); }) && !world.failed())
        world.fail("the first view was not formed");
    network.faults() = {network.draw(0, 0.01), network.draw(0, 15), network.draw(0, 0.04)};
    world.startOperators();
    network.runFor(1'000);
    playEpisodes(world, episodes);
    network.faults() = {};
    network.runFor(2'000);
    world.stopOperators();
    if (!network.runUntil(30'000, [&] { return world.operatorsIdle(); }) && !world.failed())
        world.fail("an operator's call does not end");
    network.runFor(6'000);
    world.checkAtEnd();
}

}  // namespace beechpoint::simulation
