// beechpoint-scale: hollow gateways beside a real control group, on loopback. One size a run; see docs/CAPACITY.md.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <exception>
#include <filesystem>

#include "scale/control_process.hpp"
#include "scale/driver.hpp"
#include "scale/platform_process.hpp"

using namespace beechpoint;
using namespace beechpoint::scale;

namespace {

constexpr unsigned kMostSeconds = 150;  // then the run is ended, and its children with it
constexpr double kMegabyte = 1024 * 1024;

void printDelays(const char* what, const Delays& delays) {
    fmt::print("{}: p50 {:.0f} ms, p99 {:.0f} ms, worst {:.0f} ms ({} seen, {} missing)\n", what, delays.p50,
               delays.p99, delays.worst, delays.count, delays.missing);
}

void printUse(const char* what, const Use& use, std::size_t gateways) {
    const double seconds = use.length / 1000;
    const double each = seconds * static_cast<double>(gateways);
    const auto [least, most] = std::minmax_element(use.memberProcessor.begin(), use.memberProcessor.end());
    fmt::print(
        "{} ({:.1f} s): member {:.2f} to {:.2f} % of a core; gateway {:.4f} % of a core, {:.0f} B/s payload, "
        "{:.1f} segments/s, {:.2f} polls/s; between members {:.1f} kB/s; platform {:.1f} kB/s\n",
        what, seconds, *least / use.length * 100, *most / use.length * 100,
        use.gatewaysProcessor / use.length * 100 / static_cast<double>(gateways),
        static_cast<double>(use.gatewayBytes) / each, static_cast<double>(use.gatewaySegments) / each,
        static_cast<double>(use.replies) / each, static_cast<double>(use.peerBytes) / seconds / 1000,
        static_cast<double>(use.platformBytes) / seconds / 1000);
}

void print(const Plan& plan, const Outcome& outcome) {
    fmt::print("gateways {}, hosts {}, routes {}, services {}, control members {}\n", plan.gateways,
               plan.hosts, plan.routes, plan.services, kMembers);
    fmt::print(
        "founded in {:.0f} ms; every gateway filled {:.0f} ms after the first acknowledgement; {} know the "
        "count\n",
        outcome.founded, outcome.filled, outcome.counted);
    printUse("idle", outcome.idle, plan.gateways);
    printUse("configuration changes", outcome.changing, plan.gateways);
    printDelays("  acknowledged",
                summarise(outcome.acknowledgements, plan.changes - outcome.acknowledgements.size()));
    printDelays("  in force after the acknowledgement", outcome.changes);
    printUse("host changes", outcome.hostChanging, plan.gateways);
    printDelays("  known after the platform showed it", outcome.hostChanges);
    const auto [least, most] = std::minmax_element(outcome.memberMemory.begin(), outcome.memberMemory.end());
    fmt::print("memory: member {:.1f} to {:.1f} MB; hollow gateway {:.2f} MB\n",
               static_cast<double>(*least) / kMegabyte, static_cast<double>(*most) / kMegabyte,
               static_cast<double>(outcome.gatewaysMemory) / kMegabyte / static_cast<double>(plan.gateways));
    fmt::print("loss of a member with {} waiting polls: the change sent then is {} in {:.0f} ms\n",
               outcome.gatewaysOfLost, outcome.afterLoss ? "acknowledged" : "not acknowledged",
               outcome.afterLossAcknowledged);
    if (outcome.afterLoss) printDelays("  in force after the acknowledgement", *outcome.afterLoss);
}

void startChildren(Cluster& cluster, const Plan& plan, const Clock& clock) {
    for (std::size_t member = 0; member < kMembers; member++)
        cluster.start(fmt::format("control-{}", member + 1),
                      [&, member] { runControl(cluster, member, clock); });
    cluster.start("platform", [&] { runPlatform(cluster, plan.hosts, clock); });
}

int run(const Plan& plan, const std::string& folder) {
    const Clock clock;
    Logger logger(clock, logging::Format::text, -1);
    Cluster cluster(folder);
    startChildren(cluster, plan, clock);
    const auto outcome = runScale(cluster, plan, clock, logger);
    if (!outcome) {
        fmt::print(stderr, "beechpoint-scale: {}\n", outcome.error().text());
        return 1;
    }
    print(plan, outcome.value());
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    Plan plan;
    std::string folder = std::filesystem::temp_directory_path().string();
    CLI::App app("Measures what gateways cost the control group, with hollow gateways on loopback",
                 "beechpoint-scale");
    app.add_option("--gateways", plan.gateways, "hollow gateways in this process")
        ->check(CLI::Range(1, 2000));
    app.add_option("--hosts", plan.hosts, "hosts on the platform's list")->check(CLI::Range(64, 20'000));
    app.add_option("--routes", plan.routes, "routes of the configuration")->check(CLI::Range(1, 20'000));
    app.add_option("--services", plan.services, "services of the configuration")->check(CLI::Range(1, 100));
    app.add_option("--changes", plan.changes, "configuration changes, one route each")
        ->check(CLI::Range(1, 100));
    app.add_option("--change-every", plan.changeEvery, "ms between them")->check(CLI::Range(20, 10'000));
    app.add_option("--host-changes", plan.hostChanges, "changes of the host list")
        ->check(CLI::Range(std::size_t{1}, kMostHostChanges));
    app.add_option("--host-change-every", plan.hostChangeEvery, "ms between them")
        ->check(CLI::Range(100, 10'000));
    app.add_option("--idle", plan.idle, "ms of the idle stretch")->check(CLI::Range(1000, 60'000));
    app.add_option("--folder", folder, "where the stores' temporary folder is made");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    alarm(kMostSeconds);
    try {
        return run(plan, folder);
    } catch (const std::exception& error) {
        fmt::print(stderr, "beechpoint-scale: {}\n", error.what());
        return 1;
    }
}
