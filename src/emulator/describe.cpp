#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

namespace {

std::string listed(const std::vector<std::string>& names, std::size_t all) {
    if (names.size() == all) return "all hosts";
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < 6; ++i) text += (i ? ", " : "") + names[i];
    if (names.size() > 6) text += fmt::format(" and {} more", names.size() - 6);
    return text;
}

std::string listed(const std::vector<int>& gatherers) {
    std::string text;
    for (const int g : gatherers) text += (text.empty() ? "g" : ", g") + std::to_string(g);
    return text;
}

std::string words(const Event& e, const Scenario& s) {
    const std::string hosts = listed(e.hosts, static_cast<std::size_t>(s.hostCount()));
    switch (e.kind) {
        case Event::Kind::deploy:
            return fmt::format(
                "deploy of {}: {:.0f}% at a time, every {:.1f} s; each drains {:.1f} s, its successor is up "
                "{:.1f} s later, cold",
                hosts, e.batchShare * 100, e.every / 1000, e.drain / 1000, e.start / 1000);
        case Event::Kind::siteCut:
            return fmt::format("site {} is cut off for {:.1f} s; its hosts work on, their answers {}", e.site,
                               e.lasts / 1000, e.answersLost ? "are lost" : "arrive late");
        case Event::Kind::siteLost:
            return fmt::format("site {} is lost for {:.1f} s and returns cold", e.site, e.lasts / 1000);
        case Event::Kind::slow:
            return fmt::format("{} run {:.1f} times slower for {:.1f} s", hosts, e.factor, e.lasts / 1000);
        case Event::Kind::pause:
            return fmt::format(
                "{} stand still for {:.0f} ms{}", hosts, e.pauseLength,
                e.every > 0 ? fmt::format(", every {:.1f} s for {:.1f} s", e.every / 1000, e.lasts / 1000)
                            : std::string());
        case Event::Kind::costly:
            return fmt::format("{:.1f}% of {} cost {:.1f} times the work for {:.1f} s", e.share * 100,
                               e.klass, e.factor, e.lasts / 1000);
        case Event::Kind::crash:
            return fmt::format("{} die, and start again {:.1f} s later under their old ids", hosts,
                               e.start / 1000);
        case Event::Kind::gathererKill:
            return fmt::format("SIGKILL to {}; back {:.1f} s later", listed(e.gatherers), e.start / 1000);
        case Event::Kind::gathererRestart:
            return fmt::format("SIGTERM to {}; started again {:.1f} s later", listed(e.gatherers),
                               e.start / 1000);
        case Event::Kind::gathererReload:
            return fmt::format("SIGHUP to {}", listed(e.gatherers));
        case Event::Kind::discoverySilent:
            return fmt::format("discovery says nothing to {} for {:.1f} s", listed(e.gatherers),
                               e.lasts / 1000);
        case Event::Kind::cancelPolicy:
            return fmt::format(
                "from here on cancelled waiting work {}, cancelled running work {}, overdue work {}",
                e.policy.dropsWaiting ? "is dropped" : "is done all the same",
                e.policy.stopsRunning ? "stops" : "runs on",
                e.policy.beginsOverdue ? "is begun" : "is not begun");
    }
    return "";
}

}  // namespace

std::string describe(const Scenario& s) {
    std::string out =
        fmt::format("{}: {}\n{:.0f} s, seed {}; {} hosts, {} gatherers, {} slices held by {} each\n", s.name,
                    s.about, s.length / 1000, s.seed, s.hostCount(), s.gathererCount(), s.slices(), s.copies);
    for (const Site& site : s.sites)
        out += fmt::format("  site {}: {} hosts, {} gatherers\n", site.name, site.hosts, site.gatherers);
    for (const ClassSpec& c : s.classes)
        out += fmt::format("  class {}: share {:g}, worth {:g}, within {:.0f} ms, given up at {:.0f} ms\n",
                           c.name, c.share, c.worth, c.aim, c.giveUp);
    struct Line {
        Millis at;
        std::string text;
    };
    std::vector<Line> lines;
    for (const LoadPoint& p : s.load)
        lines.push_back({p.at, fmt::format("load {:g} queries a second", p.perSecond)});
    for (const Event& e : s.script) lines.push_back({e.at, words(e, s)});
    std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.at < b.at; });
    for (const Line& line : lines)
        fmt::format_to(std::back_inserter(out), "{:8.1f} s  {}\n", line.at / 1000, line.text);
    return out;
}

}  // namespace beechpoint::emulator
