#include "episodes.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace beechpoint::simulation {
namespace {

constexpr Millis kFounding = 6'000;
constexpr Millis kMoment = 4'000;    // to wait for the moment of a fault
constexpr Millis kNextYes = 15'000;  // operators try members that are silent for 2 s each
constexpr Millis kReturn = 10'000;
constexpr Millis kCutLow = 15'000, kCutHigh = 22'000;

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

// Strikes now, as a write is under way, right after an acknowledgement, or as a view comes.
void strike(World& world, Episode episode, std::function<void()> fault) {
    const auto done = std::make_shared<bool>(false);
    auto once = [&world, episode, fault = std::move(fault), done] {
        if (std::exchange(*done, true) || world.failed()) return;
        world.strike(nameOf(episode));
        fault();
    };
    const bool afterYes = episode == Episode::killAfterYes || episode == Episode::wipeAfterYes;
    const double moment = world.network().draw(0, 1);
    if (afterYes || moment < 0.25)
        world.onNextYes(once);
    else if (moment < 0.75)
        world.onNextWrite(once);
    else
        world.network().at(world.now(), once);
    if (!world.network().runUntil(kMoment, [&] { return *done; })) once();
    world.onNextYes(nullptr);
    world.onNextWrite(nullptr);
}

void requireNextYes(World& world) {
    const std::uint64_t before = world.acknowledged();
    const Millis began = world.now();
    if (!world.network().runUntil(kNextYes, [&] { return world.acknowledged() > before; })) {
        if (!world.failed()) world.fail("no change is acknowledged any more");
        return;
    }
    world.counters().slowestNextYes = std::max(world.counters().slowestNextYes, world.now() - began);
}

void requireWhole(World& world) {
    const Millis began = world.now();
    if (!world.network().runUntil(kReturn, [&] { return world.whole(); })) {
        if (!world.failed()) world.fail("not all members came back");
        return;
    }
    world.counters().slowestReturn = std::max(world.counters().slowestReturn, world.now() - began);
}

// ---- Losses

void stopAndStart(World& world, Episode episode, std::size_t member, const std::function<void()>& stop) {
    strike(world, episode, stop);
    world.network().runFor(world.network().draw(30, 2'500));
    world.start(member);
}

void freezeAWhile(World& world) {
    const std::size_t member = victim(world);
    strike(world, Episode::freeze, [&world, member] { world.freeze(member); });
    world.network().runFor(world.network().chance(0.2) ? world.network().draw(kCutLow, kCutHigh)
                                                       : world.network().draw(100, 4'000));
    world.thaw(member);
}

void loseDuringRepair(World& world) {
    const std::size_t first = victim(world);
    strike(world, Episode::lossDuringRepair,
           [&world, first] { world.network().chance(0.5) ? world.wipe(first) : world.losePower(first); });
    world.network().at(world.now() + world.network().draw(50, 1'500),
                       [&world, first] { world.start(first); });
    Members stopped;
    for (int count = 0; count < 2; ++count) {
        const std::size_t next = anyMember(world);
        const auto done = std::make_shared<bool>(false);
        const auto stop = [&world, next, done] {
            if (std::exchange(*done, true)) return;
            world.strike(nameOf(Episode::lossDuringRepair));
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
    const std::size_t wiped = world.network().chance(0.4) ? anyMember(world) : world.members();
    const Members all = world.present();
    strike(world, Episode::allAtOnce, [&world, all, power, wiped] {
        for (const std::size_t member : all)
            member == wiped ? world.wipe(member) : power ? world.losePower(member) : world.kill(member);
    });
    for (const std::size_t member : all)
        world.network().at(world.now() + world.network().draw(50, 1'500),
                           [&world, member] { world.start(member); });
    world.network().runFor(1'500);
}

// ---- Cuts

enum class Way { both, in, out };

void cutBetween(World& world, Machine inside, Machine outside, Way way) {
    if (way != Way::out) world.network().cut(outside, inside);
    if (way != Way::in) world.network().cut(inside, outside);
}

void cutMembers(World& world, const Members& inside, Way way) {
    const std::set<std::size_t> in(inside.begin(), inside.end());
    for (const std::size_t one : inside)
        for (const std::size_t other : world.present())
            if (!in.contains(other)) cutBetween(world, world.machineOf(one), world.machineOf(other), way);
}

void cutFromGateways(World& world, const Members& members, const std::function<bool(std::size_t)>& concerns,
                     Way way) {
    for (const std::size_t member : members)
        for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway)
            if (concerns(gateway))
                cutBetween(world, world.machineOf(member), world.gatewayMachine(gateway), way);
}

void cutFromOperators(World& world, const Members& members, Machine only) {
    for (const std::size_t member : members)
        for (Machine operatorMachine = 0; operatorMachine < kOperators; ++operatorMachine)
            if (only == kOperators || operatorMachine == only)
                cutBetween(world, world.machineOf(member), operatorMachine, Way::both);
}

Members others(World& world, const Members& members) {
    Members rest = world.present();
    std::erase_if(rest,
                  [&](std::size_t member) { return std::ranges::find(members, member) != members.end(); });
    return rest;
}

// While it lasts, changes go on at the others.
void endureCut(World& world, const Members& inside) {
    const Millis until = world.now() + world.network().draw(kCutLow, kCutHigh);
    requireNextYes(world);
    if (world.network().chance(0.3)) {  // a process may restart behind the cut
        world.network().runFor(world.network().draw(500, 5'000));
        world.kill(inside.front());
        world.network().runFor(world.network().draw(100, 2'000));
        world.start(inside.front());
    }
    world.network().runFor(std::max(0.0, until - world.now()));
    world.network().joinAll();
}

void cutAlone(World& world) {
    const Members inside{victim(world)};
    const double direction = world.network().draw(0, 1);
    const Way way = direction < 0.5 ? Way::both : direction < 0.75 ? Way::in : Way::out;
    const bool gateways = world.network().chance(0.4), operators = world.network().chance(0.4);
    strike(world, Episode::cutAlone, [&world, inside, way, gateways, operators] {
        cutMembers(world, inside, way);
        if (gateways)
            cutFromGateways(
                world, inside, [](std::size_t) { return true; }, way);
        if (operators) cutFromOperators(world, inside, kOperators);
    });
    endureCut(world, inside);
}

// Every other gateway is on the cut members' side, and sometimes one operator.
void cutGroup(World& world, Episode episode) {
    const bool withSeeds = episode == Episode::cutWithSeeds;
    const Members inside = minority(world, withSeeds);
    const bool anOperator = world.network().chance(0.3);
    const bool partOfGateways = !withSeeds || world.network().chance(0.6);
    strike(world, episode, [&world, inside, anOperator, partOfGateways] {
        const Members outside = others(world, inside);
        const auto isInside = [](std::size_t gateway) { return gateway % 2 == 0; };
        cutMembers(world, inside, Way::both);
        if (partOfGateways) {
            cutFromGateways(world, outside, isInside, Way::both);
            cutFromGateways(world, inside, std::not_fn(isInside), Way::both);
        }
        if (anOperator) cutFromOperators(world, outside, 0);
    });
    if (withSeeds) {
        world.network().runFor(world.network().draw(200, 3'000));
        for (std::size_t gateway = 0; gateway < world.gateways(); gateway += 2) world.restartGateway(gateway);
    }
    endureCut(world, inside);
}

void loseDiskBehindCut(World& world) {
    const Members inside = minority(world, false);
    const Members rest = others(world, inside);
    strike(world, Episode::diskLostBehind, [&world, inside] { cutMembers(world, inside, Way::both); });
    requireNextYes(world);
    world.network().runFor(world.network().draw(200, 3'000));
    const std::size_t lost = rest[world.network().below(rest.size())];
    for (const std::size_t member : rest) member == lost ? world.wipe(member) : world.losePower(member);
    world.network().joinAll();
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
        requireWhole(world);
        strike(world, episode, [&world, old] { world.retire(old); });
    } else {
        strike(world, episode, [&world, old] {
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
        case Episode::killAfterYes:
            return stopAndStart(world, episode, member, [&world, member] { world.kill(member); });
        case Episode::power:
            return stopAndStart(world, episode, member, [&world, member] { world.losePower(member); });
        case Episode::wipe:
        case Episode::wipeAfterYes:
            return stopAndStart(world, episode, member, [&world, member] { world.wipe(member); });
        case Episode::freeze:
            return freezeAWhile(world);
        case Episode::cutAlone:
            return cutAlone(world);
        case Episode::cutWithGateways:
        case Episode::cutWithSeeds:
            return cutGroup(world, episode);
        case Episode::replacePlanned:
            return replace(world, true);
        case Episode::replaceLost:
            return replace(world, false);
        case Episode::lossDuringRepair:
            return loseDuringRepair(world);
        case Episode::allAtOnce:
            return stopAll(world);
        case Episode::diskLostBehind:
            return loseDiskBehindCut(world);
    }
}

}  // namespace

std::string nameOf(Episode episode) {
    static constexpr std::array<const char*, kEpisodes> kNames{
        "kill",          "power loss",        "wipe",           "freeze",
        "cut alone",     "cut with gateways", "cut with seeds", "replaced planned",
        "replaced lost", "kill after yes",    "wipe after yes", "loss during repair",
        "all at once",   "disk lost behind"};
    return kNames.at(static_cast<std::size_t>(episode));
}

void playEpisodes(World& world, const std::vector<Episode>& episodes) {
    for (const Episode episode : episodes) {
        if (world.failed()) return;
        world.note("episode: " + nameOf(episode));
        play(world, episode);
        requireNextYes(world);
        requireWhole(world);
        world.network().runFor(world.network().draw(0, 1'500));
    }
}

void playRun(World& world, const std::vector<Episode>& episodes) {
    VirtualNetwork& network = world.network();
    if (!network.runUntil(kFounding, [&] { return world.whole(); }) && !world.failed())
        world.fail("no founding");
    network.trouble() = {network.draw(0, 0.01), network.draw(0, 15), network.draw(0, 0.04)};
    world.startOperators();
    network.runFor(1'000);
    playEpisodes(world, episodes);
    network.trouble() = {};
    network.runFor(2'000);
    world.stopOperators();
    if (!network.runUntil(30'000, [&] { return world.operatorsIdle(); }) && !world.failed())
        world.fail("an operator's call does not end");
    network.runFor(6'000);
    world.checkAtEnd();
}

}  // namespace beechpoint::simulation
