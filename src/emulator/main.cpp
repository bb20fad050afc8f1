// beechpoint-emulate: run, check and describe scenarios; play faults among the members of a group.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "core/logger.hpp"
#include "emulator/group_real.hpp"
#include "emulator/group_run.hpp"
#include "emulator/real_run.hpp"
#include "emulator/real_stage.hpp"
#include "emulator/results.hpp"
#include "emulator/try_out.hpp"
#include "emulator/virtual_run.hpp"

namespace {

using namespace beechpoint;
using namespace beechpoint::emulator;

constexpr int kFailed = 1, kUsage = 2, kBrokenRule = 3;

struct Given {
    std::string command, scenario, out, gatherer, logFormat;
    std::uint64_t seed = 0, seeds = 0;
    std::string broken;
    bool seedGiven = false, inVirtualTime = false;
};

// What the script did, as log lines; the clock is the run's.
std::function<void(const World&, Millis)> logged(const std::string& format) {
    struct Log {
        explicit Log(logging::Format format) : lines(clock, format) {}
        Clock clock;
        Logger lines;
        std::size_t told = 0;
    };
    const auto log = std::make_shared<Log>(format == "json" ? logging::Format::json : logging::Format::text);
    return [log](const World& world, Millis) {
        for (; log->told < world.notes().size(); ++log->told) {
            const Note& note = world.notes()[log->told];
            log->clock.set(Clock::kOrigin + note.at);
            log->lines.info("script: {} {}", field("event", note.event), field("detail", note.detail));
        }
    };
}

// One line that is written over, on a terminal only: what reads a pipe wants no such thing.
std::function<void(const World&, Millis)> progress() {
    if (!::isatty(STDERR_FILENO)) return {};
    return [last = std::pair<std::size_t, std::size_t>{0, 0}](const World& world, Millis now) mutable {
        std::size_t offered = 0, served = 0, refused = 0;
        for (const QueryRecord& q : world.desk().queries()) {
            if (q.tries > 0) ++offered;
            if (q.result == Result::inAim || q.result == Result::late) ++served;
            if (q.result == Result::refused) ++refused;
        }
        std::cerr << fmt::format(
                         "\r{:6.1f} s  {:4} asked/s  {:4} answered/s  {:5} refused  {:3} hosts up, {} cold, "
                         "{} cut ",
                         now / 1000, offered - last.first, served - last.second, refused, world.hostsUp(),
                         world.hostsCold(), world.hostsCut())
                  << std::flush;
        last = {offered, served};
    };
}

std::string besideThis() {
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return error ? "beechpoint" : (self.parent_path() / "beechpoint").string();
}

int run(const Given& given, const Scenario& scenario) {
    const std::uint64_t seed = given.seedGiven ? given.seed : scenario.seed;
    const std::string folder = given.out.empty() ? "emulated-" + scenario.name : given.out;
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) throw RunFailed("can't make the folder " + folder + ": " + error.message());
    Results results;
    if (given.inVirtualTime) {
        VirtualOptions options;
        options.everySecond = given.logFormat.empty() ? progress() : logged(given.logFormat);
        results = runVirtual(scenario, seed, options);
    } else {
        std::signal(SIGPIPE, SIG_IGN);
        RealOptions options;
        options.gatherer = given.gatherer.empty() ? besideThis() : given.gatherer;
        options.folder = folder;
        options.everySecond = given.logFormat.empty() ? progress() : logged(given.logFormat);
        results = runReal(scenario, seed, options);
    }
    write(results, folder);
    if (::isatty(STDERR_FILENO)) std::cerr << '\n';
    std::cout << fmt::format("{}, seed {}, {} time: results in {}, hash {:016x}\n", scenario.name, seed,
                             given.inVirtualTime ? "virtual" : "real", folder, hashOf(results))
              << summary(results);
    if (results.broken > 0) return kBrokenRule;
    return results.lateness.isVoid ? kFailed : 0;
}

// A scenario of faults in a group. Exit status: 3 where a rule was broken, 1 where it did not come to rest.
int playGroup(const Given& given) {
    GroupScenario scenario = readGroupScenarioFile(given.scenario);
    scenario.broken = given.broken;
    const std::uint64_t seed = given.seedGiven ? given.seed : scenario.seed;
    const GroupTrace trace = given.logFormat.empty() ? GroupTrace() : [](Millis at, const std::string& line) {
        std::cerr << fmt::format("{:9.1f} {}\n", at, line);
    };
    if (given.seeds > 0) {
        const GroupSweep sweep = sweepGroup(scenario, seed, given.seeds);
        std::cout << summary(scenario, sweep);
        return !sweep.broken.empty() ? kBrokenRule : sweep.restless > 0 ? kFailed : 0;
    }
    GroupResults results;
    if (given.inVirtualTime) {
        results = runGroupVirtual(scenario, seed, trace);
    } else {
        std::signal(SIGPIPE, SIG_IGN);
        const std::string folder =
            std::filesystem::absolute(given.out.empty() ? "emulated-" + scenario.name : given.out).string();
        std::filesystem::create_directories(folder);
        GroupReal real(scenario, seed, given.gatherer.empty() ? besideThis() : given.gatherer, folder);
        real.trace = trace;
        results.report = real.run();
        results.times = real.times();
    }
    std::cout << summary(scenario, seed, results);
    return !results.report.broken.empty() ? kBrokenRule : results.report.rested ? 0 : kFailed;
}

}  // namespace

