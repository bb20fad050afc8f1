// The base runs of the exploration.
#include "explore_world.hpp"

namespace beechpoint::replica::exploration {

namespace {

constexpr Millis kOutage = 2'400;  // of an isolated member: longer than the others need for a view

}  // namespace

void World::loseDiskDuringPartition() {
    const std::size_t behind = tail();
    const std::size_t wiped = between();
    const std::size_t dark = head();
    isolate(behind, kOutage);
    after(1'900, [this, dark] { losePower(dark); });
    after(1'900, [this, wiped] { wipe(wiped); });
    after(kOutage + 200, [this, wiped] { start(wiped); });
    after(kOutage + 600, [this, dark] { start(dark); });
}

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> kScenarios{
        {"the head loses its power with a write in flight",
         [](World& world) {
             const std::size_t node = world.head();
             world.after(3, [&world, node] { world.losePower(node); });
             world.after(1'500, [&world, node] { world.start(node); });
         }},
        {"the tail is cut off", [](World& world) { world.isolate(world.tail(), 2'400); }},
        {"two members don't hear each other, all go on",
         [](World& world) { world.partition(world.head(), world.tail(), 2'400); }},
        {"the member between is wiped and comes back",
         [](World& world) {
             const std::size_t node = world.between();
             world.wipe(node);
             world.after(200, [&world, node] { world.start(node); });
         },
         1},
        {"a member is away, another loses its disk, the third its power",
         [](World& world) { world.loseDiskDuringPartition(); }, 1},
        {"two are wiped one after the other, states are not handed over, the last copy loses its power",
         [](World& world) {
             const std::size_t first = world.tail();
             const std::size_t second = world.between();
             const std::size_t kept = world.head();
             // A process that can't copy the state is taken in without it after 2 s.
             world.loseStateTransfer(8'000);
             world.wipe(first);
             world.after(100, [&world, first] { world.start(first); });
             world.after(2'700, [&world, second] { world.wipe(second); });
             world.after(2'800, [&world, second] { world.start(second); });
             world.after(5'600, [&world, kept] { world.losePower(kept); });
             world.after(8'000, [&world, kept] { world.start(kept); });
         },
         2},
        {"a spare machine joins while all others are up",
         [](World& world) { world.after(100, [&world] { world.start(kFounders); }); }},
        {"a spare machine takes the place of the head, which leaves",
         [](World& world) {
             const std::size_t node = world.head();
             world.after(100, [&world] { world.start(kFounders); });
             world.after(150, [&world, node] { world.leave(node); });
         }},
    };
    return kScenarios;
}

}  // namespace beechpoint::replica::exploration
