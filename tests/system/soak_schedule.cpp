#include "soak_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace beechpoint::system_test {
namespace {

constexpr Millis kMeanPause = 700;  // between events
constexpr Millis kLongestStop = 2'000;
constexpr Millis kLongestDown = 800;

}  // namespace

std::vector<SoakEvent> drawSchedule(std::uint64_t seed, std::size_t members, std::size_t gateways,
                                    Millis length) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<Millis> pauses(1 / kMeanPause);
    std::uniform_real_distribution<Millis> share(0, 1);
    std::uniform_int_distribution<std::size_t> processes(0, members + gateways - 1);
    std::discrete_distribution<std::size_t> actions{3, 3, 3, 2};
    constexpr std::array kActions{SoakAction::terminate, SoakAction::kill, SoakAction::stop,
                                  SoakAction::reload};
    std::vector<SoakEvent> events;
    for (Millis at = pauses(random); at < length; at += pauses(random)) {
        SoakEvent event;
        event.at = at;
        event.action = kActions[actions(random)];
        const std::size_t process = processes(random);
        event.isMember = process < members;
        event.number = event.isMember ? process : process - members;
        event.length = share(random) * (event.action == SoakAction::stop ? kLongestStop : kLongestDown);
        events.push_back(event);
    }
    return events;
}

std::string describe(const SoakEvent& event) {
    constexpr std::array kNames{"SIGTERM", "SIGKILL", "SIGSTOP", "SIGHUP"};
    return fmt::format("{:6.0f} ms {} to {}-{}, {:.0f} ms", event.at,
                       kNames[static_cast<std::size_t>(event.action)], event.isMember ? "core" : "edge",
                       event.number + 1, event.length);
}

}  // namespace beechpoint::system_test