int main(int argc, char** argv) {
    Given given;
    try {
        cxxopts::Options options("beechpoint-emulate",
                                 "Rehearses a scenario against gatherers: beechpoint-emulate "
                                 "run|check|describe|group SCENARIO; try\n");
        options.add_options()("command", "run, check, describe, or group: faults among the members of one",
                              cxxopts::value<std::string>())("scenario", "the scenario's file",
                                                             cxxopts::value<std::string>())(
            "virtual", "in virtual time, in this process")("seed", "in place of the scenario's",
                                                           cxxopts::value<std::uint64_t>())(
            "out", "the folder for the results; emulated-NAME where absent", cxxopts::value<std::string>())(
            "gatherer", "the gatherer's program; the beechpoint beside this one where absent",
            cxxopts::value<std::string>())("log-format", "what the script does as log lines: text or json",
                                           cxxopts::value<std::string>())(
            "seeds", "group: so many seeds in virtual time, and their sums", cxxopts::value<std::uint64_t>())(
            "once", "try: ends by itself")("break",
                                           "group, in virtual time: leaves a safeguard out, to see it found",
                                           cxxopts::value<std::string>())("h,help", "print this");
        options.parse_positional({"command", "scenario"});
        options.positional_help("COMMAND SCENARIO");
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("command") && parsed["command"].as<std::string>() == "try") {
            if (!parsed.count("out")) {
                std::cerr << "beechpoint-emulate: try wants a folder: --out FOLDER\n";
                return kUsage;
            }
            return tryOut(parsed.count("gatherer") ? parsed["gatherer"].as<std::string>() : besideThis(),
                          parsed["out"].as<std::string>(), parsed.count("once") == 0);
        }
        if (!parsed.count("command") || !parsed.count("scenario")) {
            std::cerr << options.help();
            return kUsage;
        }
        given.command = parsed["command"].as<std::string>();
        given.scenario = parsed["scenario"].as<std::string>();
        given.inVirtualTime = parsed.count("virtual") > 0;
        given.seedGiven = parsed.count("seed") > 0;
        if (given.seedGiven) given.seed = parsed["seed"].as<std::uint64_t>();
        if (parsed.count("out")) given.out = parsed["out"].as<std::string>();
        if (parsed.count("log-format")) given.logFormat = parsed["log-format"].as<std::string>();
        if (!given.logFormat.empty() && given.logFormat != "text" && given.logFormat != "json") {
            std::cerr << "beechpoint-emulate: --log-format must be text or json\n";
            return kUsage;
        }
        if (parsed.count("seeds")) given.seeds = parsed["seeds"].as<std::uint64_t>();
        if (parsed.count("break")) given.broken = parsed["break"].as<std::string>();
        if (!given.broken.empty() &&
            std::find(kBreakable.begin(), kBreakable.end(), given.broken) == kBreakable.end()) {
            std::cerr << "beechpoint-emulate: --break must be one of "
                      << fmt::format("{}", fmt::join(kBreakable, ", ")) << '\n';
            return kUsage;
        }
        if (parsed.count("gatherer")) given.gatherer = parsed["gatherer"].as<std::string>();
        if (given.command != "run" && given.command != "check" && given.command != "describe" &&
            given.command != "group") {
            std::cerr << "beechpoint-emulate: no such command: " << given.command << '\n';
            return kUsage;
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "beechpoint-emulate: " << e.what() << '\n';
        return kUsage;
    } catch (const RunFailed& e) {
        std::cerr << "beechpoint-emulate: " << e.what() << '\n';
        return kFailed;
    }
    try {
        if (given.command == "group") return playGroup(given);
        const Scenario scenario = readScenarioFile(given.scenario);
        if (given.command == "describe") std::cout << describe(scenario);
        if (given.command == "check")
            std::cout << fmt::format("{} is sound: {} hosts, {} events\n", scenario.name,
                                     scenario.hostCount(), scenario.script.size());
        return given.command == "run" ? run(given, scenario) : 0;
    } catch (const BadGroupScenario& e) {
        std::cerr << "beechpoint-emulate: " << given.scenario << ": " << e.what() << '\n';
        return kUsage;
    } catch (const BadScenario& e) {
        std::cerr << "beechpoint-emulate: " << given.scenario << ": " << e.what() << '\n';
        return kUsage;
    } catch (const std::exception& e) {
        std::cerr << "beechpoint-emulate: " << e.what() << '\n';
        return kFailed;
    }
}
