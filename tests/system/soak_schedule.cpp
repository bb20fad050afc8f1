#include "soak_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

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

namespace {

constexpr Millis kMeanSeriesPause = 1'100;  // between the beginnings of series
constexpr Millis kLongDown = 5'000;
constexpr int kRepeats = 5;

// Draws one series after another.
class SeriesDrawing {
public:
    SeriesDrawing(std::uint64_t seed, std::size_t members, std::size_t gateways)
        : random_(seed), members_(members), gateways_(gateways) {}

    std::vector<SoakEvent> draw(Millis length) {
        for (Millis at = pause(); at < length; at += pause()) addSeries(at);
        std::ranges::stable_sort(events_, {}, &SoakEvent::at);
        return std::move(events_);
    }

private:
    Millis pause() { return std::exponential_distribution<Millis>(1 / kMeanSeriesPause)(random_); }
    Millis between(Millis low, Millis high) {
        return std::uniform_real_distribution<Millis>(low, high)(random_);
    }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    std::size_t below(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    void add(Millis at, SoakAction action, bool isMember, std::size_t number, Millis length) {
        events_.push_back({at, action, isMember, number, length});
    }

    void addSeries(Millis at) {
        const bool isMember = chance(0.4);
        switch (below(4)) {
            case 0:
                return addRoll(at, isMember);
            case 1:
                return addAllAtOnce(at, isMember);
            case 2:
                return addRepeats(at, isMember);
            default:
                return add(at, SoakAction::kill, isMember, below(count(isMember)), kLongDown);
        }
    }
    std::size_t count(bool isMember) const { return isMember ? members_ : gateways_; }

    void addRoll(Millis at, bool isMember) {
        const Millis gap = isMember ? between(500, 1'500) : between(30, 600);
        const SoakAction action = chance(0.7) ? SoakAction::terminate : SoakAction::kill;
        for (std::size_t number = 0; number < count(isMember); ++number)
            add(at + static_cast<Millis>(number) * gap, action, isMember, number, between(0, kLongestDown));
    }
    void addAllAtOnce(Millis at, bool isMember) {
        const SoakAction action = chance(0.6) ? SoakAction::kill : SoakAction::terminate;
        for (std::size_t number = 0; number < count(isMember); ++number)
            add(at + between(0, 20), action, isMember, number, between(0, kLongestDown));
    }
    // Signals of all kinds to one process, some while it handles the one before.
    void addRepeats(Millis at, bool isMember) {
        const std::size_t number = below(count(isMember));
        for (int repeat = 0; repeat < kRepeats; ++repeat) {
            const bool isLast = repeat + 1 == kRepeats;
            const SoakAction action = isLast        ? SoakAction::terminate
                                      : chance(0.3) ? SoakAction::stop
                                                    : SoakAction::reload;
            add(at, action, isMember, number, between(0, kLongestDown));
            at += between(1, 150);
        }
    }

    std::mt19937_64 random_;
    std::size_t members_;
    std::size_t gateways_;
    std::vector<SoakEvent> events_;
};

std::string describe(const SoakEvent& event) {
    constexpr std::array kNames{"SIGTERM", "SIGKILL", "SIGSTOP", "SIGHUP"};
    return fmt::format("{:6.0f} ms {} to {}-{}, {:.0f} ms", event.at,
                       kNames[static_cast<std::size_t>(event.action)], event.isMember ? "core" : "edge",
                       event.number + 1, event.length);
}

}  // namespace

std::vector<SoakEvent> drawSeries(std::uint64_t seed, std::size_t members, std::size_t gateways,
                                  Millis length) {
    return SeriesDrawing(seed, members, gateways).draw(length);
}

std::string describe(const std::vector<SoakEvent>& events) {
    std::string text;
    for (const SoakEvent& event : events) text += "\n" + describe(event);
    return text;
}

}  // namespace beechpoint::system_test
